// A fleet of entries and upstreams in virtual time, with requests that share
// parts of their prompts. Some have a poison part, which crashes each upstream
// that begins to answer a request that has it, whatever else the request holds.
// No two requests are alike.
#pragma once

#include <greengagedrum/entry/fleet_test/upstream_crash_fleet.hpp>

#include <map>
#include <string>
#include <vector>

namespace greengagedrum::entry::fleet_test
{

enum class poison_part_kind : std::uint8_t {
    session,        // the last part of those that are shared
    first,          // the first part, with different parts of sound requests
    with_companion, // always with a part that sound requests have too
    two,            // two parts: a request has one of them or both
    sound_before,   // a session part that was sound until poison requests start
};

struct prompt_part_plan : crash_fault_plan {
    poison_part_kind kind = poison_part_kind::session;
    // The poison requests are those of the workspace with the fewest requests.
    bool rare_workspace = false;
    double poison_requests = 1.2; // a second, in total
    double requests = 2.2;        // sound ones, a second and upstream
    bool resumable = false;       // streams are resumed, in two sends at most
    // Sends of an entry count from this long after its start or its return.
    base::duration informed_after = std::chrono::seconds(3);
    // From the fifth crash on, one entry after another is killed and started,
    // and is sent poison requests from its first moment.
    bool kills_after_fifth_crash = false;
    // No poison requests go to entries behind the partition until it ends, and
    // many do from then on.
    bool poison_on_return = false;
};

// Sound requests and those of them that an upstream got at their first attempt.
struct sent_share {
    std::uint32_t arrived = 0;
    std::uint32_t sent = 0;

    double value() const
    {
        return this->arrived == 0 ? 1
                                  : static_cast<double>(this->sent) /
                                        static_cast<double>(this->arrived);
    }
};

struct prompt_part_result {
    std::uint32_t crashed = 0;    // upstreams that poison requests crashed
    std::uint32_t bystanders = 0; // streams with events that this interrupted
    // Most sends of requests with one poison part that reached an upstream late
    // after the fifth crash, from entries that can know of it.
    std::uint32_t late_sends = 0;
    // Sound requests with the same first part, the same workspace or the same
    // companion as poison requests, before these start and after the fifth
    // crash.
    sent_share first_before;
    sent_share first_after;
    sent_share workspace_before;
    sent_share workspace_after;
    sent_share companion_before;
    sent_share companion_after;
    std::uint32_t ordinary = 0;
    std::uint32_t answered = 0;               // of the ordinary requests
    std::uint32_t refused_as_quarantined = 0; // of the ordinary requests
    std::uint64_t bytes_per_second = 0;       // of the busiest entry
    std::size_t records = 0;                  // most crash records of any entry

    // The least of the shares afterwards, relative to those before. Groups of
    // very few requests are left out.
    double relative_sent_share() const;
};

class prompt_part_fleet
{
public:
    explicit prompt_part_fleet(const prompt_part_plan& plan);

    prompt_part_result simulate();

private:
    struct part_record {
        std::uint32_t crashes = 0;
        base::instant last_at; // the fifth crash, or the last if fewer
        std::uint32_t late_sends = 0;
    };

    struct poison_request {
        std::vector<std::size_t> parts; // indices of part records
    };

    struct sound_request {
        base::instant arrived;
        bool same_first = false;
        bool same_workspace = false;
        bool has_companion = false;
        bool sent = false;
    };

    // What the parts of a request are made from.
    struct origin {
        std::size_t kind = 0;
        std::size_t workspace = 0;
        std::size_t session = 0;
    };

    upstream_crash_fleet::hooks hooks();
    void start_run(upstream_crash_fleet::run& one);
    void start_poison_run(upstream_crash_fleet::run& one,
                          const poison_request& request);
    void record_crash(const upstream_crash_fleet::run& one);
    void forget_crashes_when_all_are_killed();
    origin draw_session();
    traffic::request_facts facts_of(const origin& from);
    static base::request_digest part(const std::string& name);
    void send_sound_requests();
    void send_sound_request();
    void send_poison_requests();
    void send_poison_request();
    void send_poison_request(std::size_t entry);
    void kill_entries_in_turn();
    void send_poison_to_targets();
    bool is_spared(std::size_t entry) const;
    void count_shares();

    prompt_part_plan plan;
    std::vector<part_record> parts;
    std::map<base::request_id, poison_request> poison;
    std::map<base::request_id, sound_request> sound;
    upstream_crash_fleet fleet;
    base::instant poison_from;
    base::instant next_poison;
    origin poison_origin;
    // An entry that poison requests are aimed at, until that time.
    struct target {
        std::size_t entry = 0;
        base::instant until;
    };

    std::uint64_t next_body = 0;
    bool forgot = false;
    std::vector<target> targets;
    base::instant next_kill;
    base::instant next_to_targets;
    bool returned = false;
    prompt_part_result result;
};

} // namespace greengagedrum::entry::fleet_test
