#include <greengagedrum/quarantine/recent_answers.hpp>

namespace greengagedrum::quarantine
{

namespace
{
constexpr std::size_t answers_most = 1024;
} // namespace

void recent_answers::add(const base::request_digest& request, base::instant now)
{
    this->times[request] = now;
    this->order.emplace_back(request, now);
    if (this->order.size() <= answers_most)
        return;
    const auto [oldest, at] = this->order.front();
    this->order.pop_front();
    const auto found = this->times.find(oldest);
    if (found != this->times.end() && found->second == at)
        this->times.erase(found);
}

std::optional<base::instant>
recent_answers::last(const base::request_digest& request) const
{
    const auto found = this->times.find(request);
    if (found == this->times.end())
        return std::nullopt;
    return found->second;
}

} // namespace greengagedrum::quarantine
