#include <greengagedrum/trace/codec.hpp>
#include <greengagedrum/trace/expectation.hpp>
#include <greengagedrum/trace/json_codec.hpp>
#include <greengagedrum/trace/player.hpp>

#include <algorithm>

namespace greengagedrum::trace
{

namespace
{

// More steps than any trace needs between two of its lines: a core whose
// timers don't advance would spin for ever.
constexpr std::size_t steps_max = 200'000;

} // namespace

bool player::take(std::string_view text)
{
    this->line_number += 1;
    if (this->result.first)
        return false;
    if (text.empty())
        return true;
    const json line = json::parse(text, nullptr, false);
    fault wrong = line.is_object() ? this->take_line(line)
                                   : fault("the line is no JSON object");
    if (wrong)
        this->result.first = difference{
            this->line_number, std::move(*wrong), this->promise_broken};
    return !this->result.first;
}

replay_result player::finish()
{
    if (!this->result.first) {
        this->line_number += 1;
        fault wrong = this->core ? this->no_action_left()
                                 : fault("the trace has no header");
        if (wrong)
            this->result.first =
                difference{this->line_number, std::move(*wrong)};
    }
    return std::move(this->result);
}

player::fault player::take_line(const json& line)
{
    if (line.contains("story") && line.at("story").is_string()) {
        this->result.story = line.at("story").get<std::string>();
        return std::nullopt;
    }
    if (line.contains("trace"))
        return this->take_header(line);
    if (line.contains("dropped"))
        return "the recorder dropped lines here: " + line.dump();
    if (!this->core)
        return "the header is expected first";
    if (line.contains("event"))
        return this->take_event(line);
    if (line.contains("action"))
        return this->take_action(line);
    if (line.contains("expect"))
        return this->take_expect(line);
    if (line.contains("react"))
        return this->take_react(line);
    return "unknown line";
}

player::fault player::take_header(const json& line)
{
    if (this->core)
        return "a second header";
    if (line.at("trace") != format_version || !line.contains("options"))
        return "not a header of format version " +
               std::to_string(format_version);
    const auto options = options_from(line.at("options"));
    if (!options)
        return options.error();
    this->recorded = !line.contains("hand_written");
    this->core.emplace(*options);
    return std::nullopt;
}

// In a recording each tick stands in the trace; in a hand-written one time
// passes by the core's timers and the upstreams' reactions.
player::fault player::advance_to(const json& line)
{
    const auto at = instant_of(line);
    if (!at)
        return at.error();
    if (*at < this->now)
        return "time runs backwards";
    if (!this->recorded) {
        if (auto wrong = this->pass_until(*at))
            return wrong;
    }
    this->now = *at;
    return std::nullopt;
}

player::fault player::pass_until(base::instant until)
{
    for (std::size_t steps = 0; steps < steps_max; ++steps) {
        const auto wake = this->core->next_wake();
        const auto told = this->upstreams.next();
        const bool upstream_first = told && (!wake || *told <= *wake);
        const auto due = upstream_first ? told : wake;
        if (!due || *due > until)
            return std::nullopt;
        this->now = std::max(this->now, *due);
        delivery::event what = delivery::tick{};
        if (upstream_first)
            what = this->upstreams.take();
        if (auto wrong = this->step(what))
            return wrong;
    }
    return "the core's timers don't come to rest";
}

player::fault player::step(const delivery::event& what)
{
    this->found.note(what);
    this->actions.clear();
    this->core->step(what, this->now, this->actions);
    for (const delivery::action& one : this->actions) {
        if (auto promise = this->found.note(one, this->now)) {
            this->promise_broken = true;
            return "promise broken: " + *promise + ": " + to_json(one).dump();
        }
        if (!this->recorded)
            this->upstreams.note(one, this->now);
    }
    return std::nullopt;
}

// An event of a hand-written trace names a request instead of a dispatch, and
// which of its dispatches (from 1, else the newest), so that it can be late.
player::fault player::resolve(const json& line, delivery::event& what) const
{
    if (!line.contains("of_request"))
        return std::nullopt;
    base::request_id id;
    std::size_t which = 0;
    try {
        read(line.at("of_request"), id);
        read(line.value("of_dispatch", json(0U)), which);
    } catch (const std::exception& wrong) {
        return wrong.what();
    }
    const request_record* record = this->found.find(id);
    if (record == nullptr ||
        record->dispatches.size() < std::max<std::size_t>(which, 1))
        return "the request has no such dispatch";
    const handing_over& sent =
        which == 0 ? record->dispatches.back() : record->dispatches[which - 1];
    // A late event names an earlier connection itself.
    std::uint32_t connection = sent.connection;
    if (line.contains("connection"))
        read(line.at("connection"), connection);
    address(what, sent.dispatch, connection);
    return std::nullopt;
}

player::fault player::take_event(const json& line)
{
    if (auto wrong = this->no_action_left())
        return wrong;
    if (auto wrong = this->advance_to(line))
        return wrong;
    json members = line;
    members.erase("of_request");
    members.erase("of_dispatch");
    auto event = event_from(members);
    if (!event)
        return event.error();
    if (auto wrong = this->resolve(line, *event))
        return wrong;
    const auto* arrived = std::get_if<delivery::request_arrived>(&*event);
    if (arrived != nullptr && this->found.find(arrived->request) != nullptr)
        return "a request id that was used before";
    this->result.events += 1;
    if (auto wrong = this->step(*event))
        return wrong;
    if (this->recorded)
        this->untold.assign(this->actions.begin(), this->actions.end());
    return std::nullopt;
}

player::fault player::take_action(const json& line)
{
    const auto told = action_from(line);
    if (!told)
        return told.error();
    // Bodies are made up on reading, so both sides go through it.
    const json want = to_json(*told);
    if (this->untold.empty())
        return "the trace has an action that the core did not take";
    const json have = to_json(this->untold.front());
    this->untold.pop_front();
    if (have != want)
        return "the core's action is " + have.dump();
    this->result.actions_compared += 1;
    return std::nullopt;
}

player::fault player::no_action_left() const
{
    if (this->untold.empty())
        return std::nullopt;
    return "the core took an action that the trace lacks: " +
           to_json(this->untold.front()).dump();
}

player::fault player::take_expect(const json& line)
{
    if (auto wrong = this->no_action_left())
        return wrong;
    if (auto wrong = this->advance_to(line))
        return wrong;
    if (auto wrong = broken(line.at("expect"), this->found))
        return wrong;
    this->result.expectations += 1;
    return std::nullopt;
}

player::fault player::take_react(const json& line)
{
    if (this->recorded)
        return "react: only in a hand-written trace";
    if (auto wrong = this->advance_to(line))
        return wrong;
    return this->upstreams.add(line.at("react"));
}

replay_result replay(std::span<const std::string> lines)
{
    player one;
    for (const std::string& line : lines) {
        if (!one.take(line))
            break;
    }
    return one.finish();
}

std::vector<std::string> split_lines(std::string_view text)
{
    std::vector<std::string> out;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        out.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return out;
}

} // namespace greengagedrum::trace
