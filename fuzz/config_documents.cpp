// Published documents: a fleet, a template and a workspace, between `---`.
//
// What check() accepts must be in bounds, the same in any order, and served by
// a daemon's store as it is.
#include <greengagedrum/config/check.hpp>
#include <greengagedrum/config/store.hpp>

#include "require.hpp"

#include <algorithm>
#include <string>

namespace
{

using namespace greengagedrum;
using fuzz::require;

constexpr std::uint32_t tokens_max = 1'000'000;
constexpr std::uint32_t answer_min = 1024;
constexpr std::uint32_t answer_max = 16U << 20U;

void check_kind(const config::kind_rules& kind)
{
    require(!kind.name.empty() && !kind.id.empty(), "a kind has a name");
    require(kind.deadline > base::duration(0) &&
                kind.deadline <= std::chrono::hours(24),
            "a deadline lies within a day");
    require(kind.model.empty() != kind.path.empty(),
            "a kind has a model or a path, and not both");
    require(kind.model.empty() ||
                (kind.max_tokens >= 1 && kind.max_tokens <= tokens_max),
            "max_tokens lies in its bounds");
    require(kind.path.empty() || kind.path.front() == '/',
            "a path begins with a slash");
    require(kind.answer_bytes_max >= answer_min &&
                kind.answer_bytes_max <= answer_max,
            "answer_bytes_max lies in its bounds");
}

void check_accepted(const config::snapshot& found)
{
    for (const auto& [name, rules] : found.workspaces) {
        require(name == rules.name, "a workspace is found by its name");
        std::for_each(rules.kinds.begin(), rules.kinds.end(), check_kind);
    }
    for (const config::upstream_entry& one : found.fleet.upstreams) {
        require(one.max_in_flight > 0, "an upstream takes at least one");
        require(one.prefill_tokens_per_second >= 0 &&
                    one.decode_tokens_per_second >= 0,
                "a speed is not negative");
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const auto bodies = fuzz::parts(fuzz::text_of(data, size), 3);
    const char* names[] = {"fleet", "template/booths", "workspace/mall"};
    std::vector<config::document> documents;
    for (std::size_t at = 0; at < bodies.size(); ++at)
        documents.push_back(
            {names[at], at + 1, false, std::string(bodies[at])});
    const auto found = config::check(documents);
    require((found.snapshot != nullptr) == found.faults.empty(),
            "accepted if and only if there is no fault");
    std::vector<config::document> turned(documents.rbegin(), documents.rend());
    const auto again = config::check(turned);
    require(again.faults.size() == found.faults.size(),
            "the order of documents brings no fault");
    config::store store;
    store.apply({bodies.size(), true, documents});
    if (found.snapshot == nullptr)
        return 0;
    check_accepted(*found.snapshot);
    require(store.current() != nullptr, "what is accepted is in force");
    require(store.current()->workspaces.size() ==
                found.snapshot->workspaces.size(),
            "the daemon serves the workspaces that were checked");
    require(store.refusals().empty(), "a daemon refuses nothing of it");
    return 0;
}
