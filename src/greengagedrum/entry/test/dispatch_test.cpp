// An entry of a large fleet whose requests a dispatcher dispatches. The test
// sends the dispatcher's datagrams.
#include <greengagedrum/entry/test/entry_fixture.hpp>
#include <greengagedrum/entry/test/fake_dispatcher.hpp>

namespace greengagedrum::entry
{

namespace
{

using namespace std::chrono_literals;

struct member_fixture : fake_dispatcher, entry_fixture {
    explicit member_fixture(double limit_per_second = 1'000'000)
        : entry_fixture({limit_per_second, this->port(), {}})
    {
    }
    ~member_fixture() { this->stop_sending(); }

    void begin_and_wait(decision what)
    {
        this->begin(std::move(what));
        for (int tries = 0; tries < 300 && this->reports == 0; ++tries)
            std::this_thread::sleep_for(10ms);
        REQUIRE(this->reports > 0);
    }
};

// The entry's share of the limit is one of 42, for itself, the dispatcher and
// the 40 others: 285 tokens. A request costs 200.
struct scarce_member_fixture : member_fixture {
    scarce_member_fixture() : member_fixture(12'000) {}
};

void grant(const dispatch::slot_request& wanted,
           dispatch::dispatcher_reply& into)
{
    into.grants.push_back(
        {wanted.id, routing::incarnation_id("i-1", std::nullopt), 50ms, 0, 5});
}

} // namespace

// A member decides nothing itself: the dispatcher grants the slot and charges
// the limit.
TEST_CASE_FIXTURE(member_fixture,
                  "member_with_dispatcher_sends_to_granted_upstream")
{
    std::atomic<int> uncounted{0};
    this->begin_and_wait([&uncounted](const dispatch::slot_request& wanted,
                                      dispatch::dispatcher_reply& into) {
        uncounted += wanted.charged ? 0 : 1;
        grant(wanted, into);
    });
    auto asked = this->client();
    const auto got = asked.Get("/again/", headers());
    REQUIRE(got);
    CHECK(got->status == 200);
    CHECK(uncounted > 0);
    this->stop_sending();
}

// The workspace is over its limit across all entries, which only the dispatcher
// knows. The refusal tells the caller when to retry.
TEST_CASE_FIXTURE(member_fixture,
                  "request_denied_by_dispatcher_gets_429_and_retry_after")
{
    this->begin_and_wait([](const dispatch::slot_request& wanted,
                            dispatch::dispatcher_reply& into) {
        into.denials.push_back({wanted.id, base::reason::limit_reached, 3s});
    });
    auto asked = this->client();
    const auto got = asked.Get("/again/", headers());
    REQUIRE(got);
    CHECK(got->status == 429);
    CHECK(std::stod(got->get_header_value("Retry-After")) == 3);
    CHECK(this->received_requests().empty());
    this->stop_sending();
}

// Failure guarded against: a dispatcher that was frozen answers requests of the
// process before a restart, and the new one takes that for its own requests.
TEST_CASE_FIXTURE(member_fixture,
                  "denial_for_process_before_restart_does_not_end_request")
{
    this->begin_and_wait([](const dispatch::slot_request& wanted,
                            dispatch::dispatcher_reply& into) {
        into.denials.push_back({wanted.id, base::reason::limit_reached, 3s});
    });
    this->answers = recipient::former;
    auto asked = this->client();
    const auto got = asked.Get("/again/", headers());
    REQUIRE(got);
    CHECK(got->status == 200);
    this->stop_sending();
}

// Failure guarded against: members refuse the dispatcher's decisions while a
// fleet is being replaced.
TEST_CASE_FIXTURE(member_fixture,
                  "denial_by_dispatcher_of_earlier_build_is_taken")
{
    this->answers = recipient::none;
    this->begin_and_wait([](const dispatch::slot_request& wanted,
                            dispatch::dispatcher_reply& into) {
        into.denials.push_back({wanted.id, base::reason::limit_reached, 3s});
    });
    auto asked = this->client();
    const auto got = asked.Get("/again/", headers());
    REQUIRE(got);
    CHECK(got->status == 429);
    this->stop_sending();
}

// The dispatcher dies while it holds a request of the member. No other
// dispatcher answers, so the member dispatches the request by itself within a
// second.
TEST_CASE_FIXTURE(member_fixture,
                  "request_of_dead_dispatcher_is_dispatched_by_member")
{
    this->begin_and_wait(
        [](const dispatch::slot_request&, dispatch::dispatcher_reply&) {});
    std::thread killer([this] {
        std::this_thread::sleep_for(100ms);
        this->stop_sending();
    });
    auto asked = this->client();
    const auto got = asked.Get("/again/", headers());
    killer.join();
    REQUIRE(got);
    CHECK(got->status == 200);
    CHECK(this->received_requests().size() == 1);
}

// Three requests wait for a dispatcher that dies, and the entry's share of the
// limit holds one. Failure guarded against: a slot falls free to a request that
// is not charged yet, and the limit is exceeded. So all three are charged
// before any is sent.
TEST_CASE_FIXTURE(scarce_member_fixture,
                  "requests_of_dead_dispatcher_are_charged_before_any_is_sent")
{
    constexpr int callers = 3;
    std::atomic<int> seen{0};
    this->begin_and_wait([&seen](const dispatch::slot_request& wanted,
                                 dispatch::dispatcher_reply&) {
        seen = std::max<int>(seen, static_cast<int>(wanted.id.request.value));
    });
    std::atomic<int> answered{0};
    std::atomic<int> limited{0};
    std::vector<std::thread> asking;
    for (int count = 0; count < callers; ++count)
        asking.emplace_back([&] {
            auto asked = this->client();
            const auto got = asked.Get("/again/", headers());
            answered += got && got->status == 200 ? 1 : 0;
            limited += got && got->status == 429 ? 1 : 0;
        });
    for (int tries = 0; tries < 300 && seen < callers; ++tries)
        std::this_thread::sleep_for(10ms);
    this->stop_sending();
    for (std::thread& one : asking)
        one.join();
    CHECK(answered == 1);
    CHECK(limited == 2);
    CHECK(this->received_requests().size() == 1);
}

} // namespace greengagedrum::entry
