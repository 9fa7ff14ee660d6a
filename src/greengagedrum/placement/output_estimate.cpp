#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/placement/output_estimate.hpp>

#include <algorithm>

namespace greengagedrum::placement
{

namespace
{

constexpr std::size_t known_max = 16'384; // pairs of workspace and kind
constexpr double count_max = 16;          // answers that an average remembers

std::uint64_t key_of(const base::request_spec& item)
{
    return mix(item.workspace.value, item.kind.value);
}

} // namespace

void output_estimate::learn(const base::request_spec& item,
                            std::uint32_t tokens)
{
    const std::uint64_t key = key_of(item);
    if (this->known.size() >= known_max && !this->known.contains(key))
        this->known.erase(this->known.begin());
    average& own = this->known[key];
    own.count = std::min(own.count + 1, count_max);
    own.tokens += (tokens - own.tokens) / own.count;
}

double output_estimate::expected(const base::request_spec& item) const
{
    const double most = item.output_tokens;
    const auto found = this->known.find(key_of(item));
    if (found == this->known.end())
        return most / 2;
    return std::min(found->second.tokens, most);
}

} // namespace greengagedrum::placement
