#include <greengagedrum/quarantine/recent_answers.hpp>

#include <algorithm>

namespace greengagedrum::quarantine
{

namespace
{
constexpr std::size_t max_answers = 1024;
} // namespace

void recent_answers::add(const base::request_digest& request, base::instant at)
{
    const auto [found, inserted] = this->times.try_emplace(request, at);
    if (!inserted) {
        found->second = std::max(found->second, at);
        return;
    }
    this->oldest_first.emplace_back(request, at);
    if (this->oldest_first.size() > max_answers)
        this->drop_oldest();
}

// A digest that was answered again since it was queued is queued anew, so that
// frequent ones stay known without an element for each of their answers.
void recent_answers::drop_oldest()
{
    for (std::size_t left = this->oldest_first.size(); left > 0; --left) {
        const auto [oldest, queued_at] = this->oldest_first.front();
        this->oldest_first.pop_front();
        const auto found = this->times.find(oldest);
        if (found->second == queued_at) {
            this->times.erase(found);
            return;
        }
        this->oldest_first.emplace_back(oldest, found->second);
    }
    this->times.erase(this->oldest_first.front().first);
    this->oldest_first.pop_front();
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
