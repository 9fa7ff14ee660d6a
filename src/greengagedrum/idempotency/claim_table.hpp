// What this process granted as the home of tickets and keys.
//
// It remembers who holds each subject and grants it once. It judges neither
// the lease nor the age of keys (home_lease and desk do, for keys only).
//
// A ticket's grant rests on this memory alone. A ticket whose memory was given
// up for space or age lies below a mark and is refused for good.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/idempotency/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace greengagedrum::idempotency
{

class claim_table
{
public:
    claim_table(std::size_t claims_max, base::duration memory_span);

    struct holder {
        base::slot_id slot;
        base::incarnation life;
        std::uint64_t attempt = 0;
        auto operator<=>(const holder&) const = default;
    };

    struct decision {
        claim_result result = claim_result::refused_old;
        holder held_by; // with `held`
    };

    // The next unused sequence number of a ticket.
    std::uint64_t mint(base::instant now);

    // Grants, or names the holder. The same attempt asked again gets the same
    // grant again.
    decision claim(const claim_request& asked, base::instant now);

    // True when the subject has been granted to somebody.
    bool knows(const claim_subject& subject) const;

    // True when a claim would be answered without a grant.
    bool held_by_another(const claim_request& asked) const;

    // Frees the claim if it is still that attempt's.
    void release(const claim_release& what);

    // Drops what no honest repeat can still ask for.
    void forget_old(base::instant now);

    std::size_t size() const { return this->claims.size(); }

private:
    struct entry {
        holder held_by;
        std::uint64_t body_digest = 0;
        base::instant granted;
    };

    bool mark_passed(const claim_subject& subject) const;
    bool make_room(const claim_subject& wanted);
    void raise_mark(std::uint64_t mark);

    std::size_t claims_max;
    base::duration memory_span;
    std::map<claim_subject, entry> claims;
    std::uint64_t next_sequence = 1;
    std::uint64_t lowest_sequence = 1; // tickets below are refused
    struct minted {
        base::instant at;
        std::uint64_t sequence;
    };
    std::deque<minted> mints; // about one a second
    std::deque<std::pair<base::instant, claim_subject>> key_order;
};

} // namespace greengagedrum::idempotency
