// Reads of the store that bring the known state up to date at once.
#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/entry/test/entry_fixture.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* json_type = "application/json";
constexpr const char* whole_listing =
    R"({"entries": [{"key": "op/config", "value": "e30=", "revision": 1}],)"
    R"( "hasMore": false, "at": 2})";
constexpr const char* one_change =
    R"({"events": [{"key": "servers/i-1", "value": "e30=", "revision": 3}],)"
    R"( "at": 3})";

// A store whose watches wait, while reads that don't wait are answered after
// `answer_delay`.
struct read_through_fixture {
    read_through_fixture()
    {
        this->store.server.Get(
            "/kv-range", [](const httplib::Request&, httplib::Response& out) {
                out.set_content(whole_listing, json_type);
            });
        this->store.server.Get(
            "/kv-watch",
            [this](const httplib::Request& request, httplib::Response& out) {
                if (request.get_param_value("waitMs") != "1") {
                    std::this_thread::sleep_for(400ms);
                    out.set_content(R"({"events": [], "at": 2})", json_type);
                    return;
                }
                this->reads += 1;
                std::this_thread::sleep_for(this->answer_delay.load());
                out.set_content(this->next_answer(), json_type);
            });
        this->store.start();
        store_events callbacks;
        callbacks.items_received = [this](const routing::store_item_list& items,
                                          std::uint64_t as_of,
                                          bool complete) {
            this->listed = this->listed || complete;
            this->changes += complete ? 0 : items.size();
            this->newest = std::max(this->newest, as_of);
        };
        callbacks.page_received = [](const routing::store_item_list&) {};
        callbacks.call_failed = [](const std::string&) {};
        callbacks.call_answered = [] {};
        callbacks.peer_reads_store = [] { return false; };
        this->reader = std::make_unique<store_reader>(
            this->context,
            base::ip_endpoint{"127.0.0.1",
                              static_cast<std::uint16_t>(this->store.port)},
            std::move(callbacks));
    }

    ~read_through_fixture()
    {
        this->reader->stop();
        this->context.run_for(10ms);
        this->store.stop();
    }

    std::string next_answer()
    {
        const std::lock_guard lock(this->mutex);
        return this->reads == 1 ? this->first_answer : one_change;
    }

    void set_first_answer(const std::string& answer)
    {
        const std::lock_guard lock(this->mutex);
        this->first_answer = answer;
    }

    void list()
    {
        this->reader->start();
        this->run_until([this] { return this->listed; });
        REQUIRE(this->listed);
    }

    void read_through()
    {
        this->reader->read_through([this](bool complete) {
            this->results.push_back(complete);
            this->changes_at_result = this->changes;
        });
    }

    void run_until(const std::function<bool()>& done)
    {
        for (int tries = 0; tries < 300 && !done(); ++tries)
            this->context.run_for(10ms);
    }

    // Declared before the server, whose threads use them.
    std::mutex mutex;
    std::string first_answer = one_change;
    std::atomic<int> reads{0};
    std::atomic<std::chrono::milliseconds> answer_delay{20ms};
    relay::asio::io_context context;
    fake_http_server store;
    std::unique_ptr<store_reader> reader;
    bool listed = false;
    std::size_t changes = 0;
    std::size_t changes_at_result = 0;
    std::uint64_t newest = 0;
    std::vector<bool> results;
};

} // namespace

TEST_CASE_FIXTURE(read_through_fixture,
                  "read_through_beside_waiting_watch_changes_known_at_its_end")
{
    this->list();
    this->context.run_for(50ms);
    this->read_through();
    this->run_until([this] { return !this->results.empty(); });
    CHECK(this->results == std::vector<bool>{true});
    CHECK(this->changes_at_result == 1);
    CHECK(this->newest == 3);
}

// Guards against an answer to a call that began before the read was asked for.
TEST_CASE_FIXTURE(read_through_fixture,
                  "read_throughs_asked_for_during_a_call_share_the_next")
{
    this->answer_delay = 150ms;
    this->list();
    this->read_through();
    this->context.run_for(50ms);
    this->read_through();
    this->read_through();
    this->run_until([this] { return this->results.size() == 3; });
    CHECK(this->results == std::vector<bool>{true, true, true});
    CHECK(this->reads == 2);
}

// Guards against an answer that holds a part of the changes only.
TEST_CASE_FIXTURE(read_through_fixture,
                  "read_through_many_changes_reads_on_to_the_last")
{
    constexpr int many = 500;
    std::string events;
    for (int number = 0; number < many; ++number)
        events += R"({"key": "servers/x", "value": "e30=", "revision": 3},)";
    events.pop_back();
    this->set_first_answer(R"({"events": [)" + events + R"(], "at": 3})");
    this->list();
    this->read_through();
    this->run_until([this] { return !this->results.empty(); });
    CHECK(this->results == std::vector<bool>{true});
    CHECK(this->reads == 2);
    CHECK(this->changes_at_result == many + 1);
}

TEST_CASE_FIXTURE(read_through_fixture,
                  "read_through_store_silent_ends_incomplete")
{
    this->answer_delay = 1500ms;
    this->list();
    this->read_through();
    this->run_until([this] { return !this->results.empty(); });
    CHECK(this->results == std::vector<bool>{false});
}

TEST_CASE_FIXTURE(read_through_fixture,
                  "read_through_before_listing_ends_incomplete")
{
    this->read_through();
    CHECK(this->results == std::vector<bool>{false});
    CHECK(this->reads == 0);
}

} // namespace greengagedrum::entry
