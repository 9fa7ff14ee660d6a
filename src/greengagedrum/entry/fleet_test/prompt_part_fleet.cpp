#include <greengagedrum/entry/fleet_test/prompt_part_fleet.hpp>

#include <algorithm>
#include <initializer_list>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration poison_after = 5s; // of the start
constexpr std::uint32_t counted_crash = 5;
// Time after the fifth crash from which a send counts as late.
constexpr base::duration late_after = 3s;
// Time after the fifth crash from which the shares of sent requests are
// counted, until this long before the end: a queued request waits two seconds.
constexpr base::duration settled_after = 6s;
constexpr base::duration queued_at_most = 2500ms;
// Entries that are killed in turn, and poison requests aimed at one.
constexpr base::duration kill_interval = 1100ms;
constexpr base::duration down_time = 500ms;
constexpr base::duration aimed_for = 1500ms;
constexpr base::duration aimed_interval = 50ms;
// Fewer requests than this say nothing about their share.
constexpr std::uint32_t fewest_requests = 4;

constexpr std::size_t kinds = 2;
constexpr std::size_t common_workspaces = 3;
constexpr std::size_t rare_workspace = 3;
// Sessions of which the first ones are popular, and the last ones are of the
// rare workspace. The numbers after them are of poison parts.
constexpr std::size_t sessions = 40;
constexpr std::size_t popular_sessions = 4;
constexpr std::size_t rare_workspace_sessions = 2;
constexpr double popular_share = 0.5;
constexpr double companion_share = 0.15;

std::size_t workspace_of(std::size_t session)
{
    return session >= sessions - rare_workspace_sessions
               ? rare_workspace
               : session % common_workspaces;
}

std::size_t kind_of(std::size_t session)
{
    return session / common_workspaces % kinds;
}

double relative(const sent_share& before, const sent_share& after)
{
    if (before.sent == 0 || after.arrived < fewest_requests)
        return 1;
    return after.value() / before.value();
}

void count(sent_share& group, bool belongs, bool sent)
{
    group.arrived += belongs ? 1 : 0;
    group.sent += belongs && sent ? 1 : 0;
}

} // namespace

double prompt_part_result::relative_sent_share() const
{
    return std::min({relative(this->first_before, this->first_after),
                     relative(this->workspace_before, this->workspace_after),
                     relative(this->companion_before, this->companion_after)});
}

prompt_part_fleet::prompt_part_fleet(const prompt_part_plan& plan)
    : plan(plan), parts(plan.kind == poison_part_kind::two ? 2 : 1),
      fleet(plan, this->hooks()),
      poison_from(this->fleet.time() + poison_after),
      next_poison(this->poison_from)
{
    const bool was_sound = plan.kind == poison_part_kind::sound_before;
    const origin drawn = this->draw_session();
    const std::size_t session = plan.rare_workspace
                                    ? sessions - rare_workspace_sessions
                                    : drawn.session;
    this->poison_origin = {kind_of(session),
                           workspace_of(session),
                           was_sound ? session : sessions};
}

upstream_crash_fleet::hooks prompt_part_fleet::hooks()
{
    upstream_crash_fleet::hooks out;
    out.started = [this](upstream_crash_fleet::run& one) {
        this->start_run(one);
    };
    out.crashed = [this](const upstream_crash_fleet::run& one) {
        this->record_crash(one);
    };
    out.interrupted = [this](const upstream_crash_fleet::run& one) {
        this->result.bystanders += one.events > 0 ? 1 : 0;
    };
    out.ended = [this](base::request_id id, const base::verdict& verdict) {
        if (this->sound.contains(id) &&
            verdict.why == base::reason::quarantined)
            this->result.refused_as_quarantined += 1;
    };
    out.answered = [this](base::request_id id) {
        this->result.answered += this->sound.contains(id) ? 1 : 0;
    };
    return out;
}

void prompt_part_fleet::start_run(upstream_crash_fleet::run& one)
{
    const auto found = this->poison.find(one.request);
    if (found != this->poison.end())
        return this->start_poison_run(one, found->second);
    this->sound.at(one.request).sent = true;
    one.next_event_at = this->fleet.time() + 150ms;
    one.ends_at = this->fleet.time() + 600ms +
                  std::chrono::microseconds(this->fleet.random()() % 900'000);
}

void prompt_part_fleet::start_poison_run(upstream_crash_fleet::run& one,
                                         const poison_request& request)
{
    const base::instant now = this->fleet.time();
    one.crashes = true;
    one.ends_at = now + 150ms +
                  std::chrono::microseconds(this->fleet.random()() % 50'000);
    if (!this->fleet.is_informed(one.entry, this->plan.informed_after))
        return;
    for (const std::size_t number : request.parts) {
        part_record& record = this->parts[number];
        if (record.crashes >= counted_crash &&
            now - record.last_at > late_after)
            record.late_sends += 1;
    }
}

void prompt_part_fleet::record_crash(const upstream_crash_fleet::run& one)
{
    this->result.crashed += 1;
    for (const std::size_t number : this->poison.at(one.request).parts) {
        part_record& record = this->parts[number];
        record.crashes += 1;
        if (record.crashes <= counted_crash)
            record.last_at = this->fleet.time();
    }
}

// Nobody is left who can know of a crash, so the count starts again.
void prompt_part_fleet::forget_crashes_when_all_are_killed()
{
    if (this->forgot || this->fleet.seconds() < this->plan.all_killed_at)
        return;
    this->forgot = true;
    for (part_record& one : this->parts)
        one.crashes = 0;
}

base::request_digest prompt_part_fleet::part(const std::string& name)
{
    return base::digest_of_prompt_part(
        upstream_crash_fleet::stream_request().service, name);
}

prompt_part_fleet::origin prompt_part_fleet::draw_session()
{
    const bool popular = this->fleet.draw() < popular_share;
    const std::size_t session =
        popular ? this->fleet.random()() % popular_sessions
                : popular_sessions +
                      this->fleet.random()() % (sessions - popular_sessions);
    return {kind_of(session), workspace_of(session), session};
}

traffic::request_facts prompt_part_fleet::facts_of(const origin& from)
{
    const std::string workspace = "workspace-" + std::to_string(from.workspace);
    const std::string kind = "kind-" + std::to_string(from.kind);
    traffic::request_facts facts = upstream_crash_fleet::stream_request();
    facts.workspace = base::workspace_id(workspace);
    facts.kind = base::kind_id(kind);
    facts.digest = base::digest_of_request(
        workspace, "POST", "/" + kind, std::to_string(this->next_body++));
    facts.prompt_parts = {part("first of " + kind), part(workspace)};
    if (this->plan.resumable) {
        facts.retry = routing::retry_policy::resumable;
        facts.attempts_max = 2;
    }
    return facts;
}

void prompt_part_fleet::send_sound_request()
{
    const std::size_t entry = this->fleet.random()() % this->fleet.size();
    origin from = this->draw_session();
    while (from.session == this->poison_origin.session &&
           this->fleet.time() >= this->poison_from)
        from = this->draw_session();
    if (!this->fleet.is_serving(entry))
        return;
    const bool companion =
        this->plan.kind == poison_part_kind::with_companion &&
        this->fleet.draw() < companion_share;
    traffic::request_facts facts = this->facts_of(from);
    if (companion)
        facts.prompt_parts.push_back(part("companion"));
    facts.prompt_parts.push_back(
        part("session-" + std::to_string(from.session)));
    const bool poison_is_first = this->plan.kind == poison_part_kind::first;
    const base::request_id id = this->fleet.next_id();
    sound_request& request = this->sound[id];
    request.arrived = this->fleet.time();
    request.same_first =
        !poison_is_first && from.kind == this->poison_origin.kind;
    request.same_workspace =
        poison_is_first || from.workspace == this->poison_origin.workspace;
    request.has_companion = companion;
    this->result.ordinary += 1;
    this->fleet.submit(entry, id, facts);
}

void prompt_part_fleet::send_poison_request()
{
    const std::size_t entry = this->fleet.random()() % this->fleet.size();
    if (!this->is_spared(entry))
        this->send_poison_request(entry);
}

bool prompt_part_fleet::is_spared(std::size_t entry) const
{
    return this->plan.poison_on_return && !this->returned &&
           this->fleet.is_behind_partition(entry);
}

void prompt_part_fleet::kill_entries_in_turn()
{
    const base::instant now = this->fleet.time();
    if (!this->plan.kills_after_fifth_crash || now < this->next_kill ||
        this->parts.front().crashes < counted_crash)
        return;
    const std::size_t entry = this->fleet.random()() % this->fleet.size();
    this->next_kill = now + kill_interval;
    this->fleet.kill(entry, down_time);
    this->targets.push_back({entry, now + down_time + aimed_for});
}

void prompt_part_fleet::send_poison_to_targets()
{
    const base::instant now = this->fleet.time();
    if (this->plan.poison_on_return && !this->returned &&
        this->fleet.seconds() >= this->plan.cut_from + this->plan.cut_for) {
        this->returned = true;
        for (std::size_t entry = 0; entry < this->fleet.size(); ++entry) {
            if (this->fleet.is_behind_partition(entry))
                this->targets.push_back({entry, now + aimed_for});
        }
    }
    std::erase_if(this->targets,
                  [&](const target& one) { return one.until <= now; });
    if (now < this->next_to_targets)
        return;
    this->next_to_targets = now + aimed_interval;
    for (const target& one : this->targets)
        this->send_poison_request(one.entry);
}

void prompt_part_fleet::send_poison_request(std::size_t entry)
{
    if (!this->fleet.is_serving(entry))
        return;
    const bool poison_is_first = this->plan.kind == poison_part_kind::first;
    const origin from =
        poison_is_first ? this->draw_session() : this->poison_origin;
    traffic::request_facts facts = this->facts_of(from);
    if (poison_is_first)
        facts.prompt_parts.front() = part("poison first");
    if (this->plan.kind == poison_part_kind::with_companion)
        facts.prompt_parts.push_back(part("companion"));
    poison_request request{{0}};
    if (this->plan.kind == poison_part_kind::two) {
        const std::uint64_t choice = this->fleet.random()() % 5;
        if (choice == 4)
            request.parts = {0, 1};
        else
            request.parts = {choice % 2};
    }
    // The number of its session, or one after those of all sessions.
    for (const std::size_t number : request.parts)
        facts.prompt_parts.push_back(
            part("session-" + std::to_string(from.session + number)));
    const base::request_id id = this->fleet.next_id();
    this->poison.emplace(id, std::move(request));
    this->fleet.submit(entry, id, facts);
}

void prompt_part_fleet::send_sound_requests()
{
    constexpr double step_seconds = 0.005;
    double due = this->plan.requests *
                 static_cast<double>(this->plan.upstreams) * step_seconds;
    for (; due >= 1; due -= 1)
        this->send_sound_request();
    if (this->fleet.draw() < due)
        this->send_sound_request();
}

void prompt_part_fleet::send_poison_requests()
{
    if (this->plan.poison_requests <= 0 ||
        this->fleet.time() < this->next_poison)
        return;
    const double interval =
        (0.5 + this->fleet.draw()) / this->plan.poison_requests;
    this->next_poison =
        this->fleet.time() +
        base::duration(static_cast<std::int64_t>(interval * 1e6));
    this->send_poison_request();
}

void prompt_part_fleet::count_shares()
{
    base::instant settled_at = this->poison_from + settled_after;
    for (const part_record& one : this->parts)
        settled_at = std::max(settled_at, one.last_at + settled_after);
    const base::instant until = this->fleet.time() - queued_at_most;
    prompt_part_result& out = this->result;
    for (const auto& [id, one] : this->sound) {
        if (one.arrived < this->poison_from) {
            count(out.first_before, one.same_first, one.sent);
            count(out.workspace_before, one.same_workspace, one.sent);
            count(out.companion_before, one.has_companion, one.sent);
        }
        if (one.arrived >= settled_at && one.arrived < until) {
            count(out.first_after, one.same_first, one.sent);
            count(out.workspace_after, one.same_workspace, one.sent);
            count(out.companion_after, one.has_companion, one.sent);
        }
    }
}

prompt_part_result prompt_part_fleet::simulate()
{
    while (this->fleet.seconds() < this->plan.seconds) {
        if (!this->fleet.step())
            continue;
        this->forget_crashes_when_all_are_killed();
        this->send_sound_requests();
        this->send_poison_requests();
        this->kill_entries_in_turn();
        this->send_poison_to_targets();
    }
    this->count_shares();
    for (const part_record& one : this->parts)
        this->result.late_sends =
            std::max(this->result.late_sends, one.late_sends);
    this->result.records = this->fleet.most_records();
    this->result.bytes_per_second = this->fleet.busiest_bytes_per_second();
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
