#include <greengagedrum/entry/start_time_usage.hpp>

namespace greengagedrum::entry
{

void start_time_usage::record(const std::string& key, bool has_start_time)
{
    this->forget(key);
    this->items.emplace(key, has_start_time);
    this->with_start_time += has_start_time ? 1 : 0;
}

void start_time_usage::forget(const std::string& key)
{
    const auto found = this->items.find(key);
    if (found == this->items.end())
        return;
    this->with_start_time -= found->second ? 1 : 0;
    this->items.erase(found);
}

bool start_time_usage::is_expected() const
{
    return this->with_start_time > 0 &&
           2 * this->with_start_time >= this->items.size();
}

} // namespace greengagedrum::entry
