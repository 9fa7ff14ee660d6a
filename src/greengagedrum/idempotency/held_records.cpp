#include <greengagedrum/idempotency/held_records.hpp>

#include <utility>

namespace greengagedrum::idempotency
{

namespace
{
std::size_t size_of(const base::answer& whole)
{
    return sizeof(base::answer) + whole.body.size() + whole.content_type.size();
}
} // namespace

held_record* held_records::find(const claim_subject& subject)
{
    const auto found = this->records.find(subject);
    return found == this->records.end() ? nullptr : &found->second.record;
}

held_record& held_records::put(const claim_subject& subject, base::instant now)
{
    slot& item = this->records[subject];
    this->unlink(item);
    item.record = held_record{};
    item.record.changed = now;
    return item.record;
}

void held_records::unlink(slot& item)
{
    if (!is_settled(item.record.state))
        return;
    if (item.record.state == held_state::answered)
        this->drop_answer(item);
    this->settled_order.erase(item.settled);
}

void held_records::drop_answer(slot& item)
{
    this->bytes -= size_of(*item.record.whole);
    this->kept_order.erase(item.kept);
    item.record.whole.reset();
    item.record.state = held_state::dropped;
}

void held_records::drop_oldest_record()
{
    const auto found = this->records.find(this->settled_order.front());
    this->unlink(found->second);
    this->records.erase(found);
}

void held_records::settle(const claim_subject& subject,
                          held_state state,
                          base::answer_ptr whole,
                          base::instant now)
{
    const auto found = this->records.find(subject);
    if (found == this->records.end() || is_settled(found->second.record.state))
        return;
    slot& item = found->second;
    item.record.state = state;
    item.record.changed = now;
    item.settled =
        this->settled_order.insert(this->settled_order.end(), subject);
    if (state == held_state::answered) {
        item.record.whole = std::move(whole);
        item.kept = this->kept_order.insert(this->kept_order.end(), subject);
        this->bytes += size_of(*item.record.whole);
    }
    this->forget_old(now);
}

void held_records::erase(const claim_subject& subject)
{
    const auto found = this->records.find(subject);
    if (found == this->records.end())
        return;
    this->unlink(found->second);
    this->records.erase(found);
}

void held_records::forget_old(base::instant now)
{
    while (!this->kept_order.empty()) {
        slot& oldest = this->records.at(this->kept_order.front());
        const bool old = now - oldest.record.changed > this->limits.answer_age;
        if (!old && this->bytes <= this->limits.bytes)
            break;
        this->drop_answer(oldest);
    }
    while (!this->settled_order.empty()) {
        const slot& oldest = this->records.at(this->settled_order.front());
        const bool old = now - oldest.record.changed > this->limits.record_age;
        if (!old && this->records.size() <= this->limits.records)
            break;
        this->drop_oldest_record();
    }
}

} // namespace greengagedrum::idempotency
