// The versions that began streams: spreads this entry's records to others,
// holds theirs, and looks up the version of a stream that a caller takes up.
//
// Records are hints sent by datagram. A lookup that finds neither a record nor
// a history of a single version ends as unknown. A history counts only together
// with what the store holds after the stream was taken up: the entries that
// were asked may all have been out of step with it.
#pragma once

#include <greengagedrum/entry/request_handler.hpp>
#include <greengagedrum/memory/reservation.hpp>
#include <greengagedrum/versions/lookup.hpp>
#include <greengagedrum/versions/record_table.hpp>
#include <greengagedrum/versions/version_history.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagedrum::entry
{

struct stream_version_events {
    std::function<void(const versions::message&, versions::entry_address to)>
        send;
    // The other entries that may hold records.
    std::function<std::vector<versions::known_entry>()> known_entries;
    // Calls stream_versions::on_timer after `after`; replaces an earlier timer.
    std::function<void(base::duration after)> start_timer;
    // Reads from the store what has changed, by a call that begins after this
    // one. Calls `on_end` with whether all of it is known now.
    std::function<void(std::function<void(bool complete)> on_end)> read_store;
};

class stream_versions
{
public:
    stream_versions(shared_state& state,
                    base::data_centre_id data_centre,
                    stream_version_events events);

    // The first event of the stream that the attempt began was passed on.
    void record(std::string_view attempt, base::version_id version);

    // A stream that a caller takes up.
    struct resumed_stream {
        std::string attempt; // the caller's id of the present try
        // Of the try that brought the first event. A caller that doesn't name
        // it is known by its present try, of which no entry has a record.
        std::string begun_by;
        base::upstream_class_id service;
    };
    using lookup_handler = std::function<void(const versions::finding&)>;

    // Calls `on_end` once, at once if this entry has the record.
    void look_up(resumed_stream sought, lookup_handler on_end);

    void on_message(const versions::message& received,
                    versions::entry_address from);
    void on_timer();

    // `store_confirmed_at`: when the store last answered this entry or a peer
    // that told it so.
    void tick(base::instant store_confirmed_at);

    // The upstreams have changed.
    void on_upstreams_changed(const cluster_changes& changes);
    // Changes may have been missed.
    void begin_history_anew() { this->history.begin_anew(); }

    std::size_t record_count() const { return this->records.size(); }

private:
    struct pending_lookup {
        resumed_stream sought;
        versions::lookup progress;
        lookup_handler on_end;
    };

    void receive(const versions::record_list& received,
                 versions::entry_address from);
    void receive(const versions::question& received,
                 versions::entry_address from);
    void receive(const versions::answer& received,
                 versions::entry_address from);
    void store(const versions::stream_record& added);
    void spread(const versions::stream_record& added);
    void send_records();
    void update_history();
    versions::finding seen_lately(base::upstream_class_id service) const;
    // Ends a lookup that histories have decided, once the store was read.
    void verify(const pending_lookup& decided,
                const versions::lookup::result& result);
    void end(const pending_lookup& decided,
             const versions::lookup::result& result);
    void log_result(const resumed_stream& sought,
                    const versions::lookup::result& result);
    void set_timer();

    shared_state& state;
    base::data_centre_id data_centre;
    stream_version_events events;
    versions::record_table records;
    versions::version_history history;
    memory::reservation room;
    std::map<versions::entry_address, versions::record_list> unsent;
    std::optional<base::instant> unsent_due_at;
    std::map<std::uint64_t, pending_lookup> lookups;
    // Begins with the time, so that a late answer to an earlier process of this
    // address fits no lookup.
    std::uint64_t next_lookup;
    std::optional<base::instant> timer_due_at;
    base::instant history_updated_at;
    base::instant ticked_at;
};

} // namespace greengagedrum::entry
