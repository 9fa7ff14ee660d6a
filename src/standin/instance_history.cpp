#include <standin/instance_history.hpp>
#include <standin/json_answers.hpp>

#include <algorithm>
#include <utility>

namespace standin
{

nlohmann::json instance_json(const listed_instance& instance)
{
    return {{"name", instance.name},
            {"type", instance.type},
            {"data_centre", instance.data_centre},
            {"address", instance.address},
            {"state", instance.state}};
}

std::optional<listed_instance> instance_from(const std::string& name,
                                             const nlohmann::json& json)
{
    const auto type = text_member(json, "type");
    const auto data_centre = text_member(json, "data_centre");
    const auto address = text_member(json, "address");
    const std::string state = text_member(json, "state").value_or("live");
    if (!type || !data_centre || !address)
        return std::nullopt;
    if (*type != "entry" && *type != "upstream")
        return std::nullopt;
    if (state != "live" && state != "leaving")
        return std::nullopt;
    return listed_instance{name, *type, *data_centre, *address, state};
}

void instance_history::put(const listed_instance& instance, instant now)
{
    instance_list list = this->next(now);
    const auto same = [&instance](const listed_instance& one) {
        return one.name == instance.name;
    };
    const auto found = std::ranges::find_if(list.instances, same);
    if (found == list.instances.end())
        list.instances.push_back(instance);
    else
        *found = instance;
    this->add(std::move(list));
}

bool instance_history::erase(const std::string& name, instant now)
{
    instance_list list = this->next(now);
    const auto same = [&name](const listed_instance& one) {
        return one.name == name;
    };
    if (std::erase_if(list.instances, same) == 0)
        return false;
    this->add(std::move(list));
    return true;
}

const instance_list& instance_history::seen(instant at) const
{
    const auto list =
        std::find_if(this->lists.rbegin(),
                     this->lists.rend(),
                     [at](const auto& one) { return one.changed <= at; });
    if (list != this->lists.rend())
        return *list;
    return this->lists.front();
}

instance_list instance_history::next(instant now) const
{
    instance_list list = this->lists.back();
    ++list.revision;
    list.changed = now;
    return list;
}

void instance_history::add(instance_list list)
{
    constexpr std::size_t kept = 1000;
    this->lists.push_back(std::move(list));
    if (this->lists.size() > kept)
        this->lists.pop_front();
}

} // namespace standin
