#include <load/caller.hpp>
#include <load/engine_caller.hpp>
#include <load/http_endpoint.hpp>
#include <load/overhead.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <random>

namespace load
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::size_t most_pairs = 1'000'000;

struct sample {
    double first = 0; // ms to the first token
    double total = 0; // ms
};

struct round_samples {
    std::vector<sample> entry;
    std::vector<sample> direct;
};

// Runs the pairs; the same question text goes both ways under two tags.
class overhead_run
{
public:
    explicit overhead_run(const overhead_settings& wanted)
        : settings(wanted), entries{wanted.entry},
          sender(this->entries, std::chrono::seconds(2)),
          engine(wanted.engine, wanted.model), random(wanted.seed)
    {
        this->load.classes = {wanted.sort};
        this->load.classes.front().stream = true;
        std::random_device device;
        this->run = "o" + std::to_string(device());
    }

    // False when one of the two got no correct answer.
    bool pair(round_samples& out)
    {
        const bool entry_first = this->number % 2 == 0;
        std::optional<sample> by_entry;
        if (entry_first)
            by_entry = this->ask(true);
        const std::optional<sample> direct = this->ask(false);
        if (!entry_first)
            by_entry = this->ask(true);
        ++this->number;
        if (!by_entry || !direct)
            return false;
        out.entry.push_back(*by_entry);
        out.direct.push_back(*direct);
        return true;
    }

private:
    question next_question(bool through_entry)
    {
        arrival coming;
        coming.number = this->number * 2 + (through_entry ? 1 : 0);
        coming.prompt_bytes = this->settings.prompt_bytes;
        coming.max_tokens = this->settings.max_tokens;
        coming.draw = this->random();
        const auto unix = std::chrono::system_clock::now().time_since_epoch();
        const auto ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(unix);
        return make_question(this->load,
                             coming,
                             this->run,
                             static_cast<std::uint64_t>(ms.count()));
    }

    // A ticket is taken before the clock starts: it needn't wait for a prompt.
    request_names names_of(const question& asked)
    {
        request_names names;
        const identity by = this->settings.sort.names_by;
        if (by == identity::key)
            names.key = asked.key;
        if (by == identity::ticket)
            names.ticket =
                this->sender.take_ticket(0, asked, asked.sort->deadline).ticket;
        return names;
    }

    std::optional<sample> ask(bool through_entry)
    {
        const question asked = this->next_question(through_entry);
        const request_names names =
            through_entry ? this->names_of(asked) : request_names();
        const auto deadline = asked.sort->deadline;
        const clock::time_point start = clock::now();
        answer received = through_entry
                              ? this->sender.ask(0, asked, names, deadline)
                              : this->engine.ask(asked, deadline);
        const std::chrono::duration<double, std::milli> total =
            clock::now() - start;
        check_answer(asked, this->settings.expected, received);
        if (received.how != ending::answered || !received.faults.empty() ||
            !received.first_token)
            return std::nullopt;
        const std::chrono::duration<double, std::milli> first =
            *received.first_token;
        return sample{first.count(), total.count()};
    }

    const overhead_settings& settings;
    plan load;
    std::vector<std::string> entries;
    caller sender;
    engine_caller engine;
    std::mt19937_64 random;
    std::string run;
    std::uint64_t number = 0;
};

double figure_of(const std::vector<sample>& samples,
                 double sample::*member,
                 double part)
{
    std::vector<double> values;
    values.reserve(samples.size());
    for (const sample& one : samples)
        values.push_back(one.*member);
    return quantile_of(std::move(values), part);
}

overhead_row make_row(const std::vector<round_samples>& rounds,
                      const std::string& name,
                      double sample::*member,
                      double part)
{
    std::vector<double> entry;
    std::vector<double> direct;
    std::vector<double> added;
    for (const round_samples& one : rounds) {
        entry.push_back(figure_of(one.entry, member, part));
        direct.push_back(figure_of(one.direct, member, part));
        added.push_back(entry.back() - direct.back());
    }
    return {name, spread_of(entry), spread_of(direct), spread_of(added)};
}

std::string problem_of(const overhead_settings& settings)
{
    for (const std::string& address : {settings.entry, settings.engine})
        if (!is_address(address))
            return "not an address (IP:port): " + address;
    if (settings.sort.service)
        return "a plain service has no engine to compare with";
    plan load;
    load.classes = {settings.sort};
    if (const auto wrong = problems(load); !wrong.empty())
        return wrong.front();
    const bool bounded = settings.rounds >= 1 && settings.pairs >= 1 &&
                         settings.pairs <= most_pairs / settings.rounds &&
                         settings.warm_up <= most_pairs;
    return bounded ? "" : "rounds times pairs must lie in 1 to 1000000";
}

json to_json(const spread& value)
{
    return {{"mean_ms", value.mean},
            {"lowest_ms", value.lowest},
            {"highest_ms", value.highest}};
}

} // namespace

double quantile_of(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const double rank = std::ceil(part * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values[std::min(index, values.size() - 1)];
}

tl::expected<overhead_report, std::string>
measure_overhead(const overhead_settings& settings, const std::stop_token& stop)
{
    if (std::string wrong = problem_of(settings); !wrong.empty())
        return tl::make_unexpected(std::move(wrong));
    overhead_run measured(settings);
    round_samples ignored;
    for (std::size_t count = 0; count < settings.warm_up; ++count)
        measured.pair(ignored);
    overhead_report found;
    std::vector<round_samples> rounds(settings.rounds);
    for (round_samples& one : rounds) {
        for (std::size_t count = 0; count < settings.pairs; ++count) {
            if (stop.stop_requested())
                return tl::make_unexpected(std::string("stopped"));
            found.failed += measured.pair(one) ? 0U : 1U;
        }
        if (one.entry.empty())
            return tl::make_unexpected(
                std::string("no pair of a round had two correct answers"));
        found.pairs += one.entry.size();
    }
    found.rows = {make_row(rounds, "first token p50", &sample::first, 0.5),
                  make_row(rounds, "first token p99", &sample::first, 0.99),
                  make_row(rounds, "total p50", &sample::total, 0.5),
                  make_row(rounds, "total p99", &sample::total, 0.99)};
    return found;
}

json to_json(const overhead_report& found)
{
    json rows = json::array();
    for (const overhead_row& row : found.rows)
        rows.push_back({{"figure", row.figure},
                        {"entry", to_json(row.entry)},
                        {"direct", to_json(row.direct)},
                        {"added", to_json(row.added)}});
    return {{"pairs", found.pairs}, {"failed", found.failed}, {"rows", rows}};
}

std::string to_text(const overhead_report& found)
{
    std::string text;
    std::array<char, 256> line{};
    for (const overhead_row& row : found.rows) {
        std::snprintf(line.data(),
                      line.size(),
                      "%-16s entry %8.3f ms  direct %8.3f ms  "
                      "added %8.3f ms [%.3f..%.3f]\n",
                      row.figure.c_str(),
                      row.entry.mean,
                      row.direct.mean,
                      row.added.mean,
                      row.added.lowest,
                      row.added.highest);
        text += line.data();
    }
    return text + "pairs: " + std::to_string(found.pairs) +
           ", failed: " + std::to_string(found.failed) + "\n";
}

} // namespace load
