#include <greengagedrum/upstreams/directory.hpp>

namespace greengagedrum::upstreams
{

void directory::update(std::span<const membership::listed_instance> listed)
{
    const std::lock_guard lock(this->mutex);
    this->lines.assign(listed.begin(), listed.end());
    for (const membership::listed_instance& line : listed) {
        if (line.type == membership::instance_type::upstream)
            this->addresses[base::upstream_id(line.name)] = line.address;
    }
}

std::vector<membership::listed_instance> directory::listed() const
{
    const std::lock_guard lock(this->mutex);
    return this->lines;
}

std::optional<std::string> directory::address_of(base::upstream_id id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->addresses.find(id);
    if (found == this->addresses.end())
        return std::nullopt;
    return found->second;
}

} // namespace greengagedrum::upstreams
