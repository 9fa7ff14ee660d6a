#include <greengagedrum/peers/load_delta.hpp>

#include <algorithm>
#include <tuple>
#include <vector>

namespace greengagedrum::peers
{

namespace
{

using capacity::class_demand;
using capacity::limit_usage;
using capacity::upstream_usage;

auto key_of(const upstream_usage& line)
{
    return line.upstream;
}

auto key_of(const class_demand& line)
{
    return line.upstream_class;
}

auto key_of(const limit_usage& line)
{
    return std::pair(line.workspace, line.kind);
}

bool same(const upstream_usage& left, const upstream_usage& right)
{
    const auto fields = [](const upstream_usage& line) {
        return std::tie(line.in_flight, line.tokens_in_flight, line.overdraft);
    };
    return fields(left) == fields(right);
}

bool same(const class_demand& left, const class_demand& right)
{
    return std::ranges::equal(left.waiting, right.waiting) &&
           std::ranges::equal(left.running, right.running);
}

bool same(const limit_usage& left, const limit_usage& right)
{
    return left.in_flight == right.in_flight &&
           left.tokens_per_second == right.tokens_per_second;
}

upstream_usage emptied(const upstream_usage& line)
{
    upstream_usage out;
    out.upstream = line.upstream;
    return out;
}

class_demand emptied(const class_demand& line)
{
    class_demand out;
    out.upstream_class = line.upstream_class;
    return out;
}

limit_usage emptied(const limit_usage& line)
{
    limit_usage out;
    out.workspace = line.workspace;
    out.kind = line.kind;
    return out;
}

template <class Line>
const Line* find(const std::vector<Line>& lines, const Line& like)
{
    const auto found =
        std::find_if(lines.begin(), lines.end(), [&like](const Line& line) {
            return key_of(line) == key_of(like);
        });
    return found == lines.end() ? nullptr : &*found;
}

// Lines of `now` that differ from `before`, and empty ones for those gone.
template <class Line>
std::vector<Line> changed(const std::vector<Line>& before,
                          const std::vector<Line>& now)
{
    std::vector<Line> out;
    for (const Line& line : now) {
        const Line* const old = find(before, line);
        if (old == nullptr || !same(*old, line))
            out.push_back(line);
    }
    for (const Line& line : before)
        if (find(now, line) == nullptr)
            out.push_back(emptied(line));
    return out;
}

} // namespace

std::optional<capacity::load_digest>
load_delta::next(const capacity::load_digest& all)
{
    capacity::load_digest out;
    out.uses = changed(this->told.uses, all.uses);
    out.demands = changed(this->told.demands, all.demands);
    out.limits = changed(this->told.limits, all.limits);
    this->told = all;
    this->turn = (this->turn + 1) % whole_every;
    if (this->turn == 0) {
        ++this->sequence;
        return this->whole();
    }
    if (out.uses.empty() && out.demands.empty() && out.limits.empty())
        return std::nullopt;
    out.sequence = ++this->sequence;
    return out;
}

capacity::load_digest load_delta::whole() const
{
    capacity::load_digest out = this->told;
    out.sequence = this->sequence;
    out.complete = true;
    return out;
}

} // namespace greengagedrum::peers
