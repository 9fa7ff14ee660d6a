// Entries that exchange the versions of streams, in virtual time, over a
// network that delays and loses datagrams. Entries are killed, restarted and
// cut off; each learns of upstreams and of other entries with a delay of its
// own.
#pragma once

#include <greengagedrum/entry/stream_versions.hpp>

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

struct stream_fleet_plan {
    std::size_t entries = 12;
    std::size_t data_centres = 3;
    double lost_share = 0; // of all datagrams
    std::uint64_t seed = 1;
};

class stream_version_fleet
{
public:
    explicit stream_version_fleet(const stream_fleet_plan& plan);

    void run_for(base::duration time);

    void kill(std::size_t number);
    void restart(std::size_t number);
    // From the store and all other entries.
    void cut_off(std::size_t number);
    void cut_off_from_store(std::size_t number);
    void cut_off_from_entries(std::size_t number);
    // Ends all cuts of the entry, which then reads what it has missed.
    void reconnect(std::size_t number);
    bool is_up(std::size_t number) const
    {
        return this->nodes[number] != nullptr;
    }
    std::size_t size() const { return this->nodes.size(); }

    // Every entry learns of the change within half a second.
    void publish(const std::string& upstream, const std::string& version);
    void withdraw(const std::string& upstream);

    // The versions that the entry knows of.
    std::vector<base::version_id> versions_at(std::size_t number) const;

    // The entry passes on the first event of a stream.
    void begin_stream(std::size_t number,
                      const std::string& attempt,
                      base::version_id version);

    // Runs until the entry has the result. It has none if it was killed.
    std::optional<versions::finding> resume(std::size_t number,
                                            const std::string& begun_by);
    // The three entries that hold the record of a stream begun at `number`.
    std::vector<std::size_t> holders_of(std::size_t number,
                                        const std::string& attempt) const;

private:
    struct node {
        explicit node(base::instant now);

        shared_state state;
        std::unique_ptr<stream_versions> versions;
        std::uint64_t incarnation = 0;
        bool hears_store = true;
        bool hears_entries = true;
        base::instant cut_off_at;

        // Directly or by others.
        bool is_up_to_date() const
        {
            return this->hears_store || this->hears_entries;
        }
    };

    struct event {
        base::instant at;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::pair(this->at, this->sequence) >
                   std::pair(other.at, other.sequence);
        }
    };

    void schedule(base::duration after, std::function<void()> run);
    // Does nothing if the process has ended by then.
    void schedule_at(std::size_t number,
                     base::duration after,
                     std::function<void(node&)> run);
    void start(std::size_t number);
    void tick(std::size_t number);
    void run_next();
    void send(std::size_t from,
              const versions::message& sent,
              versions::entry_address to);
    std::vector<versions::known_entry> known_to(std::size_t number) const;
    bool are_apart(std::size_t from, std::size_t to) const;
    void apply(const routing::store_item& item);
    void read_all_items(node& one);
    void read_store(std::size_t number,
                    const std::function<void(bool)>& on_end);
    base::duration random_time(base::duration from, base::duration to);
    static versions::entry_address address_of(std::size_t number);
    base::data_centre_id data_centre_of(std::size_t number) const;

    stream_fleet_plan plan;
    std::mt19937_64 random_engine;
    base::instant now;
    std::vector<std::unique_ptr<node>> nodes; // null: down
    std::vector<base::instant> changed_at;    // the last kill or start
    std::priority_queue<event> events;
    std::uint64_t next_sequence = 0;
    std::map<std::string, routing::store_item> items; // of the store
    std::uint64_t store_revision = 1;
};

} // namespace greengagedrum::entry::fleet_test
