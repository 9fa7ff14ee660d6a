// Where each upstream is reached, as last listed.
//
// Written by the decision thread when a list is taken over, read by the
// threads that serve callers. An upstream that left the list keeps its
// address: its streams may still be read to their end.
#pragma once

#include <greengagedrum/base/ids.hpp>
#include <greengagedrum/membership/messages.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagedrum::upstreams
{

class directory
{
public:
    void update(std::span<const membership::listed_instance> listed);

    // The list as last given: all instances, of every data centre.
    std::vector<membership::listed_instance> listed() const;

    // "IP:port"; none for an upstream that was never listed.
    std::optional<std::string> address_of(base::upstream_id id) const;

private:
    mutable std::mutex mutex;
    std::unordered_map<base::upstream_id, std::string> addresses;
    std::vector<membership::listed_instance> lines;
};

} // namespace greengagedrum::upstreams
