// One session between a hand-made decision thread and a real engine stand-in.
#include <greengagedrum/callers/caller_request.hpp>
#include <greengagedrum/callers/context.hpp>
#include <greengagedrum/callers/request_port.hpp>
#include <greengagedrum/callers/session.hpp>
#include <standin/engine.hpp>

#include <doctest/doctest.h>
#include <httplib.h>

#include <thread>

namespace greengagedrum::callers
{

namespace
{

struct session_fixture {
    standin::engine engine;
    inbox events{64};
    upstreams::connection_pool pool{upstreams::pool_options{}};
    upstreams::directory directory;
    snapshot_holder config;
    std::atomic<bool> stopping{false};
    idempotency::ticket_codec tickets{"a key of the test"};
    telemetry::collector telemetry{16, 64};
    context shared{this->events,
                   this->pool,
                   this->directory,
                   this->config,
                   this->stopping,
                   this->tickets,
                   this->telemetry};
    config::workspace_rules workspace;
    config::kind_rules rules;
    std::string written;

    session_fixture()
    {
        REQUIRE(this->engine.start());
        const membership::listed_instance line{
            "photo-1",
            membership::instance_type::upstream,
            "zona-4",
            this->engine.address(),
            membership::listed_state::live};
        this->directory.update(std::span(&line, 1));
        this->rules.model = "compliance";
    }

    // The next event of this type out of the ring.
    template <class Wanted>
    Wanted wait_for()
    {
        std::vector<inbox_item> items;
        while (true) {
            items.clear();
            this->events.drain(items, std::chrono::seconds(1));
            for (inbox_item& item : items) {
                if (auto* arrived = std::get_if<arrival>(&item))
                    this->port = arrived->port;
                if constexpr (std::is_same_v<Wanted, arrival>) {
                    if (auto* arrived = std::get_if<arrival>(&item))
                        return *arrived;
                } else if (auto* told = std::get_if<delivery::event>(&item)) {
                    if (auto* wanted = std::get_if<Wanted>(told))
                        return *wanted;
                }
            }
        }
    }

    void serve()
    {
        caller_request asked;
        asked.workspace = &this->workspace;
        asked.rules = &this->rules;
        asked.stream = true;
        asked.upstream_body = R"({"model": "compliance", "prompt": "x",
            "max_tokens": 4, "stream": true})";
        httplib::Response response;
        std::make_shared<session>(this->shared, asked)->serve(response);
        httplib::DataSink sink;
        sink.write = [this](const char* data, std::size_t size) {
            this->written.append(data, size);
            return true;
        };
        sink.is_writable = [] { return true; };
        sink.done = [] {};
        response.content_provider_(0, 0, sink);
    }

    std::size_t count(std::string_view text) const
    {
        std::size_t found = 0;
        for (std::size_t at = this->written.find(text); at != std::string::npos;
             at = this->written.find(text, at + 1))
            found += 1;
        return found;
    }

    std::shared_ptr<request_port> port;
};

} // namespace

// An entry is stopped for longer than its lease while an answer streams, and
// wakes: the decision thread has a resume under way when the stream turns out
// to have ended whole. The resume finds the end a second time, and the caller
// was then sent the whole text once more behind the one it had.
TEST_CASE_FIXTURE(session_fixture, "stream_read_to_its_end_twice_written_once")
{
    std::thread core([this] {
        const auto id = this->wait_for<arrival>().what.request;
        const base::dispatch_id dispatch{base::incarnation{7}, 1};
        const base::upstream_id engine("photo-1");
        this->port->give(delivery::start_dispatch{id, dispatch, engine, 1});
        const auto first = this->wait_for<delivery::stream_finished>();
        this->port->give(delivery::start_resume{id, dispatch, engine, 2, 0});
        this->wait_for<delivery::stream_finished>();
        this->port->give(delivery::end_answered{id, first.answer});
    });
    this->serve();
    core.join();
    CHECK(this->count("\"index\":0,") == 1);
    CHECK(this->count("event: end") == 1);
}

} // namespace greengagedrum::callers
