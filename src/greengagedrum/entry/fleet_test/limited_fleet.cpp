#include <greengagedrum/entry/fleet_test/limited_fleet.hpp>

#include <algorithm>
#include <string>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

const base::workspace_id busy("busy");
constexpr base::duration step_length = 5ms;
constexpr base::duration tick_gap = 20ms;
constexpr base::duration near_way = 500us;
constexpr base::duration far_way = 1400us;
constexpr base::duration window = 8s;
constexpr double mean_cost = 1000;
constexpr std::size_t seeds = 3;
constexpr double roles_found = 1; // seconds from the start of all entries
// Of the limit, and in tokens, that lag may exceed it by.
constexpr double overshoot = 0.25;
constexpr double slack_seconds = 0.6; // of the limit's rate

double since(base::instant from, base::instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

limited_fleet::node::node(base::instant now)
    : state{{},
            beliefs(),
            quota::usage_limiter(now),
            traffic::scheduler({}, {}),
            decision_log(),
            telemetry::registry(1),
            false}
{
}

limited_fleet::limited_fleet(const fleet_plan& plan)
    : plan(plan), dice(plan.seed), begun(1h), now(1h), nodes(plan.entries),
      back_at(plan.entries), sent_bytes(plan.entries)
{
    for (std::size_t number = 0; number < plan.entries; ++number)
        this->start(number);
}

limited_fleet::~limited_fleet() = default;

double limited_fleet::seconds() const
{
    return since(this->begun, this->now);
}

double limited_fleet::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->dice);
}

// ---- Entries ----------------------------------------------------------------

settings limited_fleet::settings_of(std::size_t number) const
{
    settings out;
    out.instance = "entry-" + std::to_string(number);
    out.data_centre =
        "centre-" + std::to_string(number % this->plan.data_centres);
    const auto address_of = [](std::size_t of) {
        return relay::asio::ip::address_v4(first_address +
                                           static_cast<gossip::ip_number>(of))
            .to_string();
    };
    out.ip = address_of(number);
    out.peer_port = 1;
    for (std::size_t seed = 0; seed < seeds; ++seed)
        out.seeds.push_back({address_of(seed * 7 % this->plan.entries), 1});
    // The first of each data centre is the strongest.
    out.processors = number < this->plan.data_centres ? 0.5 : 0.12;
    return out;
}

double limited_fleet::limit() const
{
    return this->plan.requests * mean_cost / this->plan.demand;
}

void limited_fleet::configure(node& one) const
{
    const double limit = this->limit();
    one.state.limiter.set_tolerance({window, overshoot, slack_seconds * limit});
    routing::configuration config;
    routing::workspace known;
    known.id = busy;
    known.limit = {limit, limit, true, 0};
    config.workspaces.push_back(known);
    one.state.limiter.set_limits(config, this->now);
}

void limited_fleet::start(std::size_t number)
{
    this->nodes[number] = std::make_unique<node>(this->now);
    node& fresh = *this->nodes[number];
    fresh.number = number;
    fresh.address = first_address + static_cast<gossip::ip_number>(number);
    fresh.state.clock = [this] { return this->now; };
    this->configure(fresh);
    peer_transport transport;
    transport.send = [this, &fresh](std::string_view bytes,
                                    gossip::ip_number to) {
        this->sent_bytes[fresh.number] += bytes.size();
        this->send(fresh.address, to, bytes);
    };
    transport.wake_after = [this, &fresh](base::duration after) {
        fresh.wakes_at = this->now + after;
    };
    transport.ask = [](const base::ip_endpoint&,
                       const std::string&,
                       base::duration,
                       const relay::http_get::answer& tell) {
        tell(tl::unexpected(std::string("not played")));
    };
    fresh.link =
        std::make_unique<peer_link>(this->settings_of(number),
                                    base::incarnation{this->next_life++},
                                    fresh.state,
                                    this->events_of(fresh),
                                    std::move(transport));
    fresh.link->store_answered();
    fresh.link->tell_soon();
}

peer_events limited_fleet::events_of(node& of)
{
    peer_events out;
    out.load_changed = [] {};
    out.items = [](const gossip::item_transfer&) {};
    out.delegate = [this, &of] {
        of.state.delegating = true;
        const dispatch::desk_news news = of.desk.lost_all();
        for (const dispatch::counted_cost& cost : news.withdrawn)
            of.state.limiter.withdrawn(cost.workspace, cost.amount, this->now);
    };
    out.place_alone = [this, &of](std::size_t unheard,
                                  const handed_limits* known) {
        this->place_alone(of, unheard, known);
    };
    out.report = [this, &of] { return this->report_of(of); };
    out.replied = [this, &of](const dispatch::dispatcher_reply& what) {
        this->replied(of, what);
    };
    out.member_reported = [this, &of](base::slot_id member,
                                      const gossip::word& told) {
        this->reported(of, member, told);
    };
    out.member_lost = [this, &of](base::slot_id member) {
        for (const dispatch::counted_cost& cost :
             of.desk.lost(member).withdrawn)
            of.state.limiter.withdrawn(cost.workspace, cost.amount, this->now);
    };
    out.members_unanswered = [this, &of] {
        return of.desk.unanswered(this->now);
    };
    out.reply = [this, &of](base::slot_id member) {
        return of.desk.reply(member, this->now);
    };
    return out;
}

// ---- Requests ---------------------------------------------------------------

void limited_fleet::let_through(double cost)
{
    this->let.emplace_back(this->now, cost);
    this->result.let += cost;
}

void limited_fleet::arrive(node& at, double cost)
{
    this->result.asked += 1;
    if (at.state.delegating) {
        at.requests[this->next_request++] = {this->now, cost, false};
        at.link->tell_soon();
        return;
    }
    if (at.state.limiter.take(busy, cost, this->now)) {
        this->result.refused += 1;
        return;
    }
    at.state.limiter.sent(busy, cost, this->now);
    this->let_through(cost);
}

void limited_fleet::place_alone(node& one,
                                std::size_t unheard,
                                const handed_limits* known)
{
    if (known != nullptr)
        one.state.limiter.take_over(
            known->from, known->life, known->uses, this->now);
    else
        one.state.limiter.restart(this->now);
    one.state.limiter.set_unheard_peers(unheard);
    one.state.limiter.assume_silent_peers(this->now);
    one.state.delegating = false;
    for (const auto& [id, request] : one.requests) {
        if (one.state.limiter.take(busy, request.cost, this->now)) {
            this->result.refused += 1;
            continue;
        }
        one.state.limiter.sent(busy, request.cost, this->now);
        this->let_through(request.cost);
    }
    one.requests.clear();
}

dispatch::member_report limited_fleet::report_of(const node& member) const
{
    dispatch::member_report out;
    for (const auto& [id, request] : member.requests) {
        dispatch::wanted_place wanted;
        wanted.name = {base::request_id{id}, 1};
        wanted.facts.workspace = busy;
        wanted.facts.time_left = 10s;
        wanted.facts.patience = 2s;
        wanted.cost = request.cost;
        out.wanted.push_back(wanted);
    }
    return out;
}

void limited_fleet::reported(node& dispatcher,
                             base::slot_id member,
                             const gossip::word& told)
{
    quota::usage_limiter& limiter = dispatcher.state.limiter;
    const dispatch::desk_news news =
        dispatcher.desk.report(member, told.life, told.report, told.uses);
    for (const dispatch::counted_cost& cost : news.withdrawn)
        limiter.withdrawn(cost.workspace, cost.amount, this->now);
    for (const auto& [id, wanted] : news.arrived) {
        const auto over = limiter.take(busy, wanted.cost, this->now);
        if (over) {
            dispatcher.desk.declined(
                id, base::not_run(base::reason::limit_reached, *over));
            continue;
        }
        traffic::send_request order;
        order.request = id;
        order.send = 1;
        order.upstream = base::upstream_id("any");
        dispatcher.desk.granted(order);
        limiter.sent(busy, wanted.cost, this->now);
    }
}

void limited_fleet::replied(node& member,
                            const dispatch::dispatcher_reply& what)
{
    for (const dispatch::granted_place& one : what.granted) {
        const auto found = member.requests.find(one.name.request.value);
        if (found == member.requests.end())
            continue;
        this->let_through(found->second.cost);
        member.requests.erase(found);
    }
    for (const dispatch::declined_place& one : what.declined) {
        if (member.requests.erase(one.name.request.value) > 0)
            this->result.refused += 1;
    }
}

void limited_fleet::ask()
{
    double due =
        this->plan.requests * since(this->now - step_length, this->now);
    while (due > 0) {
        if (due < 1 && this->draw() >= due)
            return;
        due -= 1;
        const std::size_t at = this->dice() % this->nodes.size();
        node* to = this->nodes[at].get();
        // The balancer leaves out those that are down or stop.
        if (to == nullptr || to->state.stopping || to->frozen_until > this->now)
            continue;
        this->arrive(*to, mean_cost * 2 * this->draw());
    }
}

// ---- Messages
// -----------------------------------------------------------------

void limited_fleet::send(gossip::ip_number from,
                         gossip::ip_number to,
                         std::string_view bytes)
{
    if (this->is_cut(from, to))
        return;
    const bool is_near = (from - first_address) % this->plan.data_centres ==
                         (to - first_address) % this->plan.data_centres;
    std::deque<datagram>& way = is_near ? this->near : this->far;
    way.push_back({this->now + (is_near ? near_way : far_way),
                   from,
                   to,
                   std::string(bytes)});
}

void limited_fleet::deliver()
{
    for (std::deque<datagram>* way : {&this->near, &this->far}) {
        while (!way->empty() && way->front().arrives <= this->now) {
            const datagram one = std::move(way->front());
            way->pop_front();
            const std::size_t number = one.to - first_address;
            if (number >= this->nodes.size() || !this->nodes[number])
                continue;
            node& to = *this->nodes[number];
            if (to.frozen_until <= this->now)
                to.link->on_word(one.bytes, "");
        }
    }
}

// ---- The run
// ----------------------------------------------------------------------

void limited_fleet::step(node& one)
{
    if (one.frozen_until > this->now)
        return;
    if (one.wakes_at && *one.wakes_at <= this->now) {
        one.wakes_at.reset();
        one.link->wake();
    }
    const auto turn = (this->now - this->begun) / step_length;
    constexpr auto turns = tick_gap / step_length;
    if ((turn + static_cast<std::int64_t>(one.number)) % turns == 0)
        one.link->tick(false);
    if (one.was_delegating != one.state.delegating) {
        one.was_delegating = one.state.delegating;
        const bool counts = !one.state.delegating && this->seconds() > 2;
        this->result.dispatcher_changes += counts ? 1 : 0;
    }
}

void limited_fleet::judge()
{
    double held = 0;
    for (const auto& [at, cost] : this->let)
        held += cost;
    const double bound = this->limit() * (9 * (1 + overshoot) + slack_seconds);
    if (held / bound > this->result.worst_share) {
        this->result.worst_share = held / bound;
        this->result.worst_at = this->seconds();
    }
}

fleet_result limited_fleet::play()
{
    while (this->seconds() < this->plan.seconds) {
        this->now += step_length;
        this->restart_due();
        this->trouble_due();
        this->deliver();
        for (const std::unique_ptr<node>& one : this->nodes) {
            if (one)
                this->step(*one);
        }
        if (this->seconds() >= roles_found)
            this->ask();
        while (!this->let.empty() &&
               this->now - this->let.front().first > window)
            this->let.pop_front();
        if ((this->now - this->begun) % 100ms == base::duration(0))
            this->judge();
    }
    for (const std::unique_ptr<node>& one : this->nodes) {
        for (const auto& [id, request] :
             one ? one->requests : std::map<std::uint64_t, waiting_request>()) {
            const bool late = this->now - request.arrived > 1s;
            this->result.unanswered += late ? 1 : 0;
        }
    }
    this->result.let /= this->limit() * (this->plan.seconds - roles_found);
    this->result.busiest_bytes = static_cast<std::uint64_t>(
        static_cast<double>(*std::max_element(this->sent_bytes.begin(),
                                              this->sent_bytes.end())) /
        this->plan.seconds);
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
