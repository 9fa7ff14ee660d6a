// What a reader makes of a store that holds other writers' items.
#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/entry/test/entry_fixture.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* json_type = "application/json";

// "e30=" is an empty object.
const std::string config_page =
    R"({"entries": [{"key": "op/config", "value": "e30=", "revision": 1}],)"
    R"( "hasMore": true, "at": 2})";
const std::string last_page =
    R"({"entries": [{"key": "op/config", "value": "e30=", "revision": 1}],)"
    R"( "hasMore": false, "at": 2})";

class reader_fixture
{
public:
    ~reader_fixture()
    {
        this->reader->stop();
        this->context.run_for(10ms);
        this->store.stop();
    }

    void start()
    {
        this->store.start();
        store_events told;
        told.news = [this](const routing::store_item_list&,
                           std::uint64_t,
                           bool) { this->news += 1; };
        told.part = [this](const routing::store_item_list& items) {
            this->parts += 1;
            CHECK(items.front().key == "op/config");
        };
        told.failed = [this](const std::string&) { this->failures += 1; };
        told.answered = [] {};
        told.may_rest = [] { return false; };
        this->reader = std::make_unique<store_reader>(
            this->context,
            base::ip_endpoint{"127.0.0.1",
                              static_cast<std::uint16_t>(this->store.port)},
            std::move(told));
        this->reader->start();
    }

    void run_until(const std::function<bool()>& done)
    {
        for (int tries = 0; tries < 300 && !done(); ++tries)
            this->context.run_for(10ms);
    }

    relay::asio::io_context context;
    stand_in store;
    std::unique_ptr<store_reader> reader;
    int news = 0;
    int parts = 0;
    int failures = 0;
    std::atomic<int> lists{0};
};

} // namespace

// A thousand pages of another writer's items follow the first one. Requests are
// refused until the configuration is known, which is on that first page; and a
// part of a list is no news of what has changed since a pause.
TEST_CASE_FIXTURE(reader_fixture,
                  "configuration_does_not_wait_for_the_last_page")
{
    this->store.server.Get(
        "/kv-range",
        [this](const httplib::Request& asked, httplib::Response& given) {
            this->lists += 1;
            if (asked.has_param("after"))
                given.status = 503;
            else
                given.set_content(config_page, json_type);
        });
    this->start();
    this->run_until([this] { return this->failures > 0; });
    CHECK(this->parts > 0);
    CHECK(this->news == 0);
}

// The store answers every page with the same items and says that more follow.
// Asked for the next one at once, it would be asked for ever.
TEST_CASE_FIXTURE(reader_fixture, "pages_that_do_not_go_on_are_given_up")
{
    this->store.server.Get(
        "/kv-range", [this](const httplib::Request&, httplib::Response& given) {
            this->lists += 1;
            given.set_content(config_page, json_type);
        });
    this->start();
    this->run_until([this] { return this->failures > 0 || this->lists > 50; });
    CHECK(this->failures > 0);
    CHECK(this->lists < 10);
}

// Another writer put so much into the store that one answer would hold tens of
// megabytes. It is not taken into memory, and what has changed is read in
// pages.
TEST_CASE_FIXTURE(reader_fixture, "watch_too_large_is_read_in_pages")
{
    this->store.server.Get(
        "/kv-range", [this](const httplib::Request&, httplib::Response& given) {
            this->lists += 1;
            given.set_content(last_page, json_type);
        });
    // The handler's own: the store goes on answering until the fixture ends.
    this->store.server.Get(
        "/kv-watch",
        [large = std::string(relay::fetched_bytes_most + (1U << 20U), ' ')](
            const httplib::Request&, httplib::Response& given) {
            given.set_content(large, json_type);
        });
    this->start();
    this->run_until([this] { return this->lists > 1; });
    CHECK(this->lists > 1);
    CHECK(this->news > 0);
}

} // namespace greengagedrum::entry
