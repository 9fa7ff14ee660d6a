#include <greengagedrum/quarantine/recent_answers.hpp>

namespace greengagedrum::quarantine
{

namespace
{
constexpr std::size_t max_answers = 1024;
} // namespace

void recent_answers::add(const base::request_digest& request, base::instant now)
{
    this->times[request] = now;
    this->oldest_first.emplace_back(request, now);
    if (this->oldest_first.size() <= max_answers)
        return;
    const auto [oldest, at] = this->oldest_first.front();
    this->oldest_first.pop_front();
    const auto found = this->times.find(oldest);
    if (found != this->times.end() && found->second == at)
        this->times.erase(found);
}

std::optional<base::instant>
recent_answers::last_answer(const base::request_digest& request) const
{
    const auto found = this->times.find(request);
    if (found == this->times.end())
        return std::nullopt;
    return found->second;
}

} // namespace greengagedrum::quarantine
