#include <greengagedrum/trace/expectation.hpp>
#include <greengagedrum/trace/json_codec.hpp>

#include <algorithm>
#include <functional>
#include <set>

namespace greengagedrum::trace
{

namespace
{

using request_check = std::function<bool(
    const request_record& record, const json& want, const ledger& all)>;
using upstream_check = std::function<bool(const std::vector<handing_over>& sent,
                                          const json& want)>;
using all_check = std::function<bool(const ledger& all, const json& want)>;

std::uint64_t number(const json& want)
{
    std::uint64_t out = 0;
    read(want, out);
    return out;
}

base::instant instant_at(const json& want_ms)
{
    constexpr std::uint64_t ms_max = 1'000'000'000'000;
    return base::instant(std::chrono::milliseconds(
        static_cast<std::int64_t>(std::min(number(want_ms), ms_max))));
}

std::string end_of(const request_record& record)
{
    if (!record.ended)
        return "open";
    if (!record.verdict)
        return "answered";
    return std::string(base::to_string(record.verdict->run));
}

std::optional<base::instant> first_dispatch(const request_record& record)
{
    if (record.dispatches.empty())
        return std::nullopt;
    return record.dispatches.front().at;
}

const request_record& other(const json& want, const ledger& all)
{
    const request_record* found = all.find(base::request_id{number(want)});
    if (found == nullptr)
        throw bad_line("no request " + want.dump());
    return *found;
}

bool dispatched_before(const request_record& record,
                       const json& want,
                       const ledger& all)
{
    const auto own = first_dispatch(record);
    const auto others = first_dispatch(other(want, all));
    return own && (!others || *own < *others);
}

bool ended_before(const request_record& record,
                  const json& want,
                  const ledger& all)
{
    const request_record& second = other(want, all);
    return record.ended && (!second.ended || *record.ended < *second.ended);
}

std::size_t upstreams_of(const request_record& record)
{
    std::set<base::upstream_id> out;
    for (const handing_over& one : record.dispatches)
        out.insert(one.upstream);
    return out.size();
}

const std::map<std::string, request_check>& request_checks()
{
    using record = const request_record&;
    using value = const json&;
    using whole = const ledger&;
    static const std::map<std::string, request_check> table = {
        {"ends",
         [](record it, value want, whole) { return want == end_of(it); }},
        {"why",
         [](record it, value want, whole) {
             return it.verdict && want == write(it.verdict->why);
         }},
        {"retry_hint",
         [](record it, value want, whole) {
             return it.verdict &&
                    want == json(it.verdict->retry_after.has_value());
         }},
        {"answer_length",
         [](record it, value want, whole) {
             return number(want) == it.answer_length;
         }},
        {"ended_by_ms",
         [](record it, value want, whole) {
             return it.ended && *it.ended <= instant_at(want);
         }},
        {"never_dispatched",
         [](record it, value want, whole) {
             return want == json(it.handed_over() == 0);
         }},
        {"dispatched_times",
         [](record it, value want, whole) {
             return it.handed_over() == number(want);
         }},
        {"dispatched_times_most",
         [](record it, value want, whole) {
             return it.handed_over() <= number(want);
         }},
        {"upstreams_least",
         [](record it, value want, whole) {
             return upstreams_of(it) >= number(want);
         }},
        {"resumed_times_least",
         [](record it, value want, whole) {
             return it.resumes >= number(want);
         }},
        {"cancelled",
         [](record it, value want, whole) {
             return want == json(it.cancels > 0);
         }},
        {"dispatched_before", dispatched_before},
        {"ended_before", ended_before},
    };
    return table;
}

const std::map<std::string, upstream_check>& upstream_checks()
{
    using list = const std::vector<handing_over>&;
    using value = const json&;
    static const std::map<std::string, upstream_check> table = {
        {"no_dispatch_after_ms",
         [](list sent, value want) {
             return std::none_of(
                 sent.begin(), sent.end(), [&](const handing_over& one) {
                     return one.at > instant_at(want);
                 });
         }},
        {"dispatched_times",
         [](list sent, value want) { return sent.size() == number(want); }},
        {"dispatched_times_least",
         [](list sent, value want) { return sent.size() >= number(want); }},
    };
    return table;
}

const std::map<std::string, all_check>& all_checks()
{
    using whole = const ledger&;
    using value = const json&;
    static const std::map<std::string, all_check> table = {
        {"dispatched_times_most",
         [](whole all, value want) {
             std::size_t sum = 0;
             for (const auto& [id, record] : all.requests())
                 sum += record.handed_over();
             return sum <= number(want);
         }},
        {"ends",
         [](whole all, value want) {
             return std::all_of(
                 all.requests().begin(),
                 all.requests().end(),
                 [&](const auto& one) { return want == end_of(one.second); });
         }},
        {"open",
         [](whole all, value want) {
             return static_cast<std::uint64_t>(std::count_if(
                        all.requests().begin(),
                        all.requests().end(),
                        [](const auto& one) { return !one.second.ended; })) ==
                    number(want);
         }},
    };
    return table;
}

std::vector<handing_over> sent_to(base::upstream_id upstream, const ledger& all)
{
    std::vector<handing_over> out;
    for (const auto& [id, record] : all.requests()) {
        for (const handing_over& one : record.dispatches) {
            if (one.upstream == upstream && !one.refused)
                out.push_back(one);
        }
    }
    return out;
}

// Checks each member but `subject` by its function in the table.
template <class Table, class Check>
std::optional<std::string> run(const json& expect,
                               std::string_view subject,
                               const Table& table,
                               Check check)
{
    if (expect.size() < 2)
        return "expect: states nothing";
    for (const auto& [name, want] : expect.items()) {
        if (name == subject)
            continue;
        const auto found = table.find(name);
        if (found == table.end())
            return "expect: unknown member " + name;
        if (!check(found->second, want))
            return "expected " + std::string(subject) + " " +
                   expect.at(std::string(subject)).dump() + " " + name + " " +
                   want.dump();
    }
    return std::nullopt;
}

std::string summary(const request_record& record)
{
    return "; found: ends " + end_of(record) + ", dispatched " +
           std::to_string(record.handed_over()) + " times, resumed " +
           std::to_string(record.resumes) +
           (record.verdict ? ", why " + write(record.verdict->why).dump()
                           : std::string());
}

std::optional<std::string> check_request(const json& expect, const ledger& all)
{
    const request_record& record = other(expect.at("request"), all);
    const auto wrong = run(expect,
                           "request",
                           request_checks(),
                           [&](const request_check& check, const json& want) {
                               return check(record, want, all);
                           });
    if (!wrong)
        return std::nullopt;
    return *wrong + summary(record);
}

std::optional<std::string> check(const json& expect, const ledger& all)
{
    if (expect.contains("request"))
        return check_request(expect, all);
    if (expect.contains("upstream")) {
        base::upstream_id upstream;
        read(expect.at("upstream"), upstream);
        const auto sent = sent_to(upstream, all);
        return run(expect,
                   "upstream",
                   upstream_checks(),
                   [&](const upstream_check& one, const json& want) {
                       return one(sent, want);
                   });
    }
    if (!expect.contains("all"))
        return "expect: names no request, no upstream and not all";
    return run(
        expect,
        "all",
        all_checks(),
        [&](const all_check& one, const json& want) { return one(all, want); });
}

} // namespace

std::optional<std::string> broken(const json& expect, const ledger& found)
{
    try {
        return check(expect, found);
    } catch (const bad_line& fault) {
        return std::string("expect: ") + fault.what();
    } catch (const json::exception& fault) {
        return std::string("expect: ") + fault.what();
    }
}

} // namespace greengagedrum::trace
