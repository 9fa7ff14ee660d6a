#include <greengagedrum/entry/fleet_test/virtual_fleet.hpp>
#include <greengagedrum/placement/mix.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration step_length = 5ms;
constexpr base::duration tick_interval = 20ms;
constexpr base::duration near_latency = 500us;
constexpr base::duration far_latency = 1400us;
constexpr base::duration region_latency = 12ms;
constexpr std::size_t seeds = 3;
constexpr double strong_link = 25e6; // bytes per second

} // namespace

virtual_fleet::node::node(base::instant now)
    : state{{},
            cluster_state(),
            quota::usage_limiter(now),
            traffic::scheduler({}, {}),
            rate_limited_log(),
            telemetry::registry(1),
            false}
{
}

virtual_fleet::virtual_fleet(const fault_plan& plan, hooks owner)
    : plan(plan), owner_hooks(std::move(owner)), started_at(1h), now(1h),
      nodes(plan.entries), restart_at(plan.entries), sent_bytes(plan.entries),
      strong_faults(plan.strong_entries, plan.data_centres),
      links(plan.link_bytes_per_second,
            {[this](gossip::ipv4_address address) {
                 return this->region_of(address);
             },
             plan.region_bytes_per_second})
{
}

virtual_fleet::~virtual_fleet() = default;

void virtual_fleet::start()
{
    for (std::size_t number = 0; number < this->plan.entries; ++number)
        this->start(number);
}

double virtual_fleet::seconds() const
{
    return std::chrono::duration<double>(this->now - this->started_at).count();
}

std::uint64_t virtual_fleet::busiest_bytes() const
{
    return *std::max_element(this->sent_bytes.begin(), this->sent_bytes.end());
}

std::uint64_t virtual_fleet::bytes_between_regions() const
{
    return this->region_datagram_bytes + this->links.bytes_between_regions();
}

std::size_t virtual_fleet::region_of(gossip::ipv4_address address) const
{
    if (address == store_address)
        return 0;
    return (address - first_address) % this->plan.data_centres %
           this->plan.regions;
}

virtual_fleet::node* virtual_fleet::serving(std::size_t number)
{
    node* one = this->nodes[number].get();
    const bool out =
        one == nullptr || one->state.stopping || one->frozen_until > this->now;
    return out ? nullptr : one;
}

settings virtual_fleet::settings_of(std::size_t number) const
{
    settings out;
    out.instance = "entry-" + std::to_string(number);
    out.data_centre =
        "centre-" + std::to_string(number % this->plan.data_centres);
    const auto address_of = [](std::size_t of) {
        return relay::asio::ip::address_v4(
                   first_address + static_cast<gossip::ipv4_address>(of))
            .to_string();
    };
    out.ip = address_of(number);
    out.peer_port = 1;
    for (std::size_t one = 0;
         this->plan.regions > 1 && this->plan.regions_in_settings &&
         one < this->plan.data_centres;
         ++one)
        out.regions["centre-" + std::to_string(one)] =
            "region-" + std::to_string(one % this->plan.regions);
    for (std::size_t seed = 0; seed < seeds; ++seed)
        out.seeds.push_back({address_of(seed * 7 % this->plan.entries), 1});
    // The first entry of each data centre is the strongest, and at first its
    // dispatcher.
    out.processors = number < this->plan.data_centres ? 0.5 : 0.12;
    if (!this->plan.strong_entries.present)
        return out;
    const bool strong = this->strong_faults.is_strong(number);
    out.processors = strong ? 0.5 : 0.12;
    out.link_bytes_per_second =
        strong ? strong_link : this->plan.link_bytes_per_second;
    out.duties_by_load = this->plan.strong_entries.duties_by_load;
    return out;
}

void virtual_fleet::start(std::size_t number)
{
    this->nodes[number] = std::make_unique<node>(this->now);
    node& fresh = *this->nodes[number];
    fresh.number = number;
    fresh.address = first_address + static_cast<gossip::ipv4_address>(number);
    fresh.state.clock = [this] { return this->now; };
    this->owner_hooks.configure(fresh);
    fresh.incarnation = base::incarnation{this->next_incarnation++};
    fresh.protocol =
        std::make_unique<peer_protocol>(this->settings_of(number),
                                        fresh.incarnation,
                                        fresh.state,
                                        this->owner_hooks.events(fresh),
                                        this->transport_of(fresh));
    fresh.protocol->record_store_answer();
    fresh.protocol->record_store_connect(
        2 * this->latency(fresh.address, store_address));
    fresh.protocol->schedule_gossip();
}

peer_transport virtual_fleet::transport_of(node& one)
{
    peer_transport out;
    out.send = [this, &one](std::string_view bytes, gossip::ipv4_address to) {
        this->sent_bytes[one.number] += bytes.size();
        this->largest_sent = std::max(this->largest_sent, bytes.size());
        this->send(one.address, to, bytes);
    };
    out.observe_queues = [this, &one] {
        return this->strong_faults.queues(one.number, this->now);
    };
    out.start_timer = [this, &one](base::duration after) {
        one.timer_due_at = this->now + after;
    };
    out.fetch = [this, &one](const base::ip_endpoint& of,
                             const std::string& target,
                             const relay::answer_limits& limits,
                             relay::http_get::answer on_answer) {
        this->fetch(one, of, target, limits, std::move(on_answer));
    };
    return out;
}

void virtual_fleet::fetch(const node& asking,
                          const base::ip_endpoint& of,
                          const std::string& target,
                          const relay::answer_limits& limits,
                          relay::http_get::answer on_answer)
{
    if (!this->owner_hooks.answer_query)
        return on_answer(tl::unexpected(std::string("not simulated")));
    const gossip::ipv4_address from =
        relay::asio::ip::make_address_v4(of.ip).to_uint();
    const std::size_t number = from - first_address;
    const auto query = parse_item_query(target);
    const bool answers = number < this->nodes.size() && this->nodes[number] &&
                         this->nodes[number]->frozen_until <= this->now &&
                         !this->is_partitioned(from, asking.address);
    const std::string body =
        answers && query
            ? this->owner_hooks.answer_query(*this->nodes[number], *query)
            : std::string();
    const double bytes = answers ? static_cast<double>(body.size())
                                 : std::numeric_limits<double>::infinity();
    this->links.start(
        {from,
         asking.address,
         bytes,
         limits,
         [this, body, on_answer = std::move(on_answer)](bool whole) {
             if (whole)
                 return on_answer(relay::fetched{relay::status_ok, body});
             this->failures += 1;
             on_answer(tl::unexpected(std::string("no answer in time")));
         },
         this->now},
        this->now);
}

void virtual_fleet::send(gossip::ipv4_address from,
                         gossip::ipv4_address to,
                         std::string_view bytes)
{
    if (this->is_partitioned(from, to))
        return;
    constexpr std::uint64_t parts = 10'000;
    const std::uint64_t draw =
        placement::mix(this->plan.seed, this->next_datagram++) % parts;
    if (static_cast<double>(draw) < this->plan.lost_share * parts)
        return;
    if (this->region_of(from) != this->region_of(to))
        this->region_datagram_bytes += bytes.size();
    const std::size_t sender = from - first_address;
    const base::duration delay =
        this->strong_faults.send_delay(sender, this->seconds());
    this->strong_faults.on_sent(sender, bytes.size(), this->now + delay);
    if (delay > 0ms) {
        this->delayed_queue.push_back(
            {this->now + delay + far_latency, from, to, std::string(bytes)});
        return;
    }
    this->queue_of(from, to).push_back(
        {this->now + this->latency(from, to), from, to, std::string(bytes)});
}

std::deque<virtual_fleet::datagram>&
virtual_fleet::queue_of(gossip::ipv4_address from, gossip::ipv4_address to)
{
    if (this->region_of(from) != this->region_of(to))
        return this->region_queue;
    const bool is_near = (from - first_address) % this->plan.data_centres ==
                         (to - first_address) % this->plan.data_centres;
    return is_near ? this->near_queue : this->far_queue;
}

base::duration virtual_fleet::latency(gossip::ipv4_address from,
                                      gossip::ipv4_address to) const
{
    if (this->region_of(from) != this->region_of(to))
        return region_latency + this->links.queueing_delay(from, to);
    const bool is_near = (from - first_address) % this->plan.data_centres ==
                         (to - first_address) % this->plan.data_centres;
    return is_near ? near_latency : far_latency;
}

void virtual_fleet::deliver()
{
    const std::vector<datagram> all_held = std::exchange(this->held, {});
    for (const datagram& one : all_held)
        this->deliver(one);
    for (std::deque<datagram>* queue : {&this->near_queue,
                                        &this->far_queue,
                                        &this->region_queue,
                                        &this->delayed_queue}) {
        while (!queue->empty() && queue->front().arrives <= this->now) {
            const datagram one = std::move(queue->front());
            queue->pop_front();
            this->deliver(one);
        }
    }
}

void virtual_fleet::deliver(const datagram& one)
{
    const std::size_t number = one.to - first_address;
    if (number >= this->nodes.size() || !this->nodes[number])
        return;
    if (!this->strong_faults.runs(number, this->seconds())) {
        this->held.push_back(one);
        return;
    }
    node& to = *this->nodes[number];
    if (to.frozen_until <= this->now)
        to.protocol->on_message(one.bytes, "");
}

void virtual_fleet::step(node& one)
{
    if (one.frozen_until > this->now ||
        !this->strong_faults.runs(one.number, this->seconds()))
        return;
    if (one.timer_due_at && *one.timer_due_at <= this->now) {
        one.timer_due_at.reset();
        one.protocol->on_timer();
    }
    const auto tick = (this->now - this->started_at) / step_length;
    constexpr auto ticks_per_interval = tick_interval / step_length;
    if ((tick + static_cast<std::int64_t>(one.number)) % ticks_per_interval ==
        0)
        one.protocol->tick(this->owner_hooks.store_fails(one));
    this->owner_hooks.after_step(one);
}

void virtual_fleet::step()
{
    this->now += step_length;
    this->restart_due_entries();
    this->inject_due_faults();
    this->inject_strong_entry_faults();
    this->deliver();
    this->links.step(this->now, step_length);
    for (const std::unique_ptr<node>& one : this->nodes) {
        if (one)
            this->step(*one);
    }
}

} // namespace greengagedrum::entry::fleet_test
