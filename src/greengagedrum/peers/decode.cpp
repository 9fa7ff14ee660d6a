#include <greengagedrum/base/tier.hpp>
#include <greengagedrum/peers/codec.hpp>
#include <greengagedrum/peers/peers_generated.h>

#include <algorithm>
#include <optional>

namespace greengagedrum::peers
{

namespace
{

// Raised by a reader; turned into a `decode_fault` at the one door below.
struct unreadable {
    decode_fault why;
};

// Guards against a small buffer that unfolds to a huge value: offsets of a
// vector may all point to one string, which the verifier accepts. Each item
// and each text is charged against the size of the buffer; an honest buffer
// holds every one of them separately, so it never runs out.
class unfold_budget
{
public:
    explicit unfold_budget(std::size_t bytes) : left(bytes) {}

    void charge(std::size_t bytes)
    {
        if (bytes > this->left)
            throw unreadable{decode_fault::malformed};
        this->left -= bytes;
    }

    std::string text(const flatbuffers::String* from)
    {
        if (from == nullptr)
            return {};
        this->charge(from->size());
        return from->str();
    }

private:
    std::size_t left;
};

// Least bytes of one table in a vector: its offset and its own header.
constexpr std::size_t table_bytes_min = 8;

template <class Enum>
Enum enumerator(std::uint8_t value, Enum last)
{
    if (value > static_cast<std::uint8_t>(last))
        throw unreadable{decode_fault::unknown};
    return static_cast<Enum>(value);
}

template <class Table>
const Table& present(const Table* table)
{
    if (table == nullptr)
        throw unreadable{decode_fault::malformed};
    return *table;
}

template <class Source>
idempotency::claim_subject subject_of(const Source& from, unfold_budget& budget)
{
    if (const wire::ticket* ticket = from.subject_as_ticket())
        return idempotency::ticket{base::data_centre_id(ticket->data_centre()),
                                   base::slot_id(ticket->slot()),
                                   base::incarnation{ticket->life()},
                                   ticket->sequence()};
    if (const wire::caller_key* key = from.subject_as_caller_key())
        return idempotency::caller_key{base::workspace_id(key->workspace()),
                                       budget.text(key->key())};
    const bool absent = from.subject_type() == wire::claim_subject::NONE;
    throw unreadable{absent ? decode_fault::malformed : decode_fault::unknown};
}

membership::heartbeat read(const wire::heartbeat& from,
                           const sender_identity& sender)
{
    membership::heartbeat out;
    out.slot = from.slot() == 0 ? sender.slot : base::slot_id(from.slot());
    out.incarnation =
        from.life() == 0 ? sender.life : base::incarnation{from.life()};
    out.sequence = from.sequence();
    out.leaving = from.leaving();
    out.config_revision = from.config_revision();
    out.list_revision = from.list_revision();
    out.platform =
        enumerator(from.contact(), base::platform_reachability::unreachable);
    if (from.lives() == nullptr)
        return out;
    for (const wire::known_life* known : *from.lives())
        out.known_incarnations.push_back(
            {base::slot_id(known->slot()), base::incarnation{known->life()}});
    return out;
}

membership::instance_list read(const wire::instance_list& from,
                               unfold_budget& budget)
{
    membership::instance_list out;
    out.revision = from.revision();
    if (from.instances() == nullptr)
        return out;
    for (const wire::listed_instance* line : *from.instances()) {
        budget.charge(table_bytes_min);
        out.instances.push_back(
            {budget.text(line->name()),
             enumerator(line->type(), membership::instance_type::upstream),
             budget.text(line->data_centre()),
             budget.text(line->address()),
             enumerator(line->state(), membership::listed_state::leaving)});
    }
    return out;
}

capacity::class_demand read(const wire::class_demand& from)
{
    capacity::class_demand out;
    out.upstream_class = base::upstream_class_id(from.upstream_class());
    for (std::uint16_t tier = 0; tier < base::tier_count; ++tier) {
        out.waiting[tier] = from.waiting()->Get(tier);
        out.running[tier] = from.running()->Get(tier);
    }
    return out;
}

capacity::load_digest read(const wire::load_digest& from)
{
    capacity::load_digest out;
    out.sequence = from.sequence();
    out.complete = from.complete();
    if (from.uses() != nullptr)
        for (const wire::upstream_use* use : *from.uses())
            out.uses.push_back({base::upstream_id(use->upstream()),
                                use->in_flight(),
                                use->tokens_in_flight(),
                                use->overdraft()});
    if (from.demands() != nullptr)
        for (const wire::class_demand* demand : *from.demands())
            out.demands.push_back(read(*demand));
    if (from.limits() != nullptr)
        for (const wire::limit_use* limit : *from.limits())
            out.limits.push_back({base::workspace_id(limit->workspace()),
                                  base::kind_id(limit->kind()),
                                  limit->in_flight(),
                                  limit->tokens_per_second()});
    return out;
}

config::document_set read(const wire::document_set& from, unfold_budget& budget)
{
    config::document_set out;
    out.revision = from.revision();
    out.complete = from.complete();
    if (from.documents() == nullptr)
        return out;
    for (const wire::document* document : *from.documents()) {
        budget.charge(table_bytes_min);
        out.documents.push_back({budget.text(document->name()),
                                 document->revision(),
                                 document->deleted(),
                                 budget.text(document->body())});
    }
    return out;
}

idempotency::claim_request read(const wire::claim_request& from,
                                unfold_budget& budget)
{
    return {from.attempt(),
            base::slot_id(from.requester()),
            base::incarnation{from.requester_life()},
            base::slot_id(from.home()),
            base::incarnation{from.home_life()},
            from.body_digest(),
            subject_of(from, budget)};
}

idempotency::claim_reply read(const wire::claim_reply& from)
{
    return {from.attempt(),
            base::slot_id(from.home()),
            base::incarnation{from.home_life()},
            enumerator(from.result(), idempotency::claim_result::refused_full),
            base::slot_id(from.holder()),
            base::incarnation{from.holder_life()},
            from.holder_attempt()};
}

idempotency::answer_request read(const wire::answer_request& from,
                                 unfold_budget& budget)
{
    return {from.attempt(),
            base::slot_id(from.requester()),
            base::incarnation{from.holder_life()},
            from.holder_attempt(),
            from.body_digest(),
            subject_of(from, budget)};
}

idempotency::answer_reply read(const wire::answer_reply& from,
                               unfold_budget& budget)
{
    return {from.attempt(),
            base::incarnation{from.holder_life()},
            enumerator(from.state(), idempotency::answer_state::unknown),
            budget.text(from.content_type()),
            budget.text(from.body()),
            from.tokens(),
            from.of_model()};
}

idempotency::claim_release read(const wire::claim_release& from,
                                unfold_budget& budget)
{
    return {from.attempt(),
            base::slot_id(from.holder()),
            base::incarnation{from.holder_life()},
            base::incarnation{from.home_life()},
            subject_of(from, budget)};
}

payload read_body(const wire::frame& from,
                  unfold_budget& budget,
                  const sender_identity& sender)
{
    switch (from.body_type()) {
    case wire::payload::heartbeat:
        return read(present(from.body_as_heartbeat()), sender);
    case wire::payload::instance_list:
        return read(present(from.body_as_instance_list()), budget);
    case wire::payload::load_digest:
        return read(present(from.body_as_load_digest()));
    case wire::payload::document_request:
        return config::document_request{
            present(from.body_as_document_request()).since()};
    case wire::payload::document_set:
        return read(present(from.body_as_document_set()), budget);
    case wire::payload::claim_request:
        return read(present(from.body_as_claim_request()), budget);
    case wire::payload::claim_reply:
        return read(present(from.body_as_claim_reply()));
    case wire::payload::answer_request:
        return read(present(from.body_as_answer_request()), budget);
    case wire::payload::answer_reply:
        return read(present(from.body_as_answer_reply()), budget);
    case wire::payload::claim_release:
        return read(present(from.body_as_claim_release()), budget);
    case wire::payload::NONE:
        throw unreadable{decode_fault::malformed};
    }
    throw unreadable{decode_fault::unknown};
}

} // namespace

tl::expected<payload, decode_fault> decode(std::string_view bytes,
                                           const sender_identity& sender)
{
    if (bytes.size() > payload_bytes_max)
        return tl::unexpected(decode_fault::malformed);
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    constexpr flatbuffers::uoffset_t depth_max = 8;
    // Each table costs at least its own bytes, shared ones as well.
    const auto tables_max =
        static_cast<flatbuffers::uoffset_t>(bytes.size() / table_bytes_min + 1);
    flatbuffers::Verifier verifier(data, bytes.size(), depth_max, tables_max);
    if (!wire::VerifyframeBuffer(verifier))
        return tl::unexpected(decode_fault::malformed);
    unfold_budget budget(bytes.size());
    try {
        return read_body(*wire::Getframe(data), budget, sender);
    } catch (const unreadable& fault) {
        return tl::unexpected(fault.why);
    }
}

} // namespace greengagedrum::peers
