#include <greengagedrum/entry/item_query.hpp>

#include <charconv>

namespace greengagedrum::entry
{

namespace
{

constexpr std::string_view since_path = "/items?since=";
constexpr std::string_view after_path = "/items?after=";
constexpr std::string_view life_parameter = "&life=";

} // namespace

std::string item_query_target(const item_query& query)
{
    const std::string number = std::to_string(query.position);
    if (!query.incarnation)
        return std::string(since_path) + number;
    return std::string(after_path) + number + std::string(life_parameter) +
           std::to_string(query.incarnation->value);
}

std::optional<item_query> parse_item_query(std::string_view target)
{
    const bool after = target.starts_with(after_path);
    if (!after && !target.starts_with(since_path))
        return std::nullopt;
    target.remove_prefix(after ? after_path.size() : since_path.size());
    item_query out;
    const char* const end = target.data() + target.size();
    const auto number = std::from_chars(target.data(), end, out.position);
    if (number.ec != std::errc())
        return std::nullopt;
    if (!after)
        return out;
    target.remove_prefix(static_cast<std::size_t>(number.ptr - target.data()));
    if (!target.starts_with(life_parameter))
        return std::nullopt;
    target.remove_prefix(life_parameter.size());
    base::incarnation incarnation;
    if (std::from_chars(target.data(), end, incarnation.value).ec !=
        std::errc())
        return std::nullopt;
    out.incarnation = incarnation;
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
    return gossip::encode(out);
}

} // namespace greengagedrum::entry
