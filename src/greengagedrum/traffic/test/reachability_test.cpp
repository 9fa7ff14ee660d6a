// Entries that are cut off from upstreams which others reach, before the entry
// that dispatches for all of them.
#include <greengagedrum/traffic/reachability.hpp>
#include <greengagedrum/traffic/test/scheduler_fixture.hpp>

#include <map>
#include <random>
#include <set>

namespace greengagedrum::traffic
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration step_length = 5ms;
constexpr base::duration time_to_first_event = 60ms;
constexpr base::duration answer_time = 200ms;
constexpr base::duration report_delay = 5ms;
constexpr base::duration connect_timeout = 250ms;
constexpr base::duration cut_begins = 3s;
constexpr base::duration cut_ends = 11s;
constexpr base::duration run_time = 16s;

struct dispatch_plan {
    int members = 10;
    int cut_members = 3;
    double cut_share = 1; // of the upstreams, for each of these members
    bool refused = false; // else their connects get no answer
    int upstreams = 20;
    int dark_upstreams = 0; // for all, in the same time
    double requests = 6;    // per second and member
    std::uint64_t seed = 1;
};

struct member_counts {
    int asked = 0;
    int served = 0;

    double share() const
    {
        return this->asked == 0 ? 1.0 : double(this->served) / this->asked;
    }
};

// A dispatcher whose members send, some of them without a path.
class dispatch_run : public scheduler_fixture
{
public:
    explicit dispatch_run(const dispatch_plan& chosen)
        : plan(chosen), dice(chosen.seed)
    {
        this->upstreams(this->plan.upstreams, 5);
        for (int member = 0; member < this->plan.cut_members; ++member)
            for (int upstream = 0; upstream < this->plan.upstreams; ++upstream)
                if (this->draw() < this->plan.cut_share)
                    this->cut.insert({member, id_of(upstream)});
        for (int each = 0; each < this->plan.dark_upstreams; ++each)
            this->dark.insert(id_of(each));
    }

    void run()
    {
        const base::instant start = this->now;
        while (this->now < start + run_time) {
            this->elapsed = this->now - start;
            this->ask();
            this->report_due();
            this->last_actions.clear();
            this->tested.tick(this->now, this->last_actions);
            this->execute();
            this->now += step_length;
        }
    }

    // During the cut, once entries had time to notice it.
    member_counts reaching;
    member_counts cut_off;
    // Sends to dark upstreams from 1 s after they fell silent.
    int sends_to_dark = 0;
    int sends_after_cut = 0;

private:
    struct running {
        int member = 0;
        base::upstream_id upstream;
        base::instant first_at;
        base::instant ends_at;
        bool fails = false;
    };

    static base::upstream_id id_of(int number)
    {
        return base::upstream_id("i-" + std::to_string(number));
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->dice);
    }

    bool in_cut() const
    {
        return this->elapsed >= cut_begins && this->elapsed < cut_ends;
    }

    member_counts* counts_of(int member)
    {
        if (this->elapsed < cut_begins + 1s || !this->in_cut())
            return nullptr;
        return member < this->plan.cut_members ? &this->cut_off
                                               : &this->reaching;
    }

    void ask()
    {
        const double chance =
            this->plan.requests *
            std::chrono::duration<double>(step_length).count();
        for (int member = 0; member < this->plan.members; ++member)
            if (this->draw() < chance)
                this->submit(member, this->counts_of(member));
    }

    void submit(int member, member_counts* counted)
    {
        request_facts facts = stream_facts();
        facts.delegated = true;
        facts.first_event_timeout = 1s;
        facts.sender = base::slot_id("member-" + std::to_string(member));
        const base::request_id id{this->next_request_id++};
        this->members[id] = member;
        this->counted[id] = counted;
        if (counted != nullptr)
            counted->asked += 1;
        this->last_actions.clear();
        this->tested.step(
            request_arrived{id, facts}, this->now, this->last_actions);
        this->execute();
    }

    void execute()
    {
        const actions given = this->last_actions;
        for (const auto& one : given) {
            const auto* sent = std::get_if<send_request>(&one);
            if (sent == nullptr)
                continue;
            const int member = this->members.at(sent->request);
            const bool dark =
                this->in_cut() && this->dark.count(sent->upstream);
            const bool fails =
                dark ||
                (this->in_cut() && this->cut.count({member, sent->upstream}));
            if (dark && this->elapsed > cut_begins + 1s)
                this->sends_to_dark += 1;
            const base::duration failure_time =
                (this->plan.refused && !dark ? 1ms : connect_timeout) +
                report_delay;
            this->sends[sent->request] = {
                member,
                sent->upstream,
                this->now +
                    (fails ? failure_time : time_to_first_event + report_delay),
                this->now + answer_time + report_delay,
                fails};
        }
    }

    void report_due()
    {
        std::vector<std::pair<base::request_id, event>> due;
        for (auto& [id, one] : this->sends) {
            if (one.fails && this->now >= one.first_at)
                due.emplace_back(id, connect_failed{id, 1});
            else if (!one.fails && this->now >= one.ends_at)
                due.emplace_back(id, answer_received{id, 1, true});
            else if (!one.fails && this->now >= one.first_at)
                due.emplace_back(id, events_received{id, 1, 1});
        }
        for (const auto& [id, what] : due) {
            if (!std::holds_alternative<events_received>(what)) {
                const running ended = this->sends.at(id);
                this->sends.erase(id);
                member_counts* const counted = this->counted.at(id);
                if (!ended.fails && counted != nullptr)
                    counted->served += 1;
                // The member asks for another slot.
                if (ended.fails)
                    this->submit_again(id, ended.member, counted);
            }
            this->last_actions.clear();
            this->tested.step(what, this->now, this->last_actions);
            this->execute();
        }
    }

    void submit_again(base::request_id id, int member, member_counts* counted)
    {
        if (++this->connects[id.value] > 12)
            return;
        const base::request_id next{this->next_request_id};
        this->connects[next.value] = this->connects[id.value];
        const member_counts before = counted ? *counted : member_counts();
        this->submit(member, counted);
        if (counted != nullptr)
            counted->asked = before.asked;
    }

    dispatch_plan plan;
    std::mt19937_64 dice;
    base::duration elapsed{0};
    std::set<std::pair<int, base::upstream_id>> cut;
    std::set<base::upstream_id> dark;
    std::map<base::request_id, int> members;
    std::map<base::request_id, member_counts*> counted;
    std::map<base::request_id, running> sends;
    std::map<std::uint64_t, int> connects;
};

constexpr double served_by_entries_in_touch = 0.97;

} // namespace

TEST_CASE("entries_cut_off_from_all_upstreams_leave_these_to_the_others")
{
    for (const bool refused : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(refused);
            CAPTURE(seed);
            dispatch_plan plan;
            plan.refused = refused;
            plan.seed = seed;
            dispatch_run run(plan);
            run.run();
            CHECK(run.reaching.share() >= served_by_entries_in_touch);
        }
    }
}

TEST_CASE("entries_cut_off_from_some_upstreams_use_the_others")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        dispatch_plan plan;
        plan.seed = seed;
        plan.refused = seed % 2 == 0;
        plan.cut_members = 1 + static_cast<int>(seed % 5);
        plan.cut_share = 0.2 + 0.07 * static_cast<double>(seed);
        CAPTURE(seed);
        dispatch_run run(plan);
        run.run();
        CHECK(run.reaching.share() >= served_by_entries_in_touch);
        CHECK(run.cut_off.share() >= served_by_entries_in_touch);
    }
}

// A fault of the upstreams themselves.
TEST_CASE("dark_upstreams_are_left_by_all_entries")
{
    for (const double requests : {1.0, 6.0}) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(requests);
            CAPTURE(seed);
            dispatch_plan plan;
            plan.cut_members = 0;
            plan.dark_upstreams = 6;
            plan.requests = requests;
            plan.seed = seed;
            dispatch_run run(plan);
            run.run();
            // One probe each 250 ms for 7 s.
            CHECK(run.sends_to_dark <= 28);
            CHECK(run.reaching.share() >= served_by_entries_in_touch);
        }
    }
}

TEST_CASE("failures_of_an_entry_that_dispatches_for_itself_all_count")
{
    reachability tested;
    const base::instant now{1h};
    for (int each = 0; each < 6; ++each) {
        const base::upstream_id upstream("i-" + std::to_string(each));
        tested.on_sent(this_entry, now);
        CHECK(tested.on_connect_failed(this_entry, upstream, now, now).counts);
    }
    CHECK(tested.is_unrestricted(this_entry, now));
}

TEST_CASE("failures_of_an_isolated_entry_are_retracted")
{
    reachability tested;
    const base::instant now{1h};
    const base::slot_id member("member");
    std::vector<base::upstream_id> counted;
    std::vector<base::upstream_id> retracted;
    for (int each = 0; each < 6; ++each) {
        const base::upstream_id upstream("i-" + std::to_string(each));
        tested.on_sent(member, now);
        const auto verdict =
            tested.on_connect_failed(member, upstream, now, now);
        if (verdict.counts)
            counted.push_back(upstream);
        retracted.insert(retracted.end(),
                         verdict.retracted.begin(),
                         verdict.retracted.end());
    }
    CHECK(counted == retracted);
    CHECK(tested.avoids(member, base::upstream_id("i-9"), now));
    CHECK_FALSE(tested.avoids(this_entry, base::upstream_id("i-0"), now));
}

} // namespace greengagedrum::traffic
