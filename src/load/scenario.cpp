#include <load/scenario.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>
#include <stdexcept>

namespace load
{

namespace
{

using greengagedrum::base::repetition;
using nlohmann::json;
using std::chrono::milliseconds;

// Thrown and caught within this file only.
struct wrong_scenario : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One object of the scenario, whose members are read by name.
class section
{
public:
    section(const json& from,
            std::string path,
            std::initializer_list<std::string_view> known)
        : object(from), where(std::move(path))
    {
        if (!from.is_object())
            throw wrong_scenario(this->where + ": must be an object");
        for (const auto& [name, value] : from.items())
            if (std::ranges::find(known, name) == known.end())
                throw wrong_scenario(this->where + "." + name + ": unknown");
    }

    bool has(const char* name) const { return this->object.contains(name); }
    const json& at(const char* name) const { return this->object.at(name); }
    std::string path(const char* name) const
    {
        return this->where + "." + name;
    }

    [[noreturn]] void refuse(const char* name, const std::string& why) const
    {
        throw wrong_scenario(this->path(name) + ": " + why);
    }

    void read(const char* name, double& out) const
    {
        if (!this->has(name))
            return;
        if (!this->at(name).is_number())
            this->refuse(name, "must be a number");
        out = this->at(name).get<double>();
    }

    template <std::unsigned_integral Whole>
    void read(const char* name, Whole& out) const
    {
        if (!this->has(name))
            return;
        if (!this->at(name).is_number_unsigned() ||
            this->at(name).get<std::uint64_t>() >
                std::numeric_limits<Whole>::max())
            this->refuse(name, "must be a whole number in bounds");
        out = this->at(name).get<Whole>();
    }

    void read(const char* name, bool& out) const
    {
        if (!this->has(name))
            return;
        if (!this->at(name).is_boolean())
            this->refuse(name, "must be true or false");
        out = this->at(name).get<bool>();
    }

    void read(const char* name, std::string& out) const
    {
        if (!this->has(name))
            return;
        if (!this->at(name).is_string())
            this->refuse(name, "must be a string");
        out = this->at(name).get<std::string>();
    }

    // Given in milliseconds.
    void read(const char* name, milliseconds& out) const
    {
        std::uint32_t value = static_cast<std::uint32_t>(out.count());
        this->read(name, value);
        out = milliseconds(value);
    }

    // Given in seconds, with a fraction.
    void read_seconds(const char* name, milliseconds& out) const
    {
        constexpr double most = 1e6;
        double value = static_cast<double>(out.count()) / 1000;
        this->read(name, value);
        if (!(value >= 0) || value > most)
            this->refuse(name, "must lie in 0 to 1000000 seconds");
        out = milliseconds(static_cast<std::int64_t>(value * 1000));
    }

    template <class Value>
    void read_word(
        const char* name,
        Value& out,
        std::initializer_list<std::pair<std::string_view, Value>> words) const
    {
        std::string word;
        this->read(name, word);
        if (word.empty())
            return;
        for (const auto& [text, value] : words)
            if (text == word) {
                out = value;
                return;
            }
        this->refuse(name, "unknown word " + word);
    }

    void read_tier(const char* name,
                   std::optional<greengagedrum::base::tier>& out) const
    {
        std::string word;
        this->read(name, word);
        if (word.empty())
            return;
        out = greengagedrum::base::parse_tier(word);
        if (!out)
            this->refuse(name, "unknown tier " + word);
    }

private:
    const json& object;
    std::string where;
};

void read_lengths(const section& in, const char* name, length_distribution& out)
{
    if (!in.has(name))
        return;
    const section from(in.at(name),
                       in.path(name),
                       {"shape", "min", "max", "median", "sigma", "alpha"});
    using shape = length_distribution::shape;
    from.read_word("shape",
                   out.form,
                   {{"fixed", shape::fixed},
                    {"lognormal", shape::lognormal},
                    {"pareto", shape::pareto}});
    from.read("max", out.max);
    if (out.form == shape::fixed || out.min > out.max)
        out.min = out.max;
    from.read("min", out.min);
    from.read("median", out.median);
    from.read("sigma", out.sigma);
    from.read("alpha", out.alpha);
}

traffic_class read_class(const json& object, const std::string& where)
{
    const section from(object,
                       where,
                       {"workspace",
                        "kind",
                        "token",
                        "tier",
                        "repetition",
                        "service",
                        "stream",
                        "names_by",
                        "weight",
                        "deadline_ms",
                        "prompt_bytes",
                        "max_tokens",
                        "prefixes",
                        "prompt_part"});
    traffic_class sort;
    std::optional<greengagedrum::base::tier> tier;
    from.read("workspace", sort.workspace);
    from.read("kind", sort.kind);
    from.read("token", sort.token);
    from.read_tier("tier", tier);
    sort.tier = tier.value_or(sort.tier);
    from.read_word("repetition",
                   sort.repetition,
                   {{"idempotent", repetition::idempotent},
                    {"at_most_once", repetition::at_most_once}});
    from.read("service", sort.service);
    from.read("stream", sort.stream);
    from.read_word("names_by",
                   sort.names_by,
                   {{"key", identity::key},
                    {"ticket", identity::ticket},
                    {"none", identity::none}});
    from.read("weight", sort.weight);
    from.read("deadline_ms", sort.deadline);
    read_lengths(from, "prompt_bytes", sort.prompt_bytes);
    read_lengths(from, "max_tokens", sort.max_tokens);
    from.read("prefixes", sort.prefixes);
    from.read("prompt_part", sort.prompt_part);
    return sort;
}

burst read_burst(const json& object, const std::string& where)
{
    const section from(object, where, {"at", "seconds", "factor", "tier"});
    burst rise;
    from.read_seconds("at", rise.at);
    from.read_seconds("seconds", rise.length);
    from.read("factor", rise.factor);
    from.read_tier("tier", rise.only);
    return rise;
}

template <class Item, class Read>
void read_list(const section& in,
               const char* name,
               std::vector<Item>& out,
               Read read)
{
    if (!in.has(name))
        return;
    if (!in.at(name).is_array())
        in.refuse(name, "must be an array");
    for (const json& item : in.at(name))
        out.push_back(
            read(item, in.path(name) + "[" + std::to_string(out.size()) + "]"));
}

void read_retries(const section& in, retry_settings& out)
{
    if (!in.has("retries"))
        return;
    const section from(in.at("retries"),
                       in.path("retries"),
                       {"max_tries", "uncertain_at_most_once", "wait_ms"});
    auto tries = static_cast<std::uint16_t>(out.max_tries);
    from.read("max_tries", tries);
    out.max_tries = tries;
    from.read("uncertain_at_most_once", out.uncertain_at_most_once);
    from.read("wait_ms", out.wait);
}

plan read_plan(const json& object)
{
    const section from(object,
                       "scenario",
                       {"seed",
                        "seconds",
                        "rate",
                        "max_requests",
                        "threads",
                        "entries",
                        "classes",
                        "bursts",
                        "retries",
                        "grace_ms",
                        "lost_is_broken"});
    plan planned;
    from.read("seed", planned.seed);
    from.read_seconds("seconds", planned.length);
    from.read("rate", planned.rate);
    from.read("max_requests", planned.max_requests);
    from.read("threads", planned.threads);
    from.read_word("entries",
                   planned.choice,
                   {{"round_robin", entry_choice::round_robin},
                    {"random", entry_choice::random}});
    read_list(from, "classes", planned.classes, read_class);
    read_list(from, "bursts", planned.bursts, read_burst);
    read_retries(from, planned.retries);
    from.read("grace_ms", planned.grace);
    from.read("lost_is_broken", planned.lost_is_broken);
    return planned;
}

} // namespace

tl::expected<plan, std::string> parse_scenario(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (object.is_discarded())
        return tl::make_unexpected(std::string("scenario: not JSON"));
    try {
        plan planned = read_plan(object);
        const std::vector<std::string> wrong = problems(planned);
        if (!wrong.empty())
            return tl::make_unexpected("scenario: " + wrong.front());
        return planned;
    } catch (const wrong_scenario& failure) {
        return tl::make_unexpected(std::string(failure.what()));
    }
}

} // namespace load
