#include <greengagedrum/idempotency/claim_table.hpp>

#include <algorithm>

namespace greengagedrum::idempotency
{

namespace
{
constexpr base::duration mint_mark_interval = std::chrono::seconds(1);
} // namespace

claim_table::claim_table(std::size_t claims_max, base::duration memory_span)
    : claims_max(claims_max), memory_span(memory_span)
{
}

std::uint64_t claim_table::mint(base::instant now)
{
    const bool mark_due = this->mints.empty() ||
                          now - this->mints.back().at >= mint_mark_interval;
    if (mark_due)
        this->mints.push_back({now, this->next_sequence});
    return this->next_sequence++;
}

bool claim_table::knows(const claim_subject& subject) const
{
    return this->claims.contains(subject);
}

bool claim_table::held_by_another(const claim_request& asked) const
{
    const auto found = this->claims.find(asked.subject);
    const holder asker{asked.requester, asked.requester_life, asked.attempt};
    return found != this->claims.end() && found->second.held_by != asker;
}

bool claim_table::mark_passed(const claim_subject& subject) const
{
    const auto* asked = std::get_if<ticket>(&subject);
    return asked != nullptr && (asked->sequence < this->lowest_sequence ||
                                asked->sequence >= this->next_sequence);
}

claim_table::decision claim_table::claim(const claim_request& asked,
                                         base::instant now)
{
    if (this->mark_passed(asked.subject))
        return {claim_result::refused_old, {}};
    const holder asker{asked.requester, asked.requester_life, asked.attempt};
    const auto found = this->claims.find(asked.subject);
    if (found == this->claims.end()) {
        if (!this->make_room(asked.subject))
            return {claim_result::refused_full, {}};
        this->claims.emplace(asked.subject,
                             entry{asker, asked.body_digest, now});
        if (std::holds_alternative<caller_key>(asked.subject))
            this->key_order.emplace_back(now, asked.subject);
        return {claim_result::granted, {}};
    }
    entry& known = found->second;
    if (known.body_digest != asked.body_digest)
        return {claim_result::refused_body, {}};
    if (known.held_by == asker)
        return {claim_result::granted, {}};
    return {claim_result::held, known.held_by};
}

// Forgetting a ticket raises the mark below which all are refused. A key has
// no such order: with the table full of keys, a new one is refused instead.
bool claim_table::make_room(const claim_subject& wanted)
{
    if (this->claims.size() < this->claims_max)
        return true;
    const auto first = this->claims.begin();
    const auto* oldest = first == this->claims.end()
                             ? nullptr
                             : std::get_if<ticket>(&first->first);
    if (oldest == nullptr)
        return false;
    this->raise_mark(oldest->sequence + 1);
    return !this->mark_passed(wanted);
}

// All tickets here have the own slot and life, so the map orders them by
// their sequence, before all keys.
void claim_table::raise_mark(std::uint64_t mark)
{
    this->lowest_sequence = std::max(this->lowest_sequence, mark);
    while (!this->claims.empty()) {
        const auto* item = std::get_if<ticket>(&this->claims.begin()->first);
        if (item == nullptr || item->sequence >= this->lowest_sequence)
            return;
        this->claims.erase(this->claims.begin());
    }
}

// The failure: a release, sent before the holder claimed the same subject a
// second time, arrives after that second grant; the home would grant it to a
// third while the holder runs it. A release therefore names its attempt, and
// attempts are never used twice.
void claim_table::release(const claim_release& what)
{
    const auto found = this->claims.find(what.subject);
    if (found == this->claims.end())
        return;
    const holder from{what.holder, what.holder_life, what.attempt};
    if (found->second.held_by == from)
        this->claims.erase(found);
}

void claim_table::forget_old(base::instant now)
{
    while (!this->mints.empty() &&
           now - this->mints.front().at > this->memory_span) {
        this->mints.pop_front();
        this->raise_mark(this->mints.empty() ? this->next_sequence
                                             : this->mints.front().sequence);
    }
    while (!this->key_order.empty() &&
           now - this->key_order.front().first > this->memory_span) {
        const auto& [granted, subject] = this->key_order.front();
        const auto found = this->claims.find(subject);
        // Released and granted again meanwhile: a later mark is its own.
        if (found != this->claims.end() && found->second.granted == granted)
            this->claims.erase(found);
        this->key_order.pop_front();
    }
}

} // namespace greengagedrum::idempotency
