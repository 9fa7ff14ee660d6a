#include <standin/number_flag.hpp>
#include <standin/program_options.hpp>

#include <arpa/inet.h>
#include <gsl/gsl>
#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <sstream>
#include <utility>
#include <vector>

namespace standin
{

namespace
{

using options_result = tl::expected<program_options, std::string>;
using problem = std::optional<std::string>;
using std::chrono::milliseconds;

// Flags with a text, as popt leaves them.
struct text_flags {
    std::string address = "127.0.0.1";
    std::string documents;
    std::string models;
    std::string role;
    std::string version;
};

constexpr double million = 1e6;
constexpr double milliseconds_max = 3.6e6;
constexpr double port_max = 65535;
constexpr double threads_max = 4096;
constexpr double tokens_max = 1e9;

template <class Target>
std::function<void(double)> into(Target& target)
{
    return [&target](double value) { target = static_cast<Target>(value); };
}

template <class Period>
std::function<void(double)>
into(std::chrono::duration<std::int64_t, Period>& target)
{
    return [&target](double value) {
        target = milliseconds(static_cast<std::int64_t>(value));
    };
}

std::vector<number_flag> common_flags(program_options& out, double& port)
{
    return {{"port", "port, 0 for any free one", 0, port_max, into(port)},
            {"threads",
             "connections at once",
             1,
             threads_max,
             [&out](double value) {
                 const auto count = static_cast<std::size_t>(value);
                 out.engine.threads_max = count;
                 out.service.threads_max = count;
                 out.platform.threads_max = count;
             }},
            {"calls-per-second",
             "platform: limit of reads, 0 for none",
             0,
             million,
             into(out.platform.calls_per_second)},
            {"latency-ms",
             "service: time of a call",
             0,
             milliseconds_max,
             into(out.service.latency)}};
}

std::vector<number_flag> engine_flags(engine_settings& engine)
{
    return {
        {"prefill-tokens-per-second",
         "engine: shared by all prompts",
         1,
         tokens_max,
         into(engine.prefill_tokens_per_second),
         false},
        {"decode-tokens-per-second",
         "engine: of a stream alone",
         1,
         million,
         into(engine.decode_tokens_per_second),
         false},
        {"decode-slowdown",
         "engine: by each further stream",
         0,
         100,
         into(engine.decode_slowdown),
         false},
        {"batch-max",
         "engine: streams at once",
         1,
         4096,
         into(engine.batch_max)},
        {"cache-tokens",
         "engine: of the prefix cache",
         0,
         tokens_max,
         into(engine.cache_tokens)},
        {"load-lag-ms",
         "engine: of the load report",
         0,
         milliseconds_max,
         into(engine.load_lag)},
        {"cache-event-lag-ms",
         "engine: of the cache events",
         0,
         milliseconds_max,
         into(engine.cache_event_lag)},
        {"cache-event-loss",
         "engine: share of events lost",
         0,
         1,
         into(engine.cache_event_loss),
         false},
        {"model-load-ms",
         "engine: to load a model",
         0,
         milliseconds_max,
         into(engine.model_load_time)},
        {"checks-fencing",
         "engine: 1 refuses old fencing numbers",
         0,
         1,
         into(engine.checks_fencing)},
        {"seed",
         "engine: of the lost events",
         0,
         tokens_max,
         into(engine.seed)},
    };
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');)
        if (!part.empty())
            parts.push_back(part);
    return parts;
}

problem take_type(const char* given, program_options& out)
{
    const std::string text = given ? given : "";
    if (text == "platform")
        out.type = program_type::platform;
    else if (text == "engine")
        out.type = program_type::engine;
    else if (text == "service")
        out.type = program_type::service;
    else
        return "type: '" + text + "': must be platform, engine or service";
    return std::nullopt;
}

problem take_texts(const text_flags& texts, double port, program_options& out)
{
    in_addr parsed{};
    if (::inet_pton(AF_INET, texts.address.c_str(), &parsed) != 1)
        return "--address: '" + texts.address + "': must be an IP number";
    out.address = texts.address + ":" + std::to_string(static_cast<int>(port));
    out.documents = texts.documents;
    if (!texts.models.empty())
        out.engine.models = split(texts.models);
    if (!texts.role.empty())
        out.engine.role = texts.role;
    if (!texts.version.empty())
        out.engine.version = texts.version;
    return std::nullopt;
}

constexpr std::size_t text_base = 1000; // option values of text flags
constexpr std::size_t text_count = 5;

// What popt knows of the flags. `numbers` are named by their place plus one,
// texts by text_base and their place.
std::vector<poptOption> option_table(const std::vector<number_flag>& numbers)
{
    constexpr std::array<std::pair<const char*, const char*>, text_count>
        texts = {{
            {"address", "IP number to bind (127.0.0.1)"},
            {"documents", "platform: folder of documents"},
            {"models", "engine: loaded models, with commas"},
            {"role", "engine: its role at start"},
            {"engine-version", "engine: its version at start"},
        }};
    std::vector<poptOption> table;
    const auto add = [&table](const char* name, const char* help, int value) {
        table.push_back({name, 0, POPT_ARG_STRING, nullptr, value, help, "X"});
    };
    int value = 0;
    for (const number_flag& flag : numbers)
        add(flag.name, flag.help, ++value);
    value = static_cast<int>(text_base);
    for (const auto& [name, help] : texts)
        add(name, help, value++);
    table.push_back({nullptr,
                     0,
                     POPT_ARG_INCLUDE_TABLE,
                     poptHelpOptions,
                     0,
                     "Help options:",
                     nullptr});
    table.push_back(POPT_TABLEEND);
    return table;
}

// Takes every flag that popt finds.
problem read_flags(poptContext context,
                   const std::vector<number_flag>& numbers,
                   const std::array<std::string*, text_count>& texts)
{
    int option = 0;
    while ((option = poptGetNextOpt(context)) > 0) {
        const std::unique_ptr<char, decltype(&std::free)> argument(
            poptGetOptArg(context), &std::free);
        const std::string text = argument ? argument.get() : "";
        const auto place = static_cast<std::size_t>(option);
        if (place >= text_base) {
            *texts.at(place - text_base) = text;
            continue;
        }
        if (problem bad = take_number(numbers.at(place - 1), text))
            return bad;
    }
    if (option < -1)
        return std::string(poptBadOption(context, 0)) + ": " +
               poptStrerror(option);
    return std::nullopt;
}

} // namespace

options_result parse_program_options(int argc, const char** argv)
{
    program_options out;
    text_flags texts;
    double port = 0;
    std::vector<number_flag> numbers = common_flags(out, port);
    std::ranges::move(engine_flags(out.engine), std::back_inserter(numbers));
    const std::vector<poptOption> table = option_table(numbers);
    poptContext context =
        poptGetContext("ggd-standin", argc, argv, table.data(), 0);
    const auto free_context =
        gsl::finally([&context] { poptFreeContext(context); });
    poptSetOtherOptionHelp(context, "platform|engine|service [OPTION...]");
    const problem bad_flag = read_flags(context,
                                        numbers,
                                        {&texts.address,
                                         &texts.documents,
                                         &texts.models,
                                         &texts.role,
                                         &texts.version});
    if (bad_flag)
        return tl::unexpected(*bad_flag);
    if (const problem bad = take_type(poptGetArg(context), out))
        return tl::unexpected(*bad);
    if (const char* extra = poptPeekArg(context))
        return tl::unexpected(std::string(extra) + ": one type only");
    if (const problem bad = take_texts(texts, port, out))
        return tl::unexpected(*bad);
    return out;
}

} // namespace standin
