#include <greengagedrum/daemon/test/peer_duty_fixture.hpp>

namespace greengagedrum::daemon
{

struct two_entries_fixture {
    test_entry first{"zona-4-a", "zona-4"};
    test_entry second{"zona-4-b", "zona-4"};

    // Only the first is told by the platform.
    void list(std::uint64_t revision)
    {
        this->first.duty->offer_list(
            list_of(revision, {&this->first, &this->second}));
    }

    bool acquainted()
    {
        return until([this] {
            return this->first.heard(this->second) &&
                   this->second.heard(this->first);
        });
    }
};

// The platform tells one entry that an upstream leaves; its watch of the other
// lags. The other hears it from its peer, and an older list from the platform
// does not take it back.
TEST_CASE_FIXTURE(two_entries_fixture, "duty_list_reaches_peer_and_stays")
{
    this->list(5);
    REQUIRE(this->acquainted());
    membership::instance_list leaving =
        list_of(6, {&this->first, &this->second});
    leaving.instances.push_back({"photo-1",
                                 membership::instance_type::upstream,
                                 "zona-4",
                                 "127.0.0.1:1",
                                 membership::listed_state::leaving});
    this->first.duty->offer_list(leaving);
    const auto has = [](std::uint64_t revision) {
        return [revision](const delivery::instances_listed& what) {
            return what.list.revision == revision;
        };
    };
    const auto begin = std::chrono::steady_clock::now();
    REQUIRE(until(
        [&] { return this->second.saw<delivery::instances_listed>(has(6)); }));
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begin;
    MESSAGE("list at the peer after s: ", took.count());
    this->second.duty->offer_list(list_of(4, {&this->first, &this->second}));
    this->second.duty->offer_list(list_of(7, {&this->first, &this->second}));
    REQUIRE(until(
        [&] { return this->second.saw<delivery::instances_listed>(has(7)); }));
    CHECK(!this->second.saw<delivery::instances_listed>(has(4)));
}

// An entry starts while the configuration service is down. It must take the
// documents from a peer.
TEST_CASE_FIXTURE(two_entries_fixture, "duty_new_entry_takes_documents_of_peer")
{
    config::document_set set;
    set.revision = 9;
    set.complete = true;
    set.documents = {{"fleet", 9, false, R"({"data_centres": []})"}};
    this->first.documents.offer(set);
    REQUIRE(until([this] { return this->first.documents.revision() == 9; }));
    this->list(5);
    CHECK(until([this] { return this->second.documents.revision() == 9; }));
    CHECK(until([this] { return this->second.duty->peers_consulted(); }));
}

TEST_CASE_FIXTURE(two_entries_fixture, "duty_newer_documents_pulled_later_too")
{
    this->list(5);
    REQUIRE(this->acquainted());
    config::document_set set;
    set.revision = 9;
    set.complete = true;
    this->second.documents.offer(set);
    CHECK(until([this] { return this->first.documents.revision() == 9; }));
}

TEST_CASE_FIXTURE(two_entries_fixture, "duty_leaving_told_then_peer_lost")
{
    this->list(5);
    REQUIRE(this->acquainted());
    this->second.duty->start_leaving();
    CHECK(until([this] {
        return this->first.saw<delivery::peer_heartbeat>(
            [](const auto& what) { return what.beat.leaving; });
    }));
    this->second.duty->stop();
    CHECK(until([this] {
        return this->first.saw<delivery::peer_lost>([this](const auto& what) {
            return what.slot == base::slot_id(this->second.slot);
        });
    }));
}

TEST_CASE_FIXTURE(two_entries_fixture, "duty_load_changes_reach_peer")
{
    this->list(5);
    REQUIRE(this->acquainted());
    const base::upstream_id photo("photo-1");
    const auto told = [&](std::uint32_t in_flight) {
        return until([&, in_flight] {
            return this->second.saw<delivery::peer_load>([&](const auto& what) {
                return what.sender == base::slot_id(this->first.slot) &&
                       what.digest.uses.size() == 1 &&
                       what.digest.uses[0].upstream == photo &&
                       what.digest.uses[0].in_flight == in_flight;
            });
        });
    };
    capacity::load_digest load;
    load.uses = {{photo, 3, 900, false}};
    this->first.duty->tell_load(load);
    CHECK(told(3));
    load.uses.clear();
    this->first.duty->tell_load(load);
    CHECK(told(0));
}

// A ticket's home stands in another data centre to which this entry keeps no
// link, since others of its data centre do: the claim must still get there.
TEST_CASE("duty_claim_to_unlinked_home_gets_there")
{
    std::vector<std::unique_ptr<test_entry>> entries;
    std::vector<const test_entry*> all;
    for (const char* where : {"zona-4", "zona-9"})
        for (const char* slot : {"-a", "-b", "-c"}) {
            entries.push_back(
                std::make_unique<test_entry>(std::string(where) + slot, where));
            all.push_back(entries.back().get());
        }
    for (const auto& entry : entries)
        entry->duty->offer_list(list_of(5, all));
    // Three pairs at most have no link by choice; each near entry claims at
    // each far one.
    std::uint64_t attempt = 0;
    for (std::size_t near = 0; near < 3; ++near)
        for (std::size_t far = 3; far < 6; ++far) {
            idempotency::claim_request claim;
            claim.attempt = ++attempt;
            claim.home = base::slot_id(entries[far]->slot);
            claim.subject = idempotency::ticket{};
            // Sent again until it arrives, as the desk does.
            CHECK(until([&] {
                entries[near]->duty->send_claim({claim.home, claim});
                return entries[far]->saw<delivery::claim_message>(
                    [&](const auto& what) {
                        const auto* got =
                            std::get_if<idempotency::claim_request>(&what.body);
                        return got != nullptr &&
                               got->attempt == claim.attempt &&
                               what.sender ==
                                   base::slot_id(entries[near]->slot);
                    });
            }));
        }
}

// An entry is replaced while it is cut off. When it comes back, its peers have
// met its successor: it must learn that it is superseded, and its heartbeats
// must not count.
TEST_CASE_FIXTURE(two_entries_fixture, "duty_replaced_entry_learns_it")
{
    test_entry fresh("zona-4-b", "zona-4", 9);
    fresh.duty->offer_list(list_of(5, {&this->first, &fresh}));
    REQUIRE(until([&] {
        return this->first.saw<delivery::peer_heartbeat>(
            [](const auto& what) { return what.beat.incarnation.value == 9; });
    }));
    this->second.duty->offer_list(list_of(5, {&this->first, &this->second}));
    CHECK(until([this] { return this->second.duty->superseded(); }));
    CHECK(!fresh.duty->superseded());
    CHECK(!this->first.saw<delivery::peer_heartbeat>([](const auto& what) {
        return what.beat.slot == base::slot_id("zona-4-b") &&
               what.beat.incarnation.value == 1;
    }));
}

} // namespace greengagedrum::daemon
