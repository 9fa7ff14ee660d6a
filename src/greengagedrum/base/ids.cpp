#include <greengagedrum/base/ids.hpp>

#include <xxhash.h>

namespace greengagedrum::base
{

std::uint64_t hash_name(std::string_view name)
{
    const std::uint64_t hash = XXH64(name.data(), name.size(), 0);
    return hash == 0 ? 1 : hash;
}

} // namespace greengagedrum::base
