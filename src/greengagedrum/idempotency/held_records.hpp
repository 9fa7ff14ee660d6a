// The holder's memory: one record for each ticket or key that this process was
// granted, with the answers kept for repeats.
//
// Bounded twice: answers by bytes and age (the oldest go first, and leave a
// record that says so), settled records by number and age. A record that is
// gone can only ever lead to `may_have_run`.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/idempotency/held_record.hpp>
#include <greengagedrum/idempotency/messages.hpp>

#include <cstddef>
#include <list>
#include <map>

namespace greengagedrum::idempotency
{

class held_records
{
public:
    struct bounds {
        std::size_t records = 0;
        std::size_t bytes = 0;
        base::duration answer_age{0};
        base::duration record_age{0};
    };

    explicit held_records(const bounds& limits) : limits(limits) {}

    // Null when nothing is remembered.
    held_record* find(const claim_subject& subject);

    // A fresh record in the place of any earlier one.
    held_record& put(const claim_subject& subject, base::instant now);

    // Ends a record; the answer is kept only with `answered`.
    void settle(const claim_subject& subject,
                held_state state,
                base::answer_ptr whole,
                base::instant now);

    // Given up before any dispatch: as if it had never been.
    void erase(const claim_subject& subject);

    void forget_old(base::instant now);

    std::size_t size() const { return this->records.size(); }
    std::size_t kept_bytes() const { return this->bytes; }

private:
    struct slot {
        held_record record;
        std::list<claim_subject>::iterator kept;    // when answered
        std::list<claim_subject>::iterator settled; // when settled
    };

    void unlink(slot& item);
    void drop_answer(slot& item);
    void drop_oldest_record();

    bounds limits;
    std::map<claim_subject, slot> records;
    std::list<claim_subject> kept_order;    // answers, the oldest first
    std::list<claim_subject> settled_order; // settled, the oldest first
    std::size_t bytes = 0;
};

} // namespace greengagedrum::idempotency
