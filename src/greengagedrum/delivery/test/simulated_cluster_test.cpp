// Several complete schedulers, including their idempotency desks, connected by
// simulated links that lose, duplicate and delay messages and can be cut.
//
// GGD_JOINED_SEEDS sets the number of seeds (default 50); GGD_RANDOM_SEED runs
// that seed alone.
#include <greengagedrum/delivery/test/simulated_cluster.hpp>

#include <cstdlib>

namespace greengagedrum::delivery
{

namespace
{

std::uint64_t environment_number(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Callers resend requests with the same ticket or key to any entry while
// processes pause, stop, crash and are replaced.
class faulty_run
{
public:
    explicit faulty_run(std::uint64_t seed) : cluster(seed)
    {
        for (int i = 0; i < 1200; ++i)
            this->cluster.advance(25ms);
        this->cluster.fault_probability = 0.03;
    }

    void run_step()
    {
        if (this->cluster.chance(0.02))
            this->inject_fault();
        if (this->cluster.chance(0.1))
            this->send_requests();
        this->cluster.advance(base::duration(
            1 + static_cast<std::int64_t>(this->cluster.random_below(40'000))));
    }

    simulated_cluster cluster;

private:
    simulated_entry& random_entry()
    {
        const auto living = this->cluster.live_entries();
        return *living[this->cluster.random_below(living.size())];
    }

    void inject_fault()
    {
        switch (this->cluster.random_below(10)) {
        case 0:
            this->cluster.cut_link(this->random_entry(), this->random_entry());
            return;
        case 1:
        case 2:
            this->cluster.heal_links();
            return;
        case 3:
            this->random_entry().paused = true;
            return;
        case 4:
        case 5:
        case 6:
            for (simulated_entry* item : this->cluster.live_entries())
                item->paused = false;
            return;
        case 7:
            this->cluster.list_upstreams(this->random_entry(), false);
            return;
        case 8:
            for (simulated_entry* item : this->cluster.live_entries())
                this->cluster.list_upstreams(*item, true);
            return;
        default:
            this->replace_entry();
            return;
        }
    }

    // At most one replacement per lease. The replaced process crashes, stops
    // gracefully, or keeps running beside its successor without a link to it.
    void replace_entry()
    {
        if (this->cluster.now < this->next_replacement_at ||
            this->cluster.live_entries().size() > 4)
            return;
        this->next_replacement_at = this->cluster.now + 10s;
        simulated_entry& replaced = this->random_entry();
        const base::slot_id slot = replaced.slot;
        switch (this->cluster.random_below(3)) {
        case 0:
            this->cluster.kill(replaced);
            break;
        case 1:
            this->cluster.step(replaced, stop_begun{});
            replaced.forced_stop_at = this->cluster.now + 3s;
            break;
        default:
            break;
        }
        this->cluster.start_entry(slot);
    }

    // A ticket or key is resent only within the callers' retry window.
    void send_requests()
    {
        simulated_entry& entry = this->random_entry();
        if (entry.paused)
            return;
        if (this->cluster.subjects.empty() || this->cluster.chance(0.3)) {
            const std::size_t key_number = this->cluster.subjects.size();
            if (this->cluster.chance(0.4))
                this->cluster.add_ticket(entry);
            else if (this->cluster.chance(0.5))
                this->cluster.add_dated_key();
            else
                this->cluster.add_key("receipt-" + std::to_string(key_number));
        }
        const std::size_t count = this->cluster.subjects.size();
        const std::size_t index =
            count - 1 -
            this->cluster.random_below(std::min<std::size_t>(count, 6));
        const subject_record& subject = this->cluster.subjects[index];
        if (this->cluster.now - subject.first_sent_at > 9s)
            return;
        this->cluster.send_request(entry, index);
        simulated_entry& other = this->random_entry();
        if (!other.paused && this->cluster.chance(0.3))
            this->cluster.send_request(other, index);
    }

    base::instant next_replacement_at;
};

} // namespace

// A caller gets no answer in time and resends an at-most-once request to
// another entry, while entries pause, lose links, stop or are replaced. For
// every order of events, the request is dispatched at most once, each request
// ends once, a not_run verdict is true, and a replayed answer equals the
// original answer.
TEST_CASE("simulated_cluster_with_faults_at_most_once")
{
    constexpr int run_length = 3000;
    const std::uint64_t fixed_seed = environment_number("GGD_RANDOM_SEED", 0);
    const std::uint64_t seeds = environment_number("GGD_JOINED_SEEDS", 50);
    const std::uint64_t first = fixed_seed == 0 ? 1 : fixed_seed;
    const std::uint64_t last = fixed_seed == 0 ? seeds : fixed_seed;
    subject_record total;
    std::size_t subject_count = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        faulty_run run(seed);
        for (int i = 0; i < run_length; ++i)
            run.run_step();
        run.cluster.drain(20s);
        subject_count += run.cluster.subjects.size();
        for (const subject_record& subject : run.cluster.subjects) {
            total.dispatch_count += subject.dispatch_count;
            total.not_run += subject.not_run;
            total.replayed += subject.replayed;
            total.may_have_run += subject.may_have_run;
        }
    }
    // Each outcome must have occurred at least once for the test to cover it.
    CHECK(total.dispatch_count > 0);
    CHECK(total.not_run > 0);
    CHECK(total.replayed > 0);
    CHECK(total.may_have_run > 0);
    MESSAGE("subjects ",
            subject_count,
            ", dispatched ",
            total.dispatch_count,
            ", replayed ",
            total.replayed,
            ", not_run ",
            total.not_run,
            ", may_have_run ",
            total.may_have_run);
}

} // namespace greengagedrum::delivery
