// Configuration documents of any size, as the platform's store holds them.
#pragma once

#include <greengagedrum/placement/mix.hpp>

#include <cstdint>
#include <string>

namespace greengagedrum::entry::test
{

inline std::string random_name(std::uint64_t seed, std::uint64_t number)
{
    constexpr std::size_t letters = 8;
    constexpr std::uint64_t alphabet = 26;
    std::uint64_t draw = placement::mix(seed, number);
    std::string out;
    for (std::size_t each = 0; each < letters; ++each, draw /= alphabet)
        out += static_cast<char>('a' + draw % alphabet);
    return out;
}

inline std::string route_text(std::uint64_t number)
{
    const std::string name = random_name(1, number);
    return R"({"name": ")" + name + R"(", "hostname": ")" +
           random_name(2, number % 20) + R"(.example", "prefix": "/)" + name +
           "/" + random_name(3, number) +
           R"(/", "routeType": "idempotent", "timeoutMs": 3000, )"
           R"("targetLatencyMs": 500, "maxAttempts": 2, "service": "models"})";
}

inline std::string workspace_text(std::uint64_t number, std::uint64_t key)
{
    return R"({"name": "workspace-)" + std::to_string(number) +
           R"(", "apiKeys": [")" + random_name(4 + key, number) + R"("]})";
}

// A document whose workspaces have the same keys as in any other one, but for
// one of them, which has the `key`th.
inline std::string configuration_text(std::int64_t version,
                                      std::size_t routes,
                                      std::size_t workspaces,
                                      std::size_t key)
{
    std::string out =
        R"({"version": )" + std::to_string(version) + R"(, "routes": [)";
    for (std::size_t each = 0; each < routes; ++each)
        out += (each > 0 ? ", " : "") + route_text(each);
    out += R"(], "services": [{"name": "models"}], "tenants": [)";
    for (std::size_t each = 0; each < workspaces; ++each)
        out += (each > 0 ? ", " : "") +
               workspace_text(each, each == key % workspaces ? key : 0);
    return out + "]}";
}

inline std::string upstream_key(const std::string& name)
{
    return "servers/" + name;
}

inline std::string upstream_text(const std::string& version)
{
    return R"({"service": "models", "address": "10.1.0.1:1", "slots": 5, )"
           R"("zone": "centre-0", "state": "ready", "sequence": 1, )"
           R"("warmupRemainingMs": 0, "version": ")" +
           version + "\"}";
}

} // namespace greengagedrum::entry::test
