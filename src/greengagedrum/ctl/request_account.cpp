#include <greengagedrum/ctl/request_account.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace greengagedrum::ctl
{

namespace
{

using nlohmann::json;

// "2026-06-17T18:28:09.043Z": seconds of its day.
double seconds_of_day(const std::string& time)
{
    constexpr std::size_t clock_at = 11;
    if (time.size() < clock_at + 8)
        return 0;
    const auto part = [&](std::size_t at) {
        return std::strtod(time.c_str() + clock_at + at, nullptr);
    };
    constexpr double minute = 60;
    return (part(0) * minute + part(3)) * minute + part(6);
}

// Collectors put a time before the entry's name; only the name tells entries
// apart.
std::string source_of(std::string before, const std::string& name)
{
    const std::size_t last = before.find_last_not_of(" \t");
    if (last == std::string::npos)
        return name;
    before.resize(last + 1);
    return before.substr(before.find_last_of(" \t") + 1);
}

fate late_fate(const json& line, double waited, double expected)
{
    const double gap = line.value("longest_gap_ms", 0.0);
    const double gap_objective = line.value("gap_objective_ms", 0.0);
    if (gap_objective > 0 && gap > gap_objective)
        return fate::late_paused;
    return waited + expected > line.value("objective_ms", 0.0)
               ? fate::late_queued
               : fate::late_predicted;
}

fate end_fate(const json& line)
{
    const std::string why = line.value("why", "");
    if (line.value("verdict", "") != "not_run")
        return why == "deadline" ? fate::timed_out : fate::cut;
    if (why == "overloaded")
        return fate::no_room;
    return why == "no_upstream" ? fate::no_upstream : fate::refused;
}

} // namespace

std::string_view to_string(fate what)
{
    static constexpr std::array<std::string_view, fate_count> names = {
        "in time",
        "late, queued",
        "late, predicted in time",
        "late, paused",
        "refused, limit",
        "refused, no room",
        "refused, no upstream",
        "refused, other",
        "cut",
        "timed out",
        "caller left",
        "unfinished"};
    return names.at(static_cast<std::size_t>(what));
}

void request_account::read(std::istream& from, const std::string& name)
{
    std::string line;
    while (std::getline(from, line)) {
        const std::size_t start = line.find('{');
        if (start == std::string::npos ||
            line.find("\"request\"") == std::string::npos)
            continue;
        this->take(source_of(line.substr(0, start), name), line.substr(start));
    }
}

void request_account::take(const std::string& source, const std::string& text)
{
    const json line = json::parse(text, nullptr, false);
    if (line.is_discarded()) // of another program, or cut off
        return;
    const std::string event = line.value("event", "");
    const auto [found, fresh] =
        this->requests.try_emplace({source, line.value("request", "")});
    open_request& own = found->second;
    if (fresh) {
        own.order = this->requests.size();
        own.record.source = source;
        own.record.arrived = line.value("time", "");
    }
    request_record& record = own.record;
    const double now = seconds_of_day(line.value("time", ""));
    if (event == "request_arrived") {
        record.route = line.value("route", "");
        record.cost = line.value("cost", 0.0);
    } else if (event == "request_sent") {
        own.sent_at[line.value("send", 0U)] = now;
        record.upstream = line.value("upstream", "");
        if (!own.sent) {
            own.waited = line.value("waited_ms", 0.0);
            own.expected = line.value("expected_ms", 0.0);
        }
        own.sent = true;
    } else if (event == "send_answered" || event == "send_failed") {
        const auto send = own.sent_at.find(line.value("send", 0U));
        if (send == own.sent_at.end())
            return;
        record.slot_seconds += std::max(0.0, now - send->second);
        own.sent_at.erase(send);
    } else if (event == "request_answered") {
        record.ended = line.value("in_time", false)
                           ? fate::in_time
                           : late_fate(line, own.waited, own.expected);
        if (record.ended == fate::late_predicted)
            record.late_by =
                line.value("first_ms", 0.0) - line.value("objective_ms", 0.0);
    } else if (event == "request_ended") {
        record.ended = end_fate(line);
    } else if (event == "request_refused") {
        record.ended = line.value("why", "") == "limit_reached"
                           ? fate::over_limit
                           : fate::refused;
    } else if (event == "caller_left") {
        record.ended = fate::caller_left;
    }
}

std::vector<request_record> request_account::records() const
{
    std::vector<const open_request*> all;
    all.reserve(this->requests.size());
    for (const auto& [id, one] : this->requests)
        all.push_back(&one);
    std::sort(all.begin(), all.end(), [](const auto* left, const auto* right) {
        return left->order < right->order;
    });
    std::vector<request_record> out;
    out.reserve(all.size());
    for (const open_request* one : all)
        out.push_back(one->record);
    return out;
}

} // namespace greengagedrum::ctl
