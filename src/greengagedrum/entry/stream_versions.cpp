#include <greengagedrum/entry/stream_versions.hpp>
#include <greengagedrum/entry/to_milliseconds.hpp>
#include <greengagedrum/gossip/stream_version_codec.hpp>
#include <greengagedrum/versions/entry_choice.hpp>

#include <algorithm>
#include <utility>

namespace greengagedrum::entry
{

namespace
{

// Records for the same entry that come within this time share a datagram.
constexpr base::duration batch_delay = std::chrono::milliseconds(2);

// The history is brought up to date at each change; this covers a listing that
// becomes complete without one.
constexpr base::duration history_interval = std::chrono::seconds(1);

// An entry that has had no news of the store for so long may have missed
// upstreams of another version.
constexpr base::duration store_max_age = std::chrono::seconds(5);

// A tick that is later than this follows a pause of the process.
constexpr base::duration tick_max_age = std::chrono::milliseconds(400);

std::string name_of(versions::entry_address address)
{
    return address == 0 ? std::string()
                        : relay::asio::ip::address_v4(address).to_string();
}

// The log line and the counter of a lookup's result.
struct result_names {
    std::string_view event;
    telemetry::counter counter;
};

result_names names_of(const versions::known_version& /* found */)
{
    return {"stream_version_known", telemetry::counter::stream_versions_known};
}

result_names names_of(const versions::single_version& /* found */)
{
    return {"stream_version_single",
            telemetry::counter::stream_versions_single};
}

template <class Undecided>
result_names names_of(const Undecided& /* found */)
{
    return {"stream_version_unknown",
            telemetry::counter::stream_versions_unknown};
}

} // namespace

stream_versions::stream_versions(shared_state& state,
                                 base::data_centre_id data_centre,
                                 stream_version_events events)
    : state(state), data_centre(data_centre), events(std::move(events)),
      room(state.memory, memory::kind::gossip),
      next_lookup(
          static_cast<std::uint64_t>(state.clock().time_since_epoch().count())),
      ticked_at(state.clock())
{
}

void stream_versions::store(const versions::stream_record& added)
{
    this->records.store(added, this->state.clock());
    this->room.resize(this->records.bytes());
}

void stream_versions::record(std::string_view attempt, base::version_id version)
{
    if (version.empty())
        return;
    const versions::stream_record added{versions::stream_id(attempt), version};
    this->store(added);
    this->spread(added);
}

void stream_versions::spread(const versions::stream_record& added)
{
    const auto known = this->events.known_entries();
    for (const versions::entry_address to :
         versions::choose_holders(added.stream, this->data_centre, known)) {
        versions::record_list& list = this->unsent[to];
        list.push_back(added);
        if (list.size() < gossip::max_stream_records)
            continue;
        this->events.send(list, to);
        this->unsent.erase(to);
    }
    if (!this->unsent.empty() && !this->unsent_due_at)
        this->unsent_due_at = this->state.clock() + batch_delay;
    this->set_timer();
}

void stream_versions::send_records()
{
    for (auto& [to, list] : std::exchange(this->unsent, {}))
        this->events.send(std::move(list), to);
    this->unsent_due_at.reset();
}

void stream_versions::look_up(resumed_stream sought, lookup_handler on_end)
{
    const base::instant now = this->state.clock();
    const versions::stream_id stream(sought.begun_by);
    if (const auto own = this->records.find(stream, now)) {
        const versions::known_version found{*own};
        this->log_result(sought, {found, 0, 0, 0, base::duration(0)});
        this->record(sought.begun_by, *own);
        return on_end(found);
    }
    const auto known = this->events.known_entries();
    versions::lookup progress(stream,
                              versions::choose_entries_to_ask(stream, known),
                              this->seen_lately(sought.service),
                              now);
    const std::uint64_t number = this->next_lookup++;
    const versions::question asked{number, stream, sought.service};
    for (const versions::entry_address to : progress.asked())
        this->events.send(asked, to);
    this->lookups.emplace(number,
                          pending_lookup{std::move(sought),
                                         std::move(progress),
                                         std::move(on_end)});
    this->set_timer();
}

void stream_versions::on_message(const versions::message& received,
                                 versions::entry_address from)
{
    std::visit([&](const auto& one) { this->receive(one, from); }, received);
}

void stream_versions::receive(const versions::record_list& received,
                              versions::entry_address /* from */)
{
    for (const versions::stream_record& one : received)
        this->store(one);
}

void stream_versions::receive(const versions::question& received,
                              versions::entry_address from)
{
    const base::instant now = this->state.clock();
    versions::answer out{received.lookup, versions::unknown_version{}};
    if (const auto known = this->records.find(received.stream, now))
        out.found = versions::known_version{*known};
    else
        out.found = this->seen_lately(received.service);
    this->events.send(out, from);
}

void stream_versions::receive(const versions::answer& received,
                              versions::entry_address from)
{
    const auto found = this->lookups.find(received.lookup);
    if (found == this->lookups.end())
        return;
    found->second.progress.on_answer(from, received.found, this->state.clock());
    if (found->second.progress.result_at(this->state.clock()))
        this->on_timer();
}

void stream_versions::on_timer()
{
    const base::instant now = this->state.clock();
    this->timer_due_at.reset();
    if (this->unsent_due_at && now >= *this->unsent_due_at)
        this->send_records();
    std::vector<pending_lookup> ended;
    for (auto at = this->lookups.begin(); at != this->lookups.end();) {
        pending_lookup& one = at->second;
        const versions::question asked{
            at->first, one.progress.stream(), one.sought.service};
        for (const versions::entry_address to : one.progress.take_repeats(now))
            this->events.send(asked, to);
        if (!one.progress.result_at(now)) {
            ++at;
            continue;
        }
        ended.push_back(std::move(one));
        at = this->lookups.erase(at);
    }
    for (const pending_lookup& one : ended) {
        const versions::lookup::result result = *one.progress.result_at(now);
        if (std::holds_alternative<versions::single_version>(result.found))
            this->verify(one, result);
        else
            this->end(one, result);
    }
    this->set_timer();
}

void stream_versions::verify(const pending_lookup& decided,
                             const versions::lookup::result& result)
{
    this->events.read_store([this, decided, result](bool complete) {
        const base::instant now = this->state.clock();
        versions::lookup::result verified = result;
        this->update_history();
        if (!complete || this->history.seen_so_far(decided.sought.service,
                                                   now) != result.found)
            verified.found = versions::unknown_version{};
        // A record may have come meanwhile.
        if (const auto known =
                this->records.find(decided.progress.stream(), now))
            verified.found = versions::known_version{*known};
        this->end(decided, verified);
    });
}

void stream_versions::end(const pending_lookup& decided,
                          const versions::lookup::result& result)
{
    this->record(decided.sought.begun_by, versions::version_of(result.found));
    this->log_result(decided.sought, result);
    decided.on_end(result.found);
}

void stream_versions::log_result(const resumed_stream& sought,
                                 const versions::lookup::result& result)
{
    const result_names names = std::visit(
        [](const auto& found) { return names_of(found); }, result.found);
    this->state.metrics.add(telemetry::process_count{names.counter});
    this->state.log.write(this->state.clock(),
                          "versions",
                          names.event,
                          {{"request", sought.attempt},
                           {"begun_by", sought.begun_by},
                           {"by", name_of(result.by)},
                           {"answers", result.answers},
                           {"asked", result.asked},
                           {"after_ms", to_milliseconds(result.took)}});
}

void stream_versions::set_timer()
{
    std::optional<base::instant> next = this->unsent_due_at;
    for (const auto& [number, one] : this->lookups) {
        const base::instant due = one.progress.next_due();
        next = next ? std::min(*next, due) : due;
    }
    if (!next || (this->timer_due_at && *this->timer_due_at <= *next))
        return;
    this->timer_due_at = next;
    this->events.start_timer(
        std::max(*next - this->state.clock(), base::duration(0)));
}

void stream_versions::tick(base::instant store_confirmed_at)
{
    const base::instant now = this->state.clock();
    this->ticked_at = now;
    if (now - store_confirmed_at > store_max_age)
        this->history.begin_anew();
    else if (now - this->history_updated_at >= history_interval)
        this->update_history();
    this->records.remove_expired(now);
    this->room.resize(this->records.bytes());
}

// After a pause, messages may be handled before the pause is noticed.
versions::finding
stream_versions::seen_lately(base::upstream_class_id service) const
{
    const base::instant now = this->state.clock();
    if (now - this->ticked_at > tick_max_age)
        return versions::unknown_version{};
    return this->history.seen(service, now);
}

void stream_versions::on_upstreams_changed(const cluster_changes& changes)
{
    const base::instant now = this->state.clock();
    for (const routing::published_upstream& one : changes.added)
        this->history.add_seen({one.service, one.version}, now);
    if (!changes.added.empty() || !changes.removed.empty())
        this->update_history();
}

void stream_versions::update_history()
{
    this->history_updated_at = this->state.clock();
    std::vector<versions::service_version> present;
    this->state.cluster.upstreams().for_each_usable(
        [&present](const routing::published_upstream& one) {
            present.emplace_back(one.service, one.version);
        });
    this->history.set_present(
        present, this->state.cluster.has_listing(), this->history_updated_at);
}

} // namespace greengagedrum::entry
