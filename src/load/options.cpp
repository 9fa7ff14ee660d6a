#include <load/options.hpp>
#include <load/scenario.hpp>

#include <gsl/util>
#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>

namespace load
{

namespace
{

// As popt fills them in; strings are its own until freed with the process.
struct raw_options {
    char** entries = nullptr;
    char** ledgers = nullptr;
    char** tokens = nullptr;
    char* scenario = nullptr;
    char* workspace = nullptr;
    char* kind = nullptr;
    char* tier = nullptr;
    char* names_by = nullptr;
    char* run = nullptr;
    char* direct = nullptr;
    char* model = nullptr;
    int at_most_once = 0;
    int service = 0;
    int json = 0;
    double rate = 0;
    double seconds = 0;
    long long seed = -1;
    int max_requests = 0;
    int threads = 0;
    int repetitions = 1;
    int pairs = 100;
    int rounds = 5;
    int prompt_bytes = 512;
    int max_tokens = 16;
};

std::string text_of(const char* text)
{
    return text == nullptr ? std::string() : std::string(text);
}

std::vector<std::string> list_of(char** texts)
{
    std::vector<std::string> list;
    for (; texts != nullptr && *texts != nullptr; ++texts)
        list.emplace_back(*texts);
    return list;
}

std::optional<std::string>
parse(int count, const char** arguments, raw_options& raw)
{
    // clang-format off
    const poptOption table[] = {
        {"entry", 'e', POPT_ARG_ARGV, &raw.entries, 0,
         "entry to send to; repeat for several", "IP:PORT"},
        {"ledger", 'l', POPT_ARG_ARGV, &raw.ledgers, 0,
         "upstream stand-in whose ledger is read; repeat", "IP:PORT"},
        {"scenario", 's', POPT_ARG_STRING, &raw.scenario, 0,
         "load as JSON (docs/operators/load.md)", "FILE"},
        {"token", 't', POPT_ARG_ARGV, &raw.tokens, 0,
         "bearer token of a workspace; repeat", "WORKSPACE=TOKEN"},
        {"workspace", 0, POPT_ARG_STRING, &raw.workspace, 0,
         "without a scenario: the workspace", "NAME"},
        {"kind", 0, POPT_ARG_STRING, &raw.kind, 0,
         "without a scenario: the kind", "NAME"},
        {"tier", 0, POPT_ARG_STRING, &raw.tier, 0,
         "without a scenario: the kind's tier", "TIER"},
        {"at-most-once", 0, POPT_ARG_NONE, &raw.at_most_once, 0,
         "without a scenario: the kind may run once only", nullptr},
        {"service", 0, POPT_ARG_NONE, &raw.service, 0,
         "without a scenario: a plain service's kind", nullptr},
        {"names-by", 0, POPT_ARG_STRING, &raw.names_by, 0,
         "without a scenario: how requests are named", "key|ticket|none"},
        {"rate", 'r', POPT_ARG_DOUBLE, &raw.rate, 0,
         "requests a second, at most 20000", "N"},
        {"seconds", 0, POPT_ARG_DOUBLE, &raw.seconds, 0,
         "length of the arrivals, at most 3600", "S"},
        {"seed", 0, POPT_ARG_LONGLONG, &raw.seed, 0,
         "of the arrivals", "N"},
        {"max-requests", 0, POPT_ARG_INT, &raw.max_requests, 0,
         "at most 1000000", "N"},
        {"threads", 0, POPT_ARG_INT, &raw.threads, 0,
         "requests under way at once, at most 600", "N"},
        {"repetitions", 0, POPT_ARG_INT, &raw.repetitions, 0,
         "runs, each with the next seed (at most 100)", "N"},
        {"run", 0, POPT_ARG_STRING, &raw.run, 0,
         "name in every tag, unused before (drawn)", "NAME"},
        {"json", 'j', POPT_ARG_NONE, &raw.json, 0,
         "report as JSON", nullptr},
        {"direct", 0, POPT_ARG_STRING, &raw.direct, 0,
         "measure what the entry adds over this engine", "IP:PORT"},
        {"model", 0, POPT_ARG_STRING, &raw.model, 0,
         "with --direct: the engine's model", "NAME"},
        {"pairs", 0, POPT_ARG_INT, &raw.pairs, 0,
         "with --direct: pairs in a round (100)", "N"},
        {"rounds", 0, POPT_ARG_INT, &raw.rounds, 0,
         "with --direct: rounds (5)", "N"},
        {"prompt-bytes", 0, POPT_ARG_INT, &raw.prompt_bytes, 0,
         "with --direct (512)", "N"},
        {"max-tokens", 0, POPT_ARG_INT, &raw.max_tokens, 0,
         "with --direct (16)", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    // clang-format on
    const poptContext context =
        poptGetContext("ggd-load", count, arguments, table, 0);
    const auto release = gsl::finally([context] { poptFreeContext(context); });
    const int end = poptGetNextOpt(context);
    if (end < -1)
        return text_of(poptBadOption(context, POPT_BADOPTION_NOALIAS)) + ": " +
               poptStrerror(end);
    if (const char* extra = poptGetArg(context); extra != nullptr)
        return "unexpected: " + text_of(extra);
    return std::nullopt;
}

tl::expected<traffic_class, std::string> class_of(const raw_options& raw)
{
    traffic_class sort;
    sort.workspace = text_of(raw.workspace);
    sort.kind = text_of(raw.kind);
    sort.service = raw.service != 0;
    if (raw.at_most_once != 0)
        sort.repetition = greengagedrum::base::repetition::at_most_once;
    if (raw.tier != nullptr) {
        const auto tier = greengagedrum::base::parse_tier(raw.tier);
        if (!tier)
            return tl::make_unexpected("--tier: unknown " + text_of(raw.tier));
        sort.tier = *tier;
    }
    const std::string names = text_of(raw.names_by);
    if (names == "ticket")
        sort.names_by = identity::ticket;
    else if (names == "none")
        sort.names_by = identity::none;
    else if (!names.empty() && names != "key")
        return tl::make_unexpected("--names-by: unknown " + names);
    return sort;
}

tl::expected<plan, std::string> base_plan(const raw_options& raw)
{
    if (raw.scenario != nullptr) {
        std::ifstream file(raw.scenario);
        if (!file)
            return tl::make_unexpected("can't read " + text_of(raw.scenario));
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        return parse_scenario(text);
    }
    auto sort = class_of(raw);
    if (!sort)
        return tl::make_unexpected(sort.error());
    plan planned;
    planned.classes = {*sort};
    return planned;
}

// Flags go before the scenario.
void apply_bounds(const raw_options& raw, plan& planned)
{
    if (raw.rate != 0)
        planned.rate = raw.rate;
    if (raw.seconds != 0)
        planned.length = std::chrono::milliseconds(
            static_cast<std::int64_t>(raw.seconds * 1000));
    if (raw.seed >= 0)
        planned.seed = static_cast<std::uint64_t>(raw.seed);
    if (raw.max_requests != 0)
        planned.max_requests = static_cast<std::size_t>(raw.max_requests);
    if (raw.threads != 0)
        planned.threads = static_cast<std::size_t>(raw.threads);
}

std::optional<std::string> apply_tokens(const raw_options& raw, plan& planned)
{
    for (const std::string& pair : list_of(raw.tokens)) {
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos)
            return "--token: must be WORKSPACE=TOKEN";
        for (traffic_class& sort : planned.classes)
            if (sort.workspace == pair.substr(0, equals))
                sort.token = pair.substr(equals + 1);
    }
    return std::nullopt;
}

std::optional<std::string> apply_direct(const raw_options& raw, options& all)
{
    if (raw.direct == nullptr)
        return std::nullopt;
    if (all.entries.size() != 1)
        return "--direct needs exactly one --entry";
    if (raw.pairs < 1 || raw.rounds < 1 || raw.prompt_bytes < 1 ||
        raw.max_tokens < 1)
        return "--pairs, --rounds, --prompt-bytes, --max-tokens: at least 1";
    all.measure_direct = true;
    all.overhead.entry = all.entries.front();
    all.overhead.engine = raw.direct;
    all.overhead.model = text_of(raw.model);
    all.overhead.sort = all.planned.classes.front();
    all.overhead.pairs = static_cast<std::size_t>(raw.pairs);
    all.overhead.rounds = static_cast<std::size_t>(raw.rounds);
    all.overhead.prompt_bytes = static_cast<std::uint32_t>(raw.prompt_bytes);
    all.overhead.max_tokens = static_cast<std::uint32_t>(raw.max_tokens);
    all.overhead.seed = all.planned.seed;
    return std::nullopt;
}

} // namespace

tl::expected<options, std::string> read_options(int count,
                                                const char** arguments)
{
    constexpr int most_repetitions = 100;
    raw_options raw;
    if (auto wrong = parse(count, arguments, raw))
        return tl::make_unexpected(*wrong);
    auto planned = base_plan(raw);
    if (!planned)
        return tl::make_unexpected(planned.error());
    options all;
    all.planned = *planned;
    all.entries = list_of(raw.entries);
    all.ledgers = list_of(raw.ledgers);
    all.run = text_of(raw.run);
    all.json = raw.json != 0;
    if (raw.repetitions < 1 || raw.repetitions > most_repetitions)
        return tl::make_unexpected(std::string("--repetitions: 1 to 100"));
    all.repetitions = static_cast<std::size_t>(raw.repetitions);
    apply_bounds(raw, all.planned);
    if (auto wrong = apply_tokens(raw, all.planned))
        return tl::make_unexpected(*wrong);
    if (auto wrong = apply_direct(raw, all))
        return tl::make_unexpected(*wrong);
    if (const auto wrong = problems(all.planned); !wrong.empty())
        return tl::make_unexpected(wrong.front());
    return all;
}

} // namespace load
