#include <greengagedrum/placement/seconds.hpp>
#include <greengagedrum/placement/upstream_state.hpp>

#include <algorithm>

namespace greengagedrum::placement
{

namespace
{

// Speeds assumed of an upstream whose document gives none.
constexpr double default_prefill_speed = 4000; // tokens a second
constexpr double default_decode_speed = 40;    // tokens a second, a stream

constexpr double quick_memory = 48;   // tokens
constexpr double usual_memory = 4096; // tokens
constexpr double own_past = 64;       // tokens measured, to be judged by

// A prompt is overdue this many times past its estimate, and by this much.
constexpr double overdue_factor = 3;
constexpr double overdue_margin = 1; // seconds

// A prefill measured against an estimate below this says nothing.
constexpr double prefill_shortest = 0.05; // seconds
constexpr double prefill_weight = 3;      // counts as so many tokens

constexpr base::duration changes_kept = std::chrono::seconds(10);
constexpr std::size_t changes_max = 512;

double prefill_speed(const config::upstream_entry& entry)
{
    return entry.prefill_tokens_per_second > 0 ? entry.prefill_tokens_per_second
                                               : default_prefill_speed;
}

double decode_speed(const config::upstream_entry& entry)
{
    return entry.decode_tokens_per_second > 0 ? entry.decode_tokens_per_second
                                              : default_decode_speed;
}

} // namespace

upstream_state::upstream_state(const config::upstream_entry& given)
    : id(given.id), allowance(given.max_in_flight), entry(given)
{
    this->prefill.start(prefill_speed(given));
    this->foreign.drains_at(this->prefill.speed());
    this->decode.start(decode_speed(given), quick_memory);
    this->usual.start(decode_speed(given), usual_memory);
    this->update(given);
}

void upstream_state::update(const config::upstream_entry& given)
{
    if (given.max_in_flight != this->entry.max_in_flight)
        this->allowance = given.max_in_flight;
    const bool first = this->models.empty();
    const bool changed = given.models != this->entry.models;
    this->entry = given;
    this->places = given.max_in_flight;
    if (!first && !changed)
        return;
    this->models.clear();
    for (const std::string& model : given.models)
        this->models.emplace_back(model);
}

bool upstream_state::holds(base::model_id model) const
{
    return model.empty() ||
           std::find(this->models.begin(), this->models.end(), model) !=
               this->models.end();
}

bool upstream_state::reported(const load_report& report, base::instant now)
{
    const base::instant taken = now - report.age;
    double requests = this->in_flight;
    double tokens = this->prompt_tokens;
    for (const change& one : this->changes) {
        if (one.at <= taken)
            continue;
        requests -= one.requests;
        tokens -= one.tokens;
    }
    this->reported_load = report.running + report.waiting;
    this->foreign.reported(this->reported_load - std::max(0.0, requests),
                           static_cast<double>(report.prefill_tokens) -
                               std::max(0.0, tokens),
                           taken);
    if (report.models.empty() || report.models == this->models)
        return false;
    this->models = report.models;
    return true;
}

void upstream_state::remember(int requests, double tokens, base::instant now)
{
    while (!this->changes.empty() &&
           (this->changes.size() >= changes_max ||
            now - this->changes.front().at > changes_kept))
        this->changes.pop_front();
    this->changes.push_back({now, requests, tokens});
}

void upstream_state::sent(base::dispatch_id dispatch,
                          sending& what,
                          base::instant now)
{
    what.ahead = this->backlog(now);
    what.first_token_time =
        this->estimate(what.expected_prompt, what.item.output_tokens, now)
            .first_token;
    const base::instant due =
        now +
        duration_of(overdue_factor * what.first_token_time + overdue_margin);
    this->prompts.push_back({dispatch, what.expected_prompt, due});
    if (this->prompts.size() == 1)
        this->take_turn(now);
    this->prompt_tokens += what.expected_prompt;
    this->in_flight += 1;
    this->remember(1, what.expected_prompt, now);
    if (this->watch.suspected(now))
        this->watch.probed(now);
}

// The first prompt of ours is prefilled from now on.
void upstream_state::take_turn(base::instant now)
{
    this->turn_at = now;
    if (this->prompts.empty()) {
        this->prompt_tokens = 0; // no drift of rounding
        this->turn_tokens = 0;
        this->overdue_at = base::instant::max();
        return;
    }
    this->turn_tokens = this->prompts.front().tokens;
    this->overdue_at = this->prompts.front().due;
}

void upstream_state::prefilled(base::dispatch_id dispatch, base::instant now)
{
    const auto found = std::find_if(
        this->prompts.begin(), this->prompts.end(), [&](const pending& one) {
            return one.dispatch == dispatch;
        });
    if (found == this->prompts.end())
        return;
    this->prompt_tokens -= found->tokens;
    this->remember(0, -found->tokens, now);
    this->prompts.erase(found);
    this->take_turn(now);
}

void upstream_state::learn_prefill(const sending& what, base::instant now)
{
    const double took = seconds_of(now - what.since);
    const double expected = what.first_token_time;
    if (expected >= prefill_shortest)
        this->judge(prefill_weight, took / expected, now);
    const double tokens = what.ahead + what.expected_prompt;
    // The wait for a place is no prefill.
    const double waited =
        std::max(0.0, expected - tokens / this->prefill.speed());
    if (took > waited)
        this->prefill.add(tokens, took - waited);
    this->foreign.drains_at(this->prefill.speed());
}

// When it is found well again, what was learnt while it was not would keep work
// away for as long as it took to learn; it starts as new.
void upstream_state::judge(double tokens, double ratio, base::instant now)
{
    const bool changed = this->watch.measured(tokens, ratio, now);
    if (!changed || this->watch.suspected(now))
        return;
    this->decode.start(1 / this->normal_gap(0), quick_memory);
    this->prefill.start(prefill_speed(this->entry));
}

// What a token of this engine should take. Its like are believed over its own
// past when they are faster, or when it has hardly any past.
double upstream_state::normal_gap(double beside) const
{
    const double own = this->usual.gap(beside);
    if (this->generation_gap <= 0)
        return own;
    const double like = this->generation_gap * own / this->usual.gap(0);
    return this->usual.learnt() < own_past ? like : std::min(own, like);
}

void upstream_state::learn_decode(sending& what,
                                  std::uint32_t tokens,
                                  base::instant now)
{
    const std::uint32_t step = tokens - what.tokens;
    const double took = seconds_of(now - what.last);
    const double beside = std::max(0.0, this->others(now) - 1);
    const double normal = this->normal_gap(beside);
    what.largest_step = std::max(what.largest_step, step);
    // Two events of one reading come together; the time is counted once more
    // tokens have come.
    if (took <= 0)
        return;
    const double count = step;
    this->judge(count, took / count / normal, now);
    this->decode.add(count, took, beside);
    this->usual.add(count, took, beside);
}

void upstream_state::progressed(base::dispatch_id dispatch,
                                sending& what,
                                std::uint32_t tokens,
                                base::instant now)
{
    if (tokens <= what.tokens)
        return;
    if (what.tokens == 0) {
        this->learn_prefill(what, now);
        this->prefilled(dispatch, now);
        what.largest_step = tokens;
    } else {
        this->learn_decode(what, tokens, now);
        if (now == what.last)
            return;
    }
    what.tokens = tokens;
    what.last = now;
}

void upstream_state::ended(base::dispatch_id dispatch,
                           const sending& what,
                           base::instant now)
{
    this->in_flight -= 1;
    this->remember(-1, 0, now);
    if (what.tokens == 0)
        this->prefilled(dispatch, now);
}

} // namespace greengagedrum::placement
