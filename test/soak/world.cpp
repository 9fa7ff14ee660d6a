#include "world.hpp"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <sstream>
#include <utility>

namespace soak
{

namespace
{

using json = nlohmann::json;

constexpr std::uint16_t callers_port = 8080;
constexpr std::uint16_t callers_link_port = 8081;
constexpr std::uint16_t readiness_port = 8082;
constexpr std::array<std::uint16_t, 2> control_ports = {9001, 9002};
constexpr std::uint16_t peer_port = 9100;
constexpr std::uint16_t store_port = 7000;
constexpr std::uint16_t upstream_port = 6000;
constexpr std::uint16_t upstream_link_port = 6001;

constexpr std::array<const char*, 2> regions = {"east", "west"};
constexpr std::array<const char*, 2> data_centres = {"hall", "cellar"};

constexpr std::size_t entries_begin = 10; // last byte of their addresses
constexpr std::size_t upstreams_begin = 100;
constexpr std::size_t store_place = 200;

// Two runs at a time use different addresses of the loopback network.
std::string address_of(std::size_t place)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + process % 128) + "." +
           std::to_string(process / 128 % 250) + "." + std::to_string(place);
}

tcp::endpoint endpoint_of(std::size_t place, std::uint16_t port)
{
    return {asio::ip::make_address(address_of(place)), port};
}

std::string text_of(std::size_t place, std::uint16_t port)
{
    return address_of(place) + ":" + std::to_string(port);
}

std::size_t region_of(std::size_t number)
{
    return number % regions.size();
}

constexpr const char* models = "models";
constexpr std::size_t model_upstreams = 4; // the first ones

const char* service_of(std::size_t upstream)
{
    return upstream < model_upstreams ? models : bookings;
}

json route(const char* prefix, const char* type, const char* service = models)
{
    return {{"name", prefix},
            {"hostname", "hall.example"},
            {"prefix", prefix},
            {"routeType", type},
            {"timeoutMs", 3000},
            {"targetLatencyMs", 500},
            {"maxAttempts", 3},
            {"service", service}};
}

json configuration()
{
    json resumable = route("/stream/", "streaming");
    resumable["streamResume"] = true;
    json regional = route("/east/", "idempotent");
    regional["allowedRegions"] = {"east"};
    return {{"version", 1},
            {"routes",
             {route("/once/", "non_idempotent"),
              route("/again/", "idempotent"),
              route("/book/", "non_idempotent", bookings),
              regional,
              resumable}},
            {"services",
             {{{"name", models}, {"maxConnections", 200}},
              {{"name", bookings}, {"maxConnections", 200}}}},
            {"limits", {{"maxBodyBytes", 4U << 20U}}},
            {"tenants", {{{"name", "gate"}, {"apiKeys", {"key-1"}}}}}};
}

} // namespace

world::world(asio::io_context& context, const options& given, ledger& ledger)
    : context(context), given(given), records(ledger),
      published(context, endpoint_of(store_place, store_port))
{
    this->published.put("op/config", configuration());
    for (std::size_t region = 0; region < regions.size(); ++region) {
        link* one =
            this->add_link(endpoint_of(store_place + 1 + region, store_port),
                           endpoint_of(store_place, store_port));
        this->store_links.push_back(one);
    }
    for (std::size_t each = 0; each < upstream_count; ++each)
        this->add_upstream(each);
    for (std::size_t each = 0; each < given.entries; ++each)
        this->add_entry(each);
}

link* world::add_link(const tcp::endpoint& listening,
                      const tcp::endpoint& target)
{
    this->links.push_back(
        std::make_unique<link>(this->context, listening, target));
    return this->links.back().get();
}

void world::add_upstream(std::size_t number)
{
    const std::size_t place = upstreams_begin + number;
    const tcp::endpoint address = endpoint_of(place, upstream_port);
    this->upstreams.push_back(
        std::make_unique<upstream>(this->context,
                                   upstream_place{"u-" + std::to_string(number),
                                                  regions.at(region_of(number)),
                                                  service_of(number),
                                                  address},
                                   this->records));
    this->upstream_links.push_back(
        this->add_link(endpoint_of(place, upstream_link_port), address));
    this->publish_upstream(number);
}

void world::add_entry(std::size_t number)
{
    const std::size_t place = entries_begin + number;
    const std::size_t region = region_of(number);
    this->entries.push_back(
        std::make_unique<entry_process>("entry-" + std::to_string(number),
                                        this->settings_of(number),
                                        this->given,
                                        this->records));
    this->caller_links.push_back(
        this->add_link(endpoint_of(place, callers_link_port),
                       endpoint_of(place, callers_port)));
    this->region_links.push_back(
        this->add_link(endpoint_of(place, control_ports.at(1 - region)),
                       endpoint_of(place, control_ports.at(region))));
}

std::string world::settings_of(std::size_t entry) const
{
    const std::size_t place = entries_begin + entry;
    const std::size_t region = region_of(entry);
    const std::uint16_t control = control_ports.at(region);
    const bool large = entry < large_entries;
    std::ostringstream out;
    out << "nodeName = \"entry-" << entry << "\"\nzone = \""
        << data_centres.at(region) << "\"\nip = \"" << address_of(place)
        << "\"\nseedNodes = [\"" << text_of(entries_begin, control) << "\", \""
        << text_of(entries_begin + 1, control) << "\"]\ninternalPortRange = ["
        << peer_port << ", " << peer_port + 99
        << "]\ncontracts = [\"pressure\"]\n[zones]\nhall = \"east\"\n"
        << "cellar = \"west\"\n[listen]\nfrontend = \""
        << text_of(place, callers_port) << "\"\nreadiness = \""
        << text_of(place, readiness_port) << "\"\ncontrolPlane = \""
        << text_of(place, control) << "\"\n[platform]\naddress = \""
        << text_of(store_place + 1 + region, store_port)
        << "\"\n[limits]\nmemoryMb = " << this->given.memory_mb
        << "\nmaxFds = " << (large ? 8192 : 4100)
        << "\ncpuQuota = " << (large ? "0.5" : "0.12")
        << "\nlinkMbps = " << (large ? 200 : 10)
        << "\n[bounds]\ngraceS = 8\nretrySlack = 100\n";
    return out.str();
}

void world::publish_upstream(std::size_t number)
{
    if (this->upstreams.at(number)->crashed())
        return; // published when it is back
    const std::uint64_t life = ++this->lives.at(number);
    this->published.put(
        "servers/" + this->upstreams.at(number)->name(),
        {{"service", service_of(number)},
         {"address", text_of(upstreams_begin + number, upstream_link_port)},
         {"zone", data_centres.at(region_of(number))},
         {"version", "v1"},
         {"slots", 8},
         {"state", "ready"},
         {"warmupRemainingMs", 0},
         {"born", life},
         {"sequence", life}});
}

void world::crash_upstream(std::size_t number)
{
    this->upstreams.at(number)->crash();
    this->upstream_links.at(number)->close();
}

void world::return_upstream(std::size_t number)
{
    upstream& one = *this->upstreams.at(number);
    this->published.remove("servers/" + one.name());
    one.come_back("u-" + std::to_string(number) + "-" +
                  std::to_string(this->lives.at(number) + 1));
    this->upstream_links.at(number)->open();
    this->publish_upstream(number);
}

std::array<tcp::endpoint, 3> world::ports_of(std::size_t entry)
{
    constexpr std::uint16_t metrics_port = 9464;
    const std::size_t place = entries_begin + entry;
    return {endpoint_of(place, callers_port),
            endpoint_of(place, control_ports.at(region_of(entry))),
            endpoint_of(place, metrics_port)};
}

tcp::endpoint world::callers_address(std::size_t entry)
{
    return endpoint_of(entries_begin + entry, callers_link_port);
}

} // namespace soak
