// Tests the split of shared slots among entries.
#include <greengagedrum/capacity/shares.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>

namespace greengagedrum::capacity
{

namespace
{

constexpr std::uint32_t entry_total = 3;

struct shares_fixture {
    base::instant now{std::chrono::seconds(100)};
    std::vector<base::slot_id> slots;
    std::vector<shares> entries;

    shares_fixture()
    {
        for (std::uint32_t i = 0; i < entry_total; ++i)
            this->slots.emplace_back("zona-4-" + std::to_string(i));
        for (const base::slot_id slot : this->slots) {
            this->entries.emplace_back(slot);
            this->entries.back().set_entries(
                {this->slots.begin(), this->slots.end()});
        }
    }

    static load_digest demand_of(std::uint32_t urgent, std::uint32_t bulk)
    {
        load_digest out;
        class_demand demand;
        demand.upstream_class = base::upstream_class_id("photo");
        demand.waiting[0] = urgent;
        demand.waiting[3] = bulk;
        out.demands.push_back(demand);
        return out;
    }

    // Delivers the digest of every entry to every other entry.
    void exchange(const std::vector<load_digest>& demands)
    {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            const load_digest digest =
                this->entries[i].compose(demands[i], this->now);
            for (std::size_t j = 0; j < this->entries.size(); ++j)
                if (j != i)
                    this->entries[j].on_load_digest(this->slots[i],
                                                    base::incarnation{1},
                                                    digest,
                                                    this->now);
        }
    }

    std::vector<std::uint32_t> split_now(std::uint32_t limit) const
    {
        std::vector<std::uint32_t> out;
        for (const shares& entry : this->entries)
            out.push_back(entry.upstream_share(base::upstream_id("photo-1"),
                                               base::upstream_class_id("photo"),
                                               limit,
                                               limit,
                                               this->now));
        return out;
    }
};

std::uint32_t sum(const std::vector<std::uint32_t>& shares)
{
    return std::accumulate(shares.begin(), shares.end(), 0U);
}

} // namespace

TEST_CASE_FIXTURE(shares_fixture, "no_digest_received_split_equal")
{
    CHECK(this->split_now(9) == std::vector<std::uint32_t>{3, 3, 3});
    CHECK(sum(this->split_now(8)) == 8);
}

// All callers use one entry. With equal thirds two thirds of the engine would
// be idle while they wait.
TEST_CASE_FIXTURE(shares_fixture, "demand_at_one_entry_only_gets_unused_slots")
{
    this->exchange({demand_of(0, 100), demand_of(0, 0), demand_of(0, 0)});
    CHECK(this->split_now(9) == std::vector<std::uint32_t>{7, 1, 1});
}

// One entry has 100 bulk requests, another 6 urgent ones: slots go to the
// urgent requests first, whatever the bulk demand.
TEST_CASE_FIXTURE(shares_fixture, "urgent_and_bulk_demand_urgent_first")
{
    this->exchange({demand_of(0, 100), demand_of(6, 0), demand_of(0, 0)});
    CHECK(this->split_now(9) == std::vector<std::uint32_t>{2, 6, 1});
}

// A network partition. By the peers' last reports an entry could keep slots
// that the peers need now; after the lifetime of these reports the split is
// equal again.
TEST_CASE_FIXTURE(shares_fixture, "peers_silent_past_view_lifetime_split_equal")
{
    this->exchange({demand_of(0, 100), demand_of(0, 0), demand_of(0, 0)});
    this->now += std::chrono::seconds(6);
    CHECK(this->split_now(9) == std::vector<std::uint32_t>{3, 3, 3});
}

// The last request of a burst ends and the next request arrives 100 ms later:
// the share must not be given up and regained in between.
TEST_CASE_FIXTURE(shares_fixture, "demand_drops_briefly_share_kept")
{
    this->exchange({demand_of(0, 100), demand_of(0, 0), demand_of(0, 0)});
    this->now += std::chrono::milliseconds(500);
    this->exchange({demand_of(0, 0), demand_of(0, 0), demand_of(0, 0)});
    CHECK(this->split_now(9).front() == 7);
    this->now += std::chrono::seconds(2);
    this->exchange({demand_of(0, 0), demand_of(0, 0), demand_of(0, 0)});
    CHECK(this->split_now(9) == std::vector<std::uint32_t>{3, 3, 3});
}

// Digests of a replaced process arrive late: its demand would reserve slots
// that no process uses.
TEST_CASE_FIXTURE(shares_fixture, "digest_of_earlier_incarnation_ignored")
{
    shares& entry = this->entries[0];
    load_digest digest = demand_of(0, 0);
    digest.sequence = 1;
    entry.compose(demand_of(0, 9), this->now);
    entry.on_load_digest(
        this->slots[1], base::incarnation{2}, digest, this->now);
    entry.on_load_digest(
        this->slots[2], base::incarnation{2}, digest, this->now);
    digest = demand_of(50, 0);
    digest.sequence = 70;
    entry.on_load_digest(
        this->slots[1], base::incarnation{1}, digest, this->now);
    CHECK(this->split_now(9).front() == 7);
}

// For any demands and any number of slots, entries that received each other's
// digests assign every slot exactly once, and every entry gets one when there
// are enough.
TEST_CASE("random_demands_exchanged_shares_sum_to_limit")
{
    std::mt19937_64 generator(20261202);
    for (int round = 0; round < 500; ++round) {
        shares_fixture fleet;
        const auto limit = static_cast<std::uint32_t>(generator() % 20);
        for (int heartbeat = 0; heartbeat < 3; ++heartbeat) {
            std::vector<load_digest> demands;
            for (std::uint32_t i = 0; i < entry_total; ++i)
                demands.push_back(shares_fixture::demand_of(
                    static_cast<std::uint32_t>(generator() % 12),
                    static_cast<std::uint32_t>(generator() % 40)));
            fleet.exchange(demands);
            fleet.now += std::chrono::milliseconds(500);
        }
        const auto split = fleet.split_now(limit);
        CAPTURE(round);
        CHECK(sum(split) == limit);
        if (limit >= entry_total)
            CHECK(*std::min_element(split.begin(), split.end()) >= 1);
    }
}

// Nine entries and eight slots: one entry has no slot, and a different one from
// upstream to upstream.
TEST_CASE("more_entries_than_slots_entry_without_slot_varies")
{
    std::vector<entry_demand> entries;
    for (int i = 0; i < 9; ++i) {
        entry_demand demand;
        demand.slot = base::slot_id("rabat-" + std::to_string(i));
        demand.cumulative.fill(5);
        entries.push_back(demand);
    }
    std::vector<int> times_without_slot(9, 0);
    for (std::uint64_t salt = 0; salt < 90; ++salt) {
        const auto split = capacity::split(8, entries, salt);
        CHECK(sum(split) == 8);
        for (std::size_t i = 0; i < split.size(); ++i)
            times_without_slot[i] += split[i] == 0 ? 1 : 0;
    }
    CHECK(*std::max_element(times_without_slot.begin(),
                            times_without_slot.end()) < 30);
    CHECK(*std::min_element(times_without_slot.begin(),
                            times_without_slot.end()) > 0);
}

} // namespace greengagedrum::capacity
