#include <greengagedrum/admission/invariant.hpp>

#include <algorithm>

namespace greengagedrum::admission
{

// An allowance of zero counts as one. Otherwise the urgent requests of an entry
// without a share could be shed while its floor grants run.
std::uint32_t in_flight_ceiling(const placement::room& room,
                                std::uint32_t factor)
{
    return std::max<std::uint32_t>(room.allowance, 1) * factor;
}

bool counts_as_shed(const base::verdict& verdict)
{
    return verdict.run == base::run_state::not_run &&
           (verdict.why == base::reason::overloaded ||
            verdict.why == base::reason::deadline);
}

std::optional<base::request_id>
find_invariant_violation(const base::request_spec& shed,
                         const running_set& running,
                         std::span<const placement::room> rooms,
                         std::uint32_t hard_factor)
{
    for (const placement::room& room : rooms) {
        if (room.in_flight >= in_flight_ceiling(room, hard_factor))
            continue;
        const auto lower =
            running.lower_tier_requests(room.upstream, shed.tier);
        if (!lower.empty())
            return lower.front()->request;
    }
    return std::nullopt;
}

} // namespace greengagedrum::admission
