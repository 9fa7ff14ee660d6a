// Asks peers for all their records of suspects, for an entry that has started
// or was frozen and doesn't know what is quarantined.
//
// It ends as soon as one peer has answered whole. Peers that have just started
// say so; where there are no others, it ends after a short time, which lets
// peers that are far away answer. Peers of earlier builds don't answer, so it
// is bounded.
#pragma once

#include <greengagedrum/quarantine/messages.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace greengagedrum::quarantine
{

using peer_address = std::uint32_t;

enum class inquiry_result : std::uint8_t {
    answered,  // by one peer, whole
    no_source, // no peer can know more
    timed_out,
};

std::string_view to_string(inquiry_result result);

class suspect_inquiry
{
public:
    struct question {
        peer_address peer = 0;
        suspect_query query;
    };

    // Known peers: those heard from lately, and those that may be up.
    struct peers {
        std::vector<peer_address> live;
        std::vector<peer_address> silent;
    };

    void begin(base::instant now);
    bool pending() const { return this->is_pending; }
    base::duration elapsed(base::instant now) const
    {
        return now - this->began_at;
    }

    // The questions to send now. Unanswered ones are repeated.
    std::vector<question> take_due(const peers& known, base::instant now);

    // A page has arrived, and its records have been taken over. Returns the
    // question for the next ones if it is to be sent at once.
    std::optional<question>
    on_page(peer_address from, const suspect_page& page, base::instant now);

    // Ends the inquiry if it is over; returns why, once.
    std::optional<inquiry_result> take_result(const peers& known,
                                              base::instant now);

private:
    struct source {
        base::request_digest after; // all records up to this one are known
        bool uninformed = false;
        bool complete = false;
    };

    bool is_uninformed(peer_address peer) const;

    bool is_pending = false;
    base::instant began_at;
    std::optional<base::instant> asked_at;
    std::size_t rounds = 0;
    std::map<peer_address, source> sources;
};

} // namespace greengagedrum::quarantine
