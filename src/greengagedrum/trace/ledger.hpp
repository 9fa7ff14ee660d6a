// What became of each request in a replay, and the promises that hold in any.
//
// It counts from events and actions alone, never from the core's own memory,
// so that a core that forgets what it did is found out.
#pragma once

#include <greengagedrum/delivery/messages.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagedrum::trace
{

struct handing_over {
    base::dispatch_id dispatch;
    base::upstream_id upstream;
    base::instant at;
    std::uint32_t connection = 0; // the newest one's number
    bool refused = false;         // its connect was: nothing was written
};

struct request_record {
    base::repetition repetition = base::repetition::at_most_once;
    std::vector<handing_over> dispatches;
    std::uint32_t resumes = 0;
    std::uint32_t cancels = 0;
    std::optional<base::instant> ended;
    std::optional<base::verdict> verdict; // none when answered
    std::size_t answer_length = 0;

    std::size_t handed_over() const; // dispatches that were not refused
};

class ledger
{
public:
    void note(const delivery::event& what);

    // What promise the action breaks, if any.
    std::optional<std::string> note(const delivery::action& what,
                                    base::instant now);

    const request_record* find(base::request_id id) const;
    const std::map<base::request_id, request_record>& requests() const
    {
        return this->records;
    }

    // The request and its dispatch that bear this id.
    std::optional<base::request_id> owner(base::dispatch_id dispatch) const;

private:
    using finding = std::optional<std::string>;
    finding take(const delivery::start_dispatch& what, base::instant now);
    finding take(const delivery::start_resume& what, base::instant now);
    finding take(const delivery::stop_stream& what, base::instant now);
    finding take(const delivery::end_answered& what, base::instant now);
    finding take(const delivery::end_failed& what, base::instant now);
    static finding take(const delivery::assign_ticket& what, base::instant now);
    static finding take(const delivery::send_claim_message& what,
                        base::instant now);
    static finding take(const delivery::send_load_digest& what,
                        base::instant now);
    finding end(base::request_id request, base::instant now);

    std::map<base::request_id, request_record> records;
    std::map<base::dispatch_id, base::request_id> owners;
};

} // namespace greengagedrum::trace
