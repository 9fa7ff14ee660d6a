#include "fault.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace soak
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds first_fault = 300ms;
constexpr milliseconds gap_least = 150ms;
constexpr milliseconds gap_most = 700ms;
constexpr milliseconds length_least = 200ms;
constexpr milliseconds length_most = 2500ms;

class dice
{
public:
    explicit dice(std::uint64_t seed) : engine(seed) {}

    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(
            this->engine);
    }
    milliseconds between(milliseconds least, milliseconds most)
    {
        return least + milliseconds(this->below(static_cast<std::size_t>(
                           (most - least).count() + 1)));
    }

private:
    std::mt19937_64 engine;
};

// Any state but the first, which is no fault.
template <class State, std::size_t Size>
State draw_state(dice& from, const std::array<std::string_view, Size>&)
{
    return static_cast<State>(1 + from.below(Size - 1));
}

fault_kind draw_kind(dice& from, const fault_targets& targets)
{
    constexpr std::size_t sides = 12;
    switch (from.below(sides)) {
    case 0:
        return entry_killed{from.below(targets.entries)};
    case 1:
        return entry_frozen{from.below(targets.entries)};
    case 2:
        return entry_stopped{from.below(targets.entries)};
    case 3:
        return callers_slow{};
    case 4:
    case 5:
    case 6:
    case 7:
        return upstream_fault{
            from.below(targets.upstreams),
            draw_state<upstream_state>(from, upstream_state_names)};
    default:
        return link_fault{from.below(targets.groups.size()),
                          draw_state<link_state>(from, link_state_names)};
    }
}

struct target_name {
    const fault_targets& targets;

    std::string operator()(const link_fault& one) const
    {
        return "link to " + this->targets.groups.at(one.group);
    }
    std::string operator()(const upstream_fault& one) const
    {
        return "upstream " + std::to_string(one.upstream);
    }
    std::string operator()(const callers_slow&) const { return "callers"; }
    template <class Entry>
    std::string operator()(const Entry& one) const
    {
        return "entry " + std::to_string(one.entry);
    }
};

struct action_name {
    std::string operator()(const link_fault& one) const
    {
        return std::string(
            link_state_names.at(static_cast<std::size_t>(one.state)));
    }
    std::string operator()(const upstream_fault& one) const
    {
        return std::string(
            upstream_state_names.at(static_cast<std::size_t>(one.state)));
    }
    std::string operator()(const callers_slow&) const { return "not reading"; }
    std::string operator()(const entry_killed&) const { return "killed"; }
    std::string operator()(const entry_frozen&) const { return "frozen"; }
    std::string operator()(const entry_stopped&) const { return "stopped"; }
};

} // namespace

std::vector<fault> draw_faults(std::uint64_t seed,
                               milliseconds length,
                               const fault_targets& targets)
{
    dice from(seed);
    std::vector<fault> out;
    std::map<std::string, milliseconds> busy_until;
    milliseconds at = first_fault;
    while (at + length_least < length) {
        fault one{
            at,
            std::min(from.between(length_least, length_most), length - at),
            draw_kind(from, targets)};
        at += from.between(gap_least, gap_most);
        milliseconds& busy =
            busy_until[std::visit(target_name{targets}, one.kind)];
        if (busy >= one.at)
            continue;
        busy = one.at + one.length;
        out.push_back(std::move(one));
    }
    return out;
}

std::string to_text(const fault& one, const fault_targets& targets)
{
    return std::to_string(one.at.count()) + " ms, for " +
           std::to_string(one.length.count()) +
           " ms: " + std::visit(target_name{targets}, one.kind) + ": " +
           std::visit(action_name{}, one.kind);
}

} // namespace soak
