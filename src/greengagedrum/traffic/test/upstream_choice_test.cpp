// Choice among engines of different speeds.
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

const base::upstream_id quick("i-0");
const base::upstream_id slow("i-1");

constexpr base::duration quick_gap = 12ms;
constexpr base::duration slow_gap = 55ms;
constexpr std::uint32_t long_prompt = 6000;
constexpr int streams = 20; // enough to learn the gaps from

request_facts prompt_of(std::uint32_t tokens)
{
    request_facts out = stream_facts();
    out.prompt_tokens = tokens;
    return out;
}

// Two engines of five slots. From earlier streams on the fast one, the entry
// knows how long streams pause during prefill. A peer has four streams on the
// slow one and reports more than four times the interval between events.
struct mixed_speed_fixture : scheduler_fixture {
    mixed_speed_fixture()
    {
        this->upstreams(2, 5);
        this->report_peer_load(quick, 0, quick_gap);
        this->report_peer_load(slow, 4, slow_gap);
        for (int count = 0; count < streams; ++count)
            this->run_quick_stream();
    }

    // `extra` is the time for which it holds its slot after its last event.
    void run_quick_stream(base::duration extra = 0ms)
    {
        this->renew_peer_report();
        const auto id = this->arrive(prompt_of(1000));
        const send_request latest_send = this->sent();
        REQUIRE(latest_send.upstream == quick);
        this->now += 70ms;
        this->step(events_received{id, latest_send.send, 1});
        for (std::uint32_t event = 2; event <= 120; ++event) {
            this->now += event % 12 == 0 ? 5 * quick_gap : quick_gap;
            this->step(events_received{id, latest_send.send, event});
        }
        this->now += extra;
        this->answer(id, latest_send.send);
    }

    void report_peer_load(base::upstream_id upstream,
                          std::uint32_t requests,
                          base::duration gap)
    {
        const upstream_load loads[] = {{upstream, requests, 0, gap}};
        this->tested.on_peer_report(
            base::slot_id("peer-" + std::to_string(upstream.value)),
            loads,
            {},
            this->now);
    }

    void renew_peer_report() { this->report_peer_load(slow, 4, slow_gap); }

    // Fills the fast engine.
    void fill_quick_engine()
    {
        this->renew_peer_report();
        for (int count = 0; count < 5; ++count) {
            this->arrive(prompt_of(1000));
            REQUIRE(this->sent().upstream == quick);
        }
    }
};

// One of 40 entries, with eight engines of one slot in its own data centre and
// 40 in another one.
struct many_entries_fixture : scheduler_fixture {
    many_entries_fixture()
    {
        this->join("hall", 8);
        this->join("yard", 40);
        this->tested.set_entry_count(40);
    }

    void join(const std::string& data_centre, int count)
    {
        for (int number = 0; number < count; ++number) {
            routing::published_upstream one =
                upstream_named(data_centre + std::to_string(number), 1);
            one.data_centre = data_centre;
            this->tested.upstream_joined(one, this->now);
        }
    }

    void report_waiting_peers(int count)
    {
        const queue_report waiting[] = {{engines, {}}};
        for (int number = 0; number < count; ++number)
            this->tested.on_peer_report(
                base::slot_id("peer-" + std::to_string(number)),
                {},
                waiting,
                this->now);
    }

    // Of that many requests.
    int sent_at_once(int requests)
    {
        int count = 0;
        for (int number = 0; number < requests; ++number) {
            this->arrive(stream_facts());
            count += this->last_action<send_request>() != nullptr ? 1 : 0;
        }
        return count;
    }
};

} // namespace

// Failure guarded against: an entry that gets most connections uses a fifth of
// the engines of other data centres, and its requests wait while slots are
// free.
TEST_CASE_FIXTURE(many_entries_fixture,
                  "entry_without_waiting_peers_uses_all_upstreams")
{
    CHECK(this->sent_at_once(48) == 48);
}

// Failure guarded against: all entries have queues, and all choose the same
// engine of another data centre that seems free.
TEST_CASE_FIXTURE(many_entries_fixture,
                  "entry_with_waiting_peers_uses_part_of_far_upstreams")
{
    this->report_waiting_peers(39);
    const int sent = this->sent_at_once(48);
    CHECK(sent > 8);
    CHECK(sent <= 8 + 16);
}

// Streams run on the slow engine when a long prompt arrives. The engine
// processes the prompt in chunks of a quarter of a second, and all streams
// pause beyond their objective. Without the check the prompt is sent there,
// since only that engine has a free slot.
TEST_CASE_FIXTURE(mixed_speed_fixture,
                  "long_prompt_slow_engine_with_streams_not_sent")
{
    this->fill_quick_engine();
    this->arrive(prompt_of(long_prompt));
    CHECK(this->last_action<send_request>() == nullptr);
    CHECK(this->tested.waiting() == 1);
}

// The slot that the long prompt does not use is not left idle.
TEST_CASE_FIXTURE(mixed_speed_fixture,
                  "short_prompt_behind_a_waiting_long_one_sent")
{
    this->fill_quick_engine();
    this->arrive(prompt_of(long_prompt));
    const auto short_request = this->arrive(prompt_of(200));
    CHECK(this->sent().request == short_request);
    CHECK(this->sent().upstream == slow);
}

// Guards against a request that waits until its latency objective beside a free
// slot, although no better one will be free for seconds.
TEST_CASE_FIXTURE(mixed_speed_fixture,
                  "slots_of_better_engine_held_long_request_sent_at_once")
{
    for (int count = 0; count < streams; ++count)
        this->run_quick_stream(10s);
    this->run_quick_stream();
    this->report_peer_load(slow, 0, slow_gap);
    for (int count = 0; count < 5; ++count) {
        this->arrive(prompt_of(1000));
        REQUIRE(this->sent().upstream == quick);
    }
    request_facts facts = prompt_of(1000);
    facts.latency_objective = 250ms;
    const auto id = this->arrive(facts);
    CHECK(this->sent().request == id);
    CHECK(this->sent().upstream == slow);
}

// A wrong estimate of the wait costs no more than the slow engine would.
TEST_CASE_FIXTURE(mixed_speed_fixture,
                  "long_prompt_waits_no_longer_than_it_gains")
{
    this->fill_quick_engine();
    const auto long_request = this->arrive(prompt_of(long_prompt));
    REQUIRE(this->last_action<send_request>() == nullptr);
    const base::instant begun = this->now;
    for (int step = 0; step < 160; ++step) {
        this->renew_peer_report();
        this->advance(5ms);
        if (this->last_action<send_request>() != nullptr)
            break;
    }
    CHECK(this->sent().request == long_request);
    CHECK(this->sent().upstream == slow);
    CHECK(this->now - begun <= this->sent().choice.expected_first_event);
}

// The engine speed reported by peers is used: this entry has never sent a
// request to the slow engine.
TEST_CASE_FIXTURE(mixed_speed_fixture,
                  "speed_reported_by_peers_fast_engine_chosen")
{
    this->report_peer_load(slow, 0, slow_gap);
    for (int count = 0; count < 4; ++count) {
        this->arrive(prompt_of(1000));
        CHECK(this->sent().upstream == quick);
    }
}

// An engine turns slow, gets no requests for a while, and recovers. Its last
// known speed is stale after some seconds, and it gets requests again.
TEST_CASE_FIXTURE(mixed_speed_fixture,
                  "slow_engine_without_recent_report_tried_again")
{
    this->report_peer_load(slow, 0, slow_gap);
    this->advance(2s); // the peer counts as lost
    this->advance(10s);
    for (int count = 0; count < 3; ++count)
        this->arrive(prompt_of(1000));
    CHECK(this->tested.upstreams().total_free_slots(engines, this->now) == 7);
    bool tried = false;
    for (int count = 0; count < 5 && !tried; ++count) {
        this->arrive(prompt_of(1000));
        tried = this->sent().upstream == slow;
    }
    CHECK(tried);
}

} // namespace greengagedrum::traffic
