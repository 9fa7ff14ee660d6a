#include <greengagedrum/config/kind_parser.hpp>
#include <greengagedrum/config/object_reader.hpp>

#include <algorithm>

namespace greengagedrum::config
{

namespace
{

using nlohmann::json;

constexpr integer_bounds deadline_ms_bounds{1, 86'400'000}; // up to a day
constexpr integer_bounds max_tokens_bounds{1, 1'000'000};
constexpr integer_bounds max_in_flight_bounds{0, 1'000'000};
constexpr integer_bounds tokens_per_second_bounds{0, 1'000'000'000};
constexpr integer_bounds answer_bytes_bounds{1024, 16'777'216};
constexpr std::size_t path_bytes_max = 256;

base::tier parse_tier(object_reader& reader)
{
    const std::string text = reader.text("tier");
    const auto found = base::parse_tier(text);
    if (!found && reader.has("tier"))
        reader.fail(
            "tier", "is not one of", "urgent, interactive, standard, bulk");
    return found.value_or(base::tier::standard);
}

// A kind with a fault here never comes into force, so the fallback is only a
// place-holder; it is the safe one all the same.
base::repetition parse_repetition(object_reader& reader)
{
    const std::string text = reader.text("repetition");
    if (text == "idempotent")
        return base::repetition::idempotent;
    if (text != "at_most_once" && reader.has("repetition"))
        reader.fail("repetition", "is not one of", "idempotent, at_most_once");
    return base::repetition::at_most_once;
}

bool is_path(std::string_view text)
{
    if (text.empty() || text.front() != '/' || text.size() > path_bytes_max)
        return false;
    return std::all_of(text.begin(), text.end(), [](char letter) {
        return letter > ' ' && letter <= '~';
    });
}

// A kind goes to a model or to a path of a plain service, never to both.
void parse_target(object_reader& reader, kind_rules& kind)
{
    const bool has_model = reader.has("model");
    if (has_model == reader.has("path")) {
        reader.fail(has_model ? "path" : "model",
                    "must be given, or \"path\", and not both");
        reader.value("model");
        reader.value("path");
        return;
    }
    if (has_model) {
        kind.model = reader.name("model");
        return;
    }
    kind.path = reader.text("path");
    if (!is_path(kind.path))
        reader.fail("path", "is not a path", "(begins with '/', no spaces)");
}

void parse_limits(object_reader& reader, kind_rules& kind)
{
    if (kind.path.empty())
        kind.max_tokens = static_cast<std::uint32_t>(
            reader.integer("max_tokens", max_tokens_bounds));
    kind.max_in_flight = static_cast<std::uint32_t>(
        reader.integer_or("max_in_flight", max_in_flight_bounds, 0));
    kind.tokens_per_second = static_cast<std::uint32_t>(
        reader.integer_or("tokens_per_second", tokens_per_second_bounds, 0));
    kind.answer_bytes_max = static_cast<std::uint32_t>(reader.integer_or(
        "answer_bytes_max", answer_bytes_bounds, kind.answer_bytes_max));
}

} // namespace

kind_rules parse_kind(std::string_view document,
                      std::string_view pointer,
                      const json& value,
                      fault_list& faults)
{
    object_reader reader(document, pointer, value, faults);
    kind_rules kind;
    kind.name = reader.name("name");
    kind.id = base::kind_id(kind.name);
    kind.tier = parse_tier(reader);
    kind.repetition = parse_repetition(reader);
    kind.deadline = std::chrono::milliseconds(
        reader.integer("deadline_ms", deadline_ms_bounds));
    kind.upstream_class = base::upstream_class_id(reader.name("class"));
    parse_target(reader, kind);
    parse_limits(reader, kind);
    kind.preemptible = reader.boolean_or("preemptible", false);
    kind.overflow = reader.boolean_or("overflow", false);
    // Cancelling what may be dispatched once only would lose it for good.
    if (kind.preemptible && kind.repetition == base::repetition::at_most_once)
        reader.fail("preemptible", "needs \"repetition\":", "idempotent");
    reader.finish();
    return kind;
}

} // namespace greengagedrum::config
