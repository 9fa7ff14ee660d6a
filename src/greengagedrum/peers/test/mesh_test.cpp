#include <greengagedrum/peers/tcp.hpp>
#include <greengagedrum/peers/test/mesh_fixture.hpp>
#include <greengagedrum/peers/test/payload_samples.hpp>
#include <standin/forwarder.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace greengagedrum::peers
{

using namespace std::chrono_literals;

struct pair_fixture : mesh_fixture {
    test_peer first{"a"};
    test_peer second{"b"};

    pair_fixture() { this->all = {&this->first, &this->second}; }

    bool both_linked()
    {
        return this->first.linked(this->second) &&
               this->second.linked(this->first);
    }
};

TEST_CASE_FIXTURE(pair_fixture, "mesh_both_want_one_link_carries_each_payload")
{
    this->first.links->set_wanted({this->second.target()});
    this->second.links->set_wanted({this->first.target()});
    REQUIRE(this->until([this] { return this->both_linked(); }));
    for (const payload& body : payload_samples())
        CHECK(this->first.links->send(this->second.own.slot, body));
    REQUIRE(this->until([this] {
        return this->second.count<idempotency::claim_release>() == 1;
    }));
    CHECK(this->second.received.back().sender == this->first.own.slot);
    CHECK(this->second.received.back().life == this->first.own.life);
    this->run_for(500ms);
    CHECK(this->first.counters_of(this->second).links == 1);
    CHECK(this->both_linked());
}

// A new entry is not yet in its peers' lagging lists, so nobody dials it.
TEST_CASE_FIXTURE(pair_fixture, "mesh_one_side_wants_link_made_from_either")
{
    SUBCASE("first")
    {
        this->first.links->set_wanted({this->second.target()});
    }
    SUBCASE("second")
    {
        this->second.links->set_wanted({this->first.target()});
    }
    CHECK(this->until([this] { return this->both_linked(); }));
}

// Something between two entries loses track of their open connection: writes
// succeed, nothing arrives, and heartbeats stop on both sides while each would
// believe the other dead. A new connection works.
TEST_CASE_FIXTURE(pair_fixture, "mesh_link_goes_silent_fresh_one_replaces_it")
{
    standin::forwarder path(this->second.links->address());
    this->first.links->set_wanted(
        {{this->second.own.slot, path.address(), false}});
    REQUIRE(this->until([this] { return this->both_linked(); }));
    path.silence_open();
    REQUIRE(this->until([this] {
        return this->first.ups.size() >= 2 && this->second.ups.size() >= 2 &&
               this->both_linked();
    }));
    const std::size_t heard = this->second.received.size();
    CHECK(
        this->until([&] { return this->second.received.size() > heard + 2; }));
    const auto silent = this->first.counters_of(this->second).silent +
                        this->second.counters_of(this->first).silent;
    CHECK(silent >= 1);
}

// A network cut: connections break and new ones are refused or lost, then the
// network heals.
TEST_CASE_FIXTURE(pair_fixture, "mesh_partition_heals_link_comes_back")
{
    standin::forwarder path(this->second.links->address());
    this->first.links->set_wanted(
        {{this->second.own.slot, path.address(), false}});
    REQUIRE(this->until([this] { return this->both_linked(); }));
    SUBCASE("refused")
    {
        path.set_refuse(true);
        path.drop_open();
    }
    SUBCASE("lost")
    {
        path.set_silent(true);
    }
    REQUIRE(this->until([this] {
        return !this->first.linked(this->second) &&
               !this->second.linked(this->first);
    }));
    CHECK(this->first.downs == 1);
    path.drop_open();
    path.set_refuse(false);
    path.set_silent(false);
    CHECK(this->until([this] { return this->both_linked(); }));
}

struct keys_fixture : mesh_fixture {
    bool link(test_peer& one, test_peer& other, base::duration limit)
    {
        this->all = {&one, &other};
        one.links->set_wanted({other.target()});
        return this->until(
            [&] { return one.linked(other) && other.linked(one); }, limit);
    }
};

TEST_CASE_FIXTURE(keys_fixture, "mesh_wrong_key_never_linked_and_counted")
{
    test_peer one("a");
    test_peer other("b", 1, "some other key 16");
    CHECK(!this->link(one, other, 600ms));
    CHECK(one.links->strangers_refused() + other.links->strangers_refused() >=
          1);
    CHECK(one.received.empty());
    CHECK(other.received.empty());
}

// The three rounds of restarts by which operators change the key: at no point
// may two entries of neighbouring rounds refuse each other.
TEST_CASE_FIXTURE(keys_fixture, "mesh_key_rotation_neighbouring_rounds_link")
{
    const std::string old_key = "the key of last year";
    const std::string new_key = "the key of this year";
    test_peer before("a", 1, old_key);
    test_peer round_one("b", 1, old_key, new_key);
    test_peer round_two("c", 1, new_key, old_key);
    test_peer after("d", 1, new_key);
    CHECK(this->link(before, round_one, patience));
    CHECK(this->link(round_one, round_two, patience));
    CHECK(this->link(round_two, after, patience));
    CHECK(!this->link(before, after, 400ms));
}

// A process was cut off and replaced by a new one in its slot; then it dials
// a peer that has met the new one. It must learn so and not be listened to.
TEST_CASE_FIXTURE(keys_fixture, "mesh_older_life_told_and_refused")
{
    test_peer peer("a");
    test_peer stale("b", 5);
    test_peer fresh("b", 9);
    REQUIRE(this->link(fresh, peer, patience));
    peer.known = base::incarnation{9};
    this->all = {&peer, &fresh, &stale};
    stale.links->set_wanted({peer.target()});
    CHECK(this->until([&] { return stale.outranked_by.value == 9; }));
    this->run_for(300ms);
    CHECK(peer.links->linked_peers().at(0).life.value == 9);
    for (const message& got : peer.received)
        CHECK(got.life.value == 9);
}

// An entry restarts: its new process must take the place of the old link at
// once, though the old one may not be closed yet.
TEST_CASE_FIXTURE(keys_fixture, "mesh_newer_life_replaces_link")
{
    test_peer peer("a");
    test_peer old("b", 5);
    REQUIRE(this->link(old, peer, patience));
    test_peer fresh("b", 9);
    this->all = {&peer, &fresh};
    fresh.links->set_wanted({peer.target()});
    REQUIRE(this->until([&] { return peer.ups.size() == 2; }));
    CHECK(peer.links->linked_peers().at(0).life.value == 9);
}

// A peer asks for many kept answers over a slow path. Heartbeats that wait
// behind megabytes come too late, and each side takes the other for dead.
TEST_CASE_FIXTURE(pair_fixture, "mesh_bulk_waiting_heartbeats_pass_it")
{
    this->first.links->set_wanted({this->second.target()});
    REQUIRE(this->until([this] { return this->both_linked(); }));
    this->first.beating = false; // a later one would replace the one below
    idempotency::answer_reply answer;
    answer.body.assign(1U << 20U, 'x');
    std::size_t taken = 0;
    while (this->first.links->send(this->second.own.slot, answer))
        ++taken;
    CHECK(taken >= 4);
    CHECK(this->first.counters_of(this->second).traffic.dropped == 1);
    membership::heartbeat beat;
    beat.slot = this->first.own.slot;
    beat.incarnation = this->first.own.life;
    beat.sequence = 1'000'000;
    CHECK(this->first.links->send(this->second.own.slot, beat));
    this->second.received.clear();
    REQUIRE(this->until([this, taken] {
        return this->second.count<idempotency::answer_reply>() == taken;
    }));
    const auto order =
        std::find_if(this->second.received.begin(),
                     this->second.received.end(),
                     [](const message& got) {
                         const auto* seen =
                             std::get_if<membership::heartbeat>(&got.body);
                         return seen != nullptr && seen->sequence == 1'000'000;
                     });
    const auto bulk = std::find_if(
        this->second.received.begin(),
        this->second.received.end(),
        [](const message& got) {
            return std::holds_alternative<idempotency::answer_reply>(got.body);
        });
    CHECK(order < bulk);
    CHECK(this->first.downs == 0);
}

// Anyone may connect to the port: noise, half a hello, or nothing at all.
TEST_CASE_FIXTURE(pair_fixture, "mesh_noise_on_port_closed_others_unharmed")
{
    this->second.links->set_wanted({this->first.target()});
    REQUIRE(this->until([this] { return this->both_linked(); }));
    const descriptor noisy = begin_connect(this->first.links->address());
    const descriptor mute = begin_connect(this->first.links->address());
    const std::string noise(4096, '\xee');
    REQUIRE(this->until([&] {
        return ::send(noisy.get(), noise.data(), noise.size(), MSG_NOSIGNAL) >
               0;
    }));
    // Each sees our hello first, then the end.
    const auto closed = [](const descriptor& socket) {
        std::array<char, hello_bytes> bytes{};
        const ssize_t got = ::recv(socket.get(), bytes.data(), bytes.size(), 0);
        return got == 0 || (got < 0 && errno == ECONNRESET);
    };
    CHECK(this->until([&] { return closed(noisy); }));
    CHECK(this->first.links->strangers_refused() == 1);
    CHECK(this->until([&] { return closed(mute); }));
    CHECK(this->both_linked());
    CHECK(this->first.ups.size() == 1);
}

// A peer with a fault sends well signed nonsense. Its link must go, be counted,
// and come back; the entry and its other links live on.
TEST_CASE_FIXTURE(pair_fixture, "mesh_signed_nonsense_closes_only_that_link")
{
    this->second.links->set_wanted({this->first.target()});
    REQUIRE(this->until([this] { return this->both_linked(); }));
    link_settings faulty;
    faulty.own = {base::slot_id("c"), base::incarnation{1}};
    faulty.key = "a key of 16 bytes";
    link bad(begin_connect(this->first.links->address()),
             this->first.own.slot,
             link_nonce{},
             faulty,
             test_now());
    std::vector<received_payload> heard;
    const auto turn_until = [&](link_state wanted) {
        return this->until([&] {
            pollfd polled{bad.number(), bad.interest(), 0};
            ::poll(&polled, 1, 0);
            bad.handle(polled.revents, test_now(), heard);
            return bad.state() == wanted;
        });
    };
    REQUIRE(turn_until(link_state::up));
    REQUIRE(bad.queue(std::make_shared<const std::string>(200, 'x')));
    CHECK(turn_until(link_state::closed));
    CHECK(this->first.links->counters()[faulty.own.slot].bad_frames == 1);
    CHECK(this->first.links->strangers_refused() == 0);
    CHECK(this->both_linked());
    CHECK(this->first.downs == 1);
}

// The platform has given an address to another slot than the list still says.
TEST_CASE_FIXTURE(pair_fixture, "mesh_other_slot_at_address_not_linked")
{
    this->first.links->set_wanted(
        {{base::slot_id("c"), this->second.links->address(), false}});
    this->run_for(400ms);
    CHECK(this->first.ups.empty());
    CHECK(this->second.ups.empty());
    CHECK(this->first.links->strangers_refused() >= 1);
}

// A path holds heartbeats back for long. One that arrives late must not renew
// a lease as of its arrival, only as of the own heartbeat that it answers.
TEST_CASE_FIXTURE(pair_fixture, "mesh_beat_answers_own_beat_sent_before")
{
    standin::forwarder path(this->second.links->address());
    constexpr auto delay = 100ms;
    path.set_delay(delay);
    this->first.links->set_wanted(
        {{this->second.own.slot, path.address(), false}});
    const auto answered = [this] {
        return std::any_of(this->first.received.begin(),
                           this->first.received.end(),
                           [](const auto& got) { return got.answers; });
    };
    const base::instant begin = test_now();
    REQUIRE(this->until(answered));
    for (const message& got : this->first.received)
        if (got.answers) {
            CHECK(*got.answers >= begin);
            CHECK(*got.answers <= test_now() - 2 * delay);
            break;
        }
}

} // namespace greengagedrum::peers
