#include <greengagedrum/entry/fleet_test/configuration_fleet.hpp>
#include <greengagedrum/entry/store_reader.hpp>
#include <greengagedrum/entry/test/generated_configuration.hpp>
#include <greengagedrum/placement/mix.hpp>
#include <greengagedrum/platform/documents.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace greengagedrum::entry::fleet_test
{

namespace
{

using namespace std::chrono_literals;

// As in store_reader.
constexpr base::duration idle_check_interval = 100ms;
constexpr base::duration backoff_step = 100ms;
constexpr base::duration idle_backoff = 1s;
constexpr std::uint32_t max_backoff_steps = 4;

// The store sends values in Base64.
constexpr double base64_expansion = 4.0 / 3;
constexpr double bytes_of_other_changes = 2000;

// Time in which dispatchers have changed after a fault, in seconds.
constexpr double settling_time = 4;

} // namespace

configuration_fleet::configuration_fleet(const configuration_plan& plan)
    : plan(plan), readers(plan.entries), changes_in_force(plan.entries),
      served_at(plan.entries), requests(plan.entries), routes(plan.routes),
      fleet(plan, this->hooks())
{
    this->document.key = platform::configuration_key;
    this->write_configuration();
    this->fleet.start();
}

virtual_fleet::hooks configuration_fleet::hooks()
{
    virtual_fleet::hooks out;
    out.configure = [this](node& one) {
        this->readers[one.number] = {};
        this->requests[one.number] = {};
        this->changes_in_force[one.number] = this->changes.size();
    };
    out.events = [this](node& one) { return this->events_of(one); };
    out.after_step = [this](node& one) { this->read_store(one); };
    out.answer_query = [](node& one, const item_query& query) {
        return one.protocol->answer(query);
    };
    out.store_fails = [this](const node& one) {
        return this->readers[one.number].failures > 0;
    };
    return out;
}

peer_events configuration_fleet::events_of(node& entry)
{
    peer_events out;
    out.peer_load_changed = [] {};
    out.items_received = [this, &entry](const gossip::item_transfer& transfer) {
        entry.state.cluster.apply(transfer, this->fleet.time());
        reader& own = this->readers[entry.number];
        const bool listing = transfer.complete && this->plan.regions > 1;
        if (own.known_revision > 0 || listing)
            own.known_revision = std::max(own.known_revision,
                                          entry.state.cluster.store_revision());
    };
    out.listing_received = [this, &entry](std::uint64_t as_of) {
        this->readers[entry.number].known_revision =
            std::max(this->readers[entry.number].known_revision, as_of);
    };
    out.delegation_started = [this, &entry] {
        entry.state.delegating = true;
        this->served_at[entry.number] = this->fleet.time();
        this->record_role_change();
    };
    out.delegation_ended = [this, &entry](std::size_t, const limit_handover*) {
        entry.state.delegating = false;
        this->record_role_change();
    };
    out.make_report = [] { return dispatch::member_report(); };
    out.reply_received = [this, &entry](const dispatch::dispatcher_reply&) {
        this->served_at[entry.number] = this->fleet.time();
    };
    out.report_received = [this, &entry](base::slot_id member,
                                         const gossip::message& message) {
        this->requests[entry.number].on_report(member,
                                               message.incarnation,
                                               message.report,
                                               message.upstream_loads);
    };
    out.member_lost = [this, &entry](base::slot_id member) {
        this->requests[entry.number].remove_member(member);
    };
    out.members_awaiting_reply = [this, &entry] {
        return this->requests[entry.number].members_to_answer(
            this->fleet.time());
    };
    out.make_reply = [this, &entry](base::slot_id member) {
        return this->requests[entry.number].build_reply(member,
                                                        this->fleet.time());
    };
    return out;
}

void configuration_fleet::write_configuration()
{
    const auto version = static_cast<std::int64_t>(this->changes.size()) + 1;
    this->document.value = test::configuration_text(
        version, this->routes, this->plan.workspaces, this->changes.size());
    this->document.revision += 3;
    this->changes.push_back({this->fleet.time(), version});
}

void configuration_fleet::apply_due_changes()
{
    if (this->routes == this->plan.routes &&
        this->fleet.seconds() >= this->plan.routes_added_at) {
        this->routes += this->plan.routes_added;
        this->write_configuration();
    }
    if (this->next_change < this->plan.changes_at.size() &&
        this->fleet.seconds() >= this->plan.changes_at[this->next_change]) {
        this->next_change += 1;
        this->write_configuration();
    }
}

bool configuration_fleet::is_rejected(std::size_t number) const
{
    constexpr std::uint64_t parts = 10'000;
    const std::uint64_t draw = placement::mix(this->plan.seed, number) % parts;
    return this->fleet.seconds() >= this->plan.rejected_from &&
           static_cast<double>(draw) < this->plan.rejected_share * parts;
}

void configuration_fleet::read_store(node& one)
{
    reader& own = this->readers[one.number];
    const base::instant now = this->fleet.time();
    if (own.calling || now < own.next_call_at)
        return;
    if (own.known_revision > 0 && own.failures == 0 &&
        one.protocol->peer_reads_store()) {
        own.next_call_at = now + idle_check_interval;
        return;
    }
    if (own.known_revision == 0 && one.protocol->awaits_listing()) {
        own.next_call_at = now + idle_check_interval;
        return;
    }
    this->result.store_calls += 1;
    if (this->is_rejected(one.number))
        return this->on_call_failed(one);
    own.calling = true;
    this->fleet.transfers().start(
        {store_address,
         one.address,
         this->answer_bytes(own),
         store_reader::call_limits,
         [this, number = one.number, as_of = this->document.revision](
             bool whole) {
             this->readers[number].calling = false;
             if (!whole)
                 this->on_call_failed(*this->fleet.at(number));
             else if (this->is_listing(this->readers[number]))
                 this->on_page(number);
             else
                 this->on_store_answer(number, as_of);
         },
         now},
        now);
}

bool configuration_fleet::is_listing(const reader& own) const
{
    return own.known_revision == 0 &&
           own.pages_read + 1 < this->plan.listing_pages;
}

double configuration_fleet::answer_bytes(const reader& own) const
{
    const bool listing =
        own.known_revision == 0 && this->plan.listing_pages > 0;
    const bool document = listing
                              ? own.pages_read == 0
                              : own.known_revision < this->document.revision;
    return (listing ? this->plan.page_bytes : bytes_of_other_changes) +
           (document ? static_cast<double>(this->document.value.size()) *
                           base64_expansion
                     : 0);
}

// The configuration is on the first page and in force before the others are
// read.
void configuration_fleet::on_page(std::size_t number)
{
    reader& own = this->readers[number];
    if (own.known_revision > 0)
        return;
    own.failures = 0;
    own.pages_read += 1;
    if (own.pages_read == 1)
        this->fleet.at(number)->state.cluster.apply(
            {this->document}, 0, false, this->fleet.time());
}

void configuration_fleet::on_call_failed(node& one)
{
    reader& own = this->readers[one.number];
    const base::instant now = this->fleet.time();
    one.state.cluster.on_store_failed(now);
    own.failures = std::min(own.failures + 1, max_backoff_steps);
    if (this->plan.regions == 1)
        own.pages_read = 0;
    own.next_call_at =
        now + (own.known_revision > 0 && one.protocol->peer_reads_store()
                   ? idle_backoff
                   : backoff_step * own.failures);
}

void configuration_fleet::on_store_answer(std::size_t number,
                                          std::uint64_t as_of)
{
    node& one = *this->fleet.at(number);
    reader& own = this->readers[number];
    const base::instant now = this->fleet.time();
    own.failures = 0;
    own.next_call_at =
        now + store_reader::poll_interval_for(
                  virtual_fleet::entry_bounds().shortest_update_delay());
    one.state.cluster.on_store_answered(now);
    one.protocol->record_store_answer();
    // A version written while the answer was on its way comes with the next.
    routing::store_item_list items;
    if (as_of == this->document.revision)
        items.push_back(this->document);
    const bool complete = own.known_revision == 0 && !items.empty();
    if (!items.empty())
        own.known_revision = std::max(own.known_revision, as_of);
    one.state.cluster.apply(items, own.known_revision, complete, now);
}

void configuration_fleet::record_delays()
{
    const base::instant now = this->fleet.time();
    for (std::size_t number = 0; number < this->fleet.size(); ++number) {
        node* one = this->fleet.at(number);
        if (one == nullptr)
            continue;
        std::size_t& in_force = this->changes_in_force[number];
        const std::int64_t version = one->state.cluster.configuration_version();
        while (in_force < this->changes.size()) {
            const change& next = this->changes[in_force];
            const base::duration delay = now - next.written_at;
            const bool over =
                std::chrono::duration<double>(delay).count() > this->plan.bound;
            if (version < next.version && !over)
                break;
            this->result.slowest =
                std::max(this->result.slowest,
                         std::chrono::duration<double>(delay).count());
            if (version < next.version)
                this->result.late += 1;
            in_force += 1;
        }
    }
}

void configuration_fleet::record_role_change()
{
    if (this->fleet.seconds() >= this->plan.strong_entries.from)
        this->result.role_changes += 1;
    if (this->fleet.seconds() >= this->plan.strong_entries.from + settling_time)
        this->result.late_role_changes += 1;
}

void configuration_fleet::record_pauses()
{
    const strong_entry_faults& faults = this->fleet.faults_of_strong();
    const base::instant now = this->fleet.time();
    if (this->fleet.seconds() < this->plan.strong_entries.from)
        return;
    this->result.dispatchers = 0;
    this->result.strong_dispatchers = 0;
    for (std::size_t number = 0; number < this->fleet.size(); ++number) {
        const node* one = this->fleet.at(number);
        if (one == nullptr)
            continue;
        if (!one->state.delegating) {
            this->served_at[number] = now;
            this->result.dispatchers += 1;
            this->result.strong_dispatchers += faults.is_strong(number) ? 1 : 0;
        }
        if (faults.is_strong(number))
            continue;
        const base::duration pause = now - this->served_at[number];
        this->result.longest_pause =
            std::max(this->result.longest_pause,
                     std::chrono::duration<double>(pause).count());
    }
}

void configuration_fleet::record_recovery()
{
    if (this->fleet.seconds() < this->plan.all_killed_at || this->recovered)
        return;
    this->result.recovery = this->fleet.seconds() - this->plan.all_killed_at;
    for (std::size_t number = 0; number < this->fleet.size(); ++number) {
        const node* one = this->fleet.at(number);
        if (one == nullptr || one->state.cluster.routes() == nullptr)
            return;
    }
    this->recovered = true;
}

configuration_result configuration_fleet::simulate()
{
    while (this->fleet.seconds() < this->plan.seconds) {
        this->fleet.step();
        this->apply_due_changes();
        this->record_delays();
        this->record_pauses();
        this->record_recovery();
    }
    this->result.document_bytes = this->document.value.size();
    this->result.failed_transfers = this->fleet.failed_fetches();
    this->result.bytes_between_regions = this->fleet.bytes_between_regions();
    return this->result;
}

} // namespace greengagedrum::entry::fleet_test
