#include <greengagedrum/entry/item_query.hpp>

#include <charconv>

namespace greengagedrum::entry
{

namespace
{

constexpr std::string_view since_path = "/items?since=";
constexpr std::string_view after_path = "/items?after=";
constexpr std::string_view life_parameter = "&life=";
constexpr std::string_view held_parameter = "&held=";
constexpr std::string_view asking_parameter = "&by=";

// Removes `name` and the number that follows from the start of `text`.
std::optional<std::uint64_t> take_number(std::string_view& text,
                                         std::string_view name)
{
    if (!text.starts_with(name))
        return std::nullopt;
    std::uint64_t value = 0;
    const char* const first = text.data() + name.size();
    const auto read = std::from_chars(first, text.data() + text.size(), value);
    if (read.ec != std::errc())
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    return value;
}

} // namespace

std::string item_query_target(const item_query& query)
{
    std::string out(query.incarnation ? after_path : since_path);
    out += std::to_string(query.position);
    if (query.incarnation)
        out.append(life_parameter)
            .append(std::to_string(query.incarnation->value));
    if (query.held_configuration)
        out.append(held_parameter)
            .append(std::to_string(*query.held_configuration));
    if (query.asking)
        out.append(asking_parameter).append(std::to_string(*query.asking));
    return out;
}

std::optional<item_query> parse_item_query(std::string_view target)
{
    const bool after = target.starts_with(after_path);
    const auto position = take_number(target, after ? after_path : since_path);
    if (!position)
        return std::nullopt;
    item_query out;
    out.position = *position;
    if (after) {
        const auto incarnation = take_number(target, life_parameter);
        if (!incarnation)
            return std::nullopt;
        out.incarnation = base::incarnation{*incarnation};
    }
    out.held_configuration = take_number(target, held_parameter);
    if (const auto asking = take_number(target, asking_parameter))
        out.asking = static_cast<gossip::ipv4_address>(*asking);
    return out;
}

std::string answer_item_query(const item_query& query,
                              const cluster_state& cluster,
                              base::incarnation incarnation)
{
    gossip::item_transfer out =
        query.incarnation
            ? cluster.items_after_change(
                  *query.incarnation == incarnation ? query.position : 0)
            : cluster.items_after_revision(query.position);
    out.incarnation = incarnation;
    if (!query.held_configuration)
        return gossip::encode(out);
    return gossip::encode_compressed(
        out, cluster.configuration_at(*query.held_configuration));
}

} // namespace greengagedrum::entry
