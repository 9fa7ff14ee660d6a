// The desk as a requester whose subject is held by another entry: it asks the
// holder until the answer is there, or is known never to come.
#include <greengagedrum/idempotency/desk.hpp>

#include <memory>

namespace greengagedrum::idempotency
{

using base::reason;

void desk::ask_holder(base::request_id id)
{
    const requester_entry& item = this->requests.at(id);
    const bool gone = this->life_of(item.holder) > item.holder_life;
    const bool silent =
        this->now - item.holder_heard > this->options.holder_timeout;
    if (gone || silent)
        return this->end(id, base::may_have_run(reason::key_holder_gone));
    this->set_timer(id, this->now + this->options.answer_poll);
    this->out->push_back(
        send{item.holder,
             answer_request{.attempt = item.attempt,
                            .requester = this->options.slot,
                            .holder_life = item.holder_life,
                            .holder_attempt = item.holder_attempt,
                            .body_digest = item.body_digest,
                            .subject = item.subject}});
}

void desk::on(const answer_reply& what)
{
    const auto found = this->attempts.find(what.attempt);
    if (found == this->attempts.end())
        return;
    const base::request_id id = found->second;
    requester_entry& item = this->requests.at(id);
    if (item.stage != requester_stage::attached_there ||
        this->sender != item.holder)
        return;
    if (what.holder_life != item.holder_life)
        return this->end(id, base::may_have_run(reason::key_holder_gone));
    switch (what.state) {
    case answer_state::running:
        item.holder_heard = this->now;
        return;
    case answer_state::answered:
        this->out->push_back(
            recalled{id,
                     std::make_shared<base::answer>(
                         base::answer{.content_type = what.content_type,
                                      .body = what.body,
                                      .tokens = what.tokens,
                                      .from_model = what.of_model})});
        return this->erase(id);
    case answer_state::never_ran:
        return this->claim_later(id);
    case answer_state::may_have_run:
    case answer_state::unknown:
        return this->end(id, base::may_have_run(reason::already_claimed));
    case answer_state::dropped:
        return this->end(id, base::may_have_run(reason::answer_dropped));
    }
}

} // namespace greengagedrum::idempotency
