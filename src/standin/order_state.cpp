#include <standin/order_state.hpp>

#include <algorithm>

namespace standin
{

order_state::order_state(const engine_settings& settings)
    : checks_fencing(settings.checks_fencing),
      load_time(settings.model_load_time), current_role(settings.role),
      current_version(settings.version)
{
    for (const std::string& model : settings.models)
        this->ready_at[model] = instant{};
}

bool order_state::obey(const engine_order& order, instant now)
{
    if (this->checks_fencing && order.fence < this->last_fence)
        return false;
    this->last_fence = order.fence;
    this->current_role = order.role.value_or(this->current_role);
    this->current_version = order.version.value_or(this->current_version);
    if (!order.models)
        return true;
    const auto& wanted = *order.models;
    std::erase_if(this->ready_at, [&wanted](const auto& entry) {
        return std::ranges::find(wanted, entry.first) == wanted.end();
    });
    for (const std::string& model : wanted)
        this->ready_at.try_emplace(model, now + this->load_time);
    return true;
}

bool order_state::serves(const std::string& model, instant now) const
{
    const auto found = this->ready_at.find(model);
    return found != this->ready_at.end() && found->second <= now;
}

std::vector<std::string> order_state::models(instant now) const
{
    std::vector<std::string> ready;
    for (const auto& [model, since] : this->ready_at)
        if (since <= now)
            ready.push_back(model);
    return ready;
}

} // namespace standin
