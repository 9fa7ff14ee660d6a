#include <greengagedrum/entry/fleet_test/stream_version_fleet.hpp>
#include <greengagedrum/entry/test/generated_configuration.hpp>
#include <greengagedrum/gossip/stream_version_codec.hpp>
#include <greengagedrum/versions/entry_choice.hpp>

#include <doctest/doctest.h>

#include <algorithm>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

constexpr base::duration tick_interval = 100ms;

// Time until all others have noticed that an entry was killed or started.
constexpr base::duration detection_time = 400ms;

constexpr base::duration max_listing_delay = 500ms;

} // namespace

stream_version_fleet::node::node(base::instant now)
    : state{{},
            cluster_state(),
            quota::usage_limiter(now),
            traffic::scheduler({}, {}),
            rate_limited_log(),
            telemetry::registry(1),
            false}
{
}

stream_version_fleet::stream_version_fleet(const stream_fleet_plan& plan)
    : plan(plan), random_engine(plan.seed), now(1h), nodes(plan.entries),
      changed_at(plan.entries)
{
    for (std::size_t number = 0; number < plan.entries; ++number) {
        this->start(number);
        this->changed_at[number] = base::instant();
    }
}

versions::entry_address stream_version_fleet::address_of(std::size_t number)
{
    constexpr versions::entry_address first = 0x0a000001;
    return first + static_cast<versions::entry_address>(number);
}

base::data_centre_id
stream_version_fleet::data_centre_of(std::size_t number) const
{
    return base::data_centre_id(std::uint64_t(1) +
                                number % this->plan.data_centres);
}

base::duration stream_version_fleet::random_time(base::duration from,
                                                 base::duration to)
{
    return base::duration(std::uniform_int_distribution<base::duration::rep>(
        from.count(), to.count())(this->random_engine));
}

void stream_version_fleet::schedule(base::duration after,
                                    std::function<void()> run)
{
    this->events.push(
        {this->now + after, this->next_sequence++, std::move(run)});
}

void stream_version_fleet::schedule_at(std::size_t number,
                                       base::duration after,
                                       std::function<void(node&)> run)
{
    this->schedule(after,
                   [this,
                    number,
                    incarnation = this->nodes[number]->incarnation,
                    run = std::move(run)] {
                       node* one = this->nodes[number].get();
                       if (one != nullptr && one->incarnation == incarnation)
                           run(*one);
                   });
}

void stream_version_fleet::start(std::size_t number)
{
    this->nodes[number] = std::make_unique<node>(this->now);
    node& fresh = *this->nodes[number];
    fresh.incarnation = this->next_sequence++;
    fresh.state.clock = [this] { return this->now; };
    stream_version_events out;
    out.send = [this, number](const versions::message& sent,
                              versions::entry_address to) {
        this->send(number, sent, to);
    };
    out.known_entries = [this, number] { return this->known_to(number); };
    out.start_timer = [this, number](base::duration after) {
        this->schedule_at(
            number, after, [](node& one) { one.versions->on_timer(); });
    };
    out.read_store = [this, number](const std::function<void(bool)>& on_end) {
        this->read_store(number, on_end);
    };
    fresh.versions = std::make_unique<stream_versions>(
        fresh.state, this->data_centre_of(number), std::move(out));
    this->changed_at[number] = this->now;
    this->read_all_items(fresh);
    this->tick(number);
}

void stream_version_fleet::read_all_items(node& one)
{
    routing::store_item_list listing;
    for (const auto& [key, item] : this->items)
        listing.push_back(item);
    one.versions->on_upstreams_changed(one.state.cluster.apply(
        listing, this->store_revision, true, this->now));
}

// The store answers within a few milliseconds, or not at all.
void stream_version_fleet::read_store(std::size_t number,
                                      const std::function<void(bool)>& on_end)
{
    if (!this->nodes[number]->hears_store)
        return this->schedule_at(
            number, 600ms, [on_end](node&) { on_end(false); });
    this->schedule_at(
        number, this->random_time(2ms, 8ms), [this, on_end](node& one) {
            this->read_all_items(one);
            on_end(true);
        });
}

void stream_version_fleet::tick(std::size_t number)
{
    node& one = *this->nodes[number];
    one.versions->tick(one.is_up_to_date() ? this->now : one.cut_off_at);
    this->schedule_at(
        number, tick_interval, [this, number](node&) { this->tick(number); });
}

void stream_version_fleet::run_next()
{
    const event next = this->events.top();
    this->events.pop();
    this->now = next.at;
    next.run();
}

void stream_version_fleet::run_for(base::duration time)
{
    const base::instant end = this->now + time;
    while (!this->events.empty() && this->events.top().at <= end)
        this->run_next();
    this->now = end;
}

void stream_version_fleet::kill(std::size_t number)
{
    this->nodes[number].reset();
    this->changed_at[number] = this->now;
}

void stream_version_fleet::restart(std::size_t number)
{
    this->kill(number);
    this->start(number);
}

void stream_version_fleet::cut_off(std::size_t number)
{
    this->cut_off_from_store(number);
    this->cut_off_from_entries(number);
}

void stream_version_fleet::cut_off_from_store(std::size_t number)
{
    this->nodes[number]->hears_store = false;
    this->nodes[number]->cut_off_at = this->now;
}

void stream_version_fleet::cut_off_from_entries(std::size_t number)
{
    this->nodes[number]->hears_entries = false;
    this->nodes[number]->cut_off_at = this->now;
}

void stream_version_fleet::reconnect(std::size_t number)
{
    node& one = *this->nodes[number];
    one.hears_store = true;
    one.hears_entries = true;
    this->read_all_items(one);
}

bool stream_version_fleet::are_apart(std::size_t from, std::size_t to) const
{
    return !this->nodes[from]->hears_entries || !this->nodes[to]->hears_entries;
}

// An entry that was killed or cut off stays known for a while, and one that has
// started is not known at once.
std::vector<versions::known_entry>
stream_version_fleet::known_to(std::size_t number) const
{
    std::vector<versions::known_entry> out;
    const node* own = this->nodes[number].get();
    if (own != nullptr && !own->hears_entries &&
        this->now - own->cut_off_at >= detection_time)
        return out;
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        const bool noticed =
            this->now - this->changed_at[other] >= detection_time;
        if (other != number && this->is_up(other) == noticed)
            out.push_back({address_of(other), this->data_centre_of(other)});
    }
    return out;
}

void stream_version_fleet::send(std::size_t from,
                                const versions::message& sent,
                                versions::entry_address to)
{
    const std::size_t number = to - address_of(0);
    const bool lost =
        std::bernoulli_distribution(this->plan.lost_share)(this->random_engine);
    if (lost || !this->is_up(number) || this->are_apart(from, number))
        return;
    const std::string bytes = gossip::encode({address_of(from), sent}, to);
    this->schedule_at(
        number, this->random_time(300us, 3ms), [bytes](node& one) {
            const auto read = gossip::decode_stream_version_message(bytes);
            REQUIRE(read.has_value());
            one.versions->on_message(read->content, read->sender);
        });
}

void stream_version_fleet::apply(const routing::store_item& item)
{
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        if (!this->is_up(number))
            continue;
        this->schedule_at(
            number,
            this->random_time(5ms, max_listing_delay),
            [this, item](node& one) {
                if (one.is_up_to_date())
                    one.versions->on_upstreams_changed(one.state.cluster.apply(
                        {item}, item.revision, false, this->now));
            });
    }
}

void stream_version_fleet::publish(const std::string& upstream,
                                   const std::string& version)
{
    routing::store_item item;
    item.key = test::upstream_key(upstream);
    item.revision = ++this->store_revision;
    item.value = test::upstream_text(version);
    this->items[item.key] = item;
    this->apply(item);
}

void stream_version_fleet::withdraw(const std::string& upstream)
{
    routing::store_item item;
    item.key = test::upstream_key(upstream);
    item.revision = ++this->store_revision;
    item.removed = true;
    this->items.erase(item.key);
    this->apply(item);
}

std::vector<base::version_id>
stream_version_fleet::versions_at(std::size_t number) const
{
    std::set<base::version_id> out;
    this->nodes[number]->state.cluster.upstreams().for_each_usable(
        [&out](const routing::published_upstream& one) {
            out.insert(one.version);
        });
    return {out.begin(), out.end()};
}

void stream_version_fleet::begin_stream(std::size_t number,
                                        const std::string& attempt,
                                        base::version_id version)
{
    this->nodes[number]->versions->record(attempt, version);
}

std::optional<versions::finding>
stream_version_fleet::resume(std::size_t number, const std::string& begun_by)
{
    const auto result = std::make_shared<std::optional<versions::finding>>();
    this->nodes[number]->versions->look_up(
        {"resumes-" + begun_by, begun_by, base::upstream_class_id("models")},
        [result](const versions::finding& found) { *result = found; });
    const base::instant end = this->now + 1s;
    while (!*result && this->now < end)
        this->run_next();
    return *result;
}

std::vector<std::size_t>
stream_version_fleet::holders_of(std::size_t number,
                                 const std::string& attempt) const
{
    std::vector<std::size_t> out;
    const auto known = this->known_to(number);
    for (const versions::entry_address one : versions::choose_holders(
             versions::stream_id(attempt), this->data_centre_of(number), known))
        out.push_back(one - address_of(0));
    return out;
}

} // namespace greengagedrum::entry::fleet_test
