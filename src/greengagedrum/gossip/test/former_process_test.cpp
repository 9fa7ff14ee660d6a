// Messages that an earlier process at an address sent, or was to receive.
#include <greengagedrum/gossip/peer_table.hpp>

#include <doctest/doctest.h>

namespace greengagedrum::gossip
{

namespace
{

using namespace std::chrono_literals;

constexpr ipv4_address own_address = 0x0a010001;
constexpr ipv4_address peer_address = 0x0a020001;

struct restarted_peer_fixture {
    peer_update receive(std::uint64_t incarnation, std::uint64_t sequence)
    {
        message out;
        out.address = peer_address;
        out.instance = "entry-2";
        out.incarnation.value = incarnation;
        out.sequence = sequence;
        return this->table.on_message(out, this->now);
    }

    base::instant now{1h};
    peer_table table{own_address, "hall", base::incarnation{1}};
};

} // namespace

// Failure guarded against: a late datagram of the process before a restart
// takes the place of what the new process reports.
TEST_CASE_FIXTURE(restarted_peer_fixture,
                  "message_of_former_process_after_restart_is_outdated")
{
    this->receive(7, 500);
    CHECK(this->receive(8, 1) == peer_update::restarted);
    CHECK(this->receive(7, 501) == peer_update::outdated);
    CHECK(this->table.incarnation_of(peer_address) == base::incarnation{8});
    CHECK(this->receive(8, 2) == peer_update::none);
}

// The first message of the new process was overtaken by one of the former.
TEST_CASE_FIXTURE(restarted_peer_fixture,
                  "message_of_process_taken_for_former_is_accepted_on_silence")
{
    this->receive(8, 1);
    CHECK(this->receive(7, 500) == peer_update::restarted);
    CHECK(this->receive(8, 2) == peer_update::outdated);
    this->now += 1600ms;
    CHECK(this->receive(8, 3) == peer_update::restarted);
    CHECK(this->receive(8, 4) == peer_update::none);
}

TEST_CASE("answer_encoded_decodes_to_same_recipient")
{
    message sent;
    sent.kind = message_kind::reply;
    sent.recipient.value = 42;
    const auto read = decode_message(encode(sent));
    REQUIRE(read);
    CHECK(read->recipient == base::incarnation{42});
}

} // namespace greengagedrum::gossip
