#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/versions/entry_choice.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace greengagedrum::versions
{

namespace
{

constexpr std::size_t holder_count = 3;
constexpr std::size_t near_holder_count = 2;

// Two more than hold a record, since views of the membership differ.
constexpr std::size_t asked_over_all = 5;

// The entry where the stream began may come before those of its data centre
// that hold the record.
constexpr std::size_t asked_of_data_centre = near_holder_count + 1;

// Bounds the datagrams of a lookup where there are many data centres.
constexpr std::size_t max_asked = 16;

std::vector<known_entry> ranked(stream_id stream,
                                std::span<const known_entry> entries)
{
    std::vector<known_entry> out(entries.begin(), entries.end());
    const auto score = [stream](const known_entry& one) {
        return std::pair(placement::mix(stream.value, one.address),
                         one.address);
    };
    std::sort(out.begin(),
              out.end(),
              [&](const known_entry& left, const known_entry& right) {
                  return score(left) > score(right);
              });
    return out;
}

// Of one group, in their order.
template <class Predicate>
void append_first(std::span<const known_entry> from,
                  std::size_t count,
                  const Predicate& is_in_group,
                  std::vector<entry_address>& out)
{
    for (const known_entry& one : from) {
        if (count == 0)
            return;
        if (!is_in_group(one))
            continue;
        count -= 1;
        if (std::find(out.begin(), out.end(), one.address) == out.end())
            out.push_back(one.address);
    }
}

} // namespace

std::vector<entry_address> choose_holders(stream_id stream,
                                          base::data_centre_id own,
                                          std::span<const known_entry> entries)
{
    const std::vector<known_entry> order = ranked(stream, entries);
    const auto is_near = [own](const known_entry& one) {
        return one.data_centre == own;
    };
    std::vector<entry_address> out;
    append_first(order, near_holder_count, is_near, out);
    append_first(order, holder_count - out.size(), std::not_fn(is_near), out);
    if (out.size() < holder_count)
        append_first(order, holder_count, is_near, out);
    out.resize(std::min(out.size(), holder_count));
    return out;
}

std::vector<entry_address>
choose_entries_to_ask(stream_id stream, std::span<const known_entry> entries)
{
    std::map<base::data_centre_id, std::size_t> taken;
    std::vector<entry_address> out;
    for (const known_entry& one : ranked(stream, entries)) {
        const std::size_t rank_in_data_centre = taken[one.data_centre]++;
        if (out.size() < asked_over_all ||
            rank_in_data_centre < asked_of_data_centre)
            out.push_back(one.address);
        if (out.size() == max_asked)
            break;
    }
    return out;
}

} // namespace greengagedrum::versions
