// The report as JSON and as a table.
#include <load/answer_reader.hpp>
#include <load/report.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace load
{

namespace
{

using greengagedrum::base::all_tiers;
using nlohmann::json;

constexpr std::array<ending, ending_count> all_endings = {ending::answered,
                                                          ending::not_run,
                                                          ending::may_have_run,
                                                          ending::refused,
                                                          ending::unreachable,
                                                          ending::lost};

json to_json(const latency& times)
{
    return {{"count", times.count()},
            {"p50_ms", times.quantile(0.5)},
            {"p95_ms", times.quantile(0.95)},
            {"p99_ms", times.quantile(0.99)}};
}

json endings_of(const tier_report& tier)
{
    json counts;
    for (const ending how : all_endings)
        counts[std::string(to_string(how))] =
            tier.endings[static_cast<std::size_t>(how)];
    return counts;
}

json tier_to_json(const report& found, greengagedrum::base::tier level)
{
    const tier_report& tier = found.tiers[index_of(level)];
    return {{"offered", tier.offered},
            {"correct", tier.correct},
            {"good", tier.good},
            {"goodput_per_second", found.goodput(level)},
            {"good_part", found.good_part(level)},
            {"retries", tier.retries},
            {"verdicts", endings_of(tier)},
            {"first_token", to_json(tier.first_token)},
            {"total", to_json(tier.total)},
            {"between_tokens", to_json(tier.between)}};
}

template <class... Values>
std::string line(const char* format, Values... values)
{
    std::array<char, 256> text{};
    std::snprintf(text.data(), text.size(), format, values...);
    return std::string(text.data()) + "\n";
}

// Counts are printed as double: one format for all of them.
double count(std::uint64_t value)
{
    return static_cast<double>(value);
}

std::string counts_line(const report& found, greengagedrum::base::tier level)
{
    const tier_report& tier = found.tiers[index_of(level)];
    const auto at = [&tier](ending how) {
        return count(tier.endings[static_cast<std::size_t>(how)]);
    };
    return line("%-11s %7.0f %7.0f %8.2f %6.1f%% %7.0f %7.0f %7.0f %7.0f %7.0f",
                std::string(to_string(level)).c_str(),
                count(tier.offered),
                count(tier.good),
                found.goodput(level),
                found.good_part(level) * 100,
                at(ending::not_run),
                at(ending::may_have_run),
                at(ending::refused),
                at(ending::lost) + at(ending::unreachable),
                count(tier.retries));
}

std::string times_line(const char* tier, const char* what, const latency& times)
{
    return line("%-11s %-14s %10.2f %10.2f %10.2f %9.0f",
                tier,
                what,
                times.quantile(0.5),
                times.quantile(0.95),
                times.quantile(0.99),
                count(times.count()));
}

std::string counts_table(const report& found)
{
    std::string text = line("%-11s %7s %7s %8s %7s %7s %7s %7s %7s %7s",
                            "tier",
                            "offered",
                            "good",
                            "good/s",
                            "part",
                            "not_run",
                            "may_run",
                            "refused",
                            "lost",
                            "retries");
    for (const auto level : all_tiers)
        if (found.tiers[index_of(level)].offered > 0)
            text += counts_line(found, level);
    return text;
}

std::string times_table(const report& found)
{
    std::string text = line("%-11s %-14s %10s %10s %10s %9s",
                            "tier",
                            "ms",
                            "p50",
                            "p95",
                            "p99",
                            "count");
    for (const auto level : all_tiers) {
        const tier_report& tier = found.tiers[index_of(level)];
        if (tier.offered == 0)
            continue;
        const std::string name(to_string(level));
        text += times_line(name.c_str(), "first token", tier.first_token);
        text += times_line(name.c_str(), "total", tier.total);
        text += times_line(name.c_str(), "between tokens", tier.between);
    }
    return text + times_line("(all)", "send lateness", found.lateness);
}

std::string ledger_lines(const report& found)
{
    if (found.ledgers_read == 0)
        return "no ledger was read: duplicates, false not_run and wasted "
               "prefill are unknown\n";
    const audit& all = found.ledgers;
    return line("duplicates: %.0f", count(all.duplicates)) +
           line("false not_run: %.0f", count(all.false_not_run)) +
           line("wasted prefill: %.0f of %.0f tokens (%.2f%%)",
                count(all.wasted_prefill),
                count(all.prefill_tokens),
                found.wasted_part() * 100) +
           line("idempotent requests run again: %.0f", count(all.repeated)) +
           line("answered without a run in a ledger: %.0f",
                count(all.without_run)) +
           line("ledgers read: %.0f, failed: %.0f",
                count(found.ledgers_read),
                count(found.ledgers_failed));
}

} // namespace

json to_json(const report& found)
{
    json tiers;
    for (const auto level : all_tiers)
        tiers[std::string(to_string(level))] = tier_to_json(found, level);
    const audit& all = found.ledgers;
    return {{"seconds", found.seconds},
            {"offered", found.offered()},
            {"retries", found.retries()},
            {"broken_promises", found.broken()},
            {"duplicates", all.duplicates},
            {"false_not_run", all.false_not_run},
            {"not_whole", found.not_whole},
            {"not_own", found.not_own},
            {"verdict_unclear", found.verdict_unclear},
            {"repeated_idempotent", all.repeated},
            {"answered_without_run", all.without_run},
            {"prefill_tokens", all.prefill_tokens},
            {"wasted_prefill_tokens", all.wasted_prefill},
            {"wasted_prefill_part", found.wasted_part()},
            {"ledgers_read", found.ledgers_read},
            {"ledgers_failed", found.ledgers_failed},
            {"send_lateness", to_json(found.lateness)},
            {"reasons", found.reasons},
            {"examples", found.examples},
            {"ledger_examples", all.examples},
            {"tiers", tiers}};
}

std::string to_text(const report& found)
{
    std::string text = counts_table(found) + "\n" + times_table(found) + "\n";
    text += ledger_lines(found);
    text += line("not whole: %.0f", count(found.not_whole));
    text += line("not own: %.0f", count(found.not_own));
    text += line("verdict unclear: %.0f", count(found.verdict_unclear));
    for (const auto& [reason, times] : found.reasons)
        text += line("reason %s: %.0f", reason.c_str(), count(times));
    for (const std::string& example : found.ledgers.examples)
        text += "broken: " + example + "\n";
    for (const std::string& example : found.examples)
        text += "broken: " + example + "\n";
    return text + line("broken promises: %.0f", count(found.broken()));
}

} // namespace load
