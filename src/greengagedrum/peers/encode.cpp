#include <greengagedrum/peers/codec.hpp>
#include <greengagedrum/peers/peers_generated.h>

#include <span>
#include <utility>

namespace greengagedrum::peers
{

namespace
{

using builder = flatbuffers::FlatBufferBuilder;
using any_offset = flatbuffers::Offset<void>;

constexpr std::size_t first_allocation = 256;

struct encoded_subject {
    wire::claim_subject type = wire::claim_subject::NONE;
    any_offset offset;
};

encoded_subject write_subject(builder& out, const idempotency::ticket& subject)
{
    const auto offset = wire::Createticket(out,
                                           subject.data_centre.value,
                                           subject.slot.value,
                                           subject.life.value,
                                           subject.sequence);
    return {wire::claim_subject::ticket, offset.Union()};
}

encoded_subject write_subject(builder& out,
                              const idempotency::caller_key& subject)
{
    const auto key = out.CreateString(subject.key);
    const auto offset =
        wire::Createcaller_key(out, subject.workspace.value, key);
    return {wire::claim_subject::caller_key, offset.Union()};
}

encoded_subject write_subject(builder& out,
                              const idempotency::claim_subject& subject)
{
    return std::visit(
        [&out](const auto& which) { return write_subject(out, which); },
        subject);
}

// One overload for each alternative of `payload`.
class body_writer
{
public:
    body_writer(builder& target, const sender_identity& from)
        : out(target), sender(from)
    {
    }

    auto operator()(const membership::heartbeat& beat) const
    {
        std::vector<wire::known_life> lives;
        lives.reserve(beat.known_incarnations.size());
        for (const auto& known : beat.known_incarnations)
            lives.emplace_back(known.slot.value, known.incarnation.value);
        const bool own_slot = beat.slot == this->sender.slot;
        const bool own_life = beat.incarnation == this->sender.life;
        flatbuffers::Offset<flatbuffers::Vector<const wire::known_life*>> list;
        if (!lives.empty())
            list = this->out.CreateVectorOfStructs(lives);
        return std::pair(
            wire::payload::heartbeat,
            wire::Createheartbeat(this->out,
                                  own_slot ? 0 : beat.slot.value,
                                  own_life ? 0 : beat.incarnation.value,
                                  beat.sequence,
                                  beat.leaving,
                                  beat.config_revision,
                                  beat.list_revision,
                                  list,
                                  static_cast<std::uint8_t>(beat.platform))
                .Union());
    }

    auto operator()(const membership::instance_list& list) const
    {
        std::vector<flatbuffers::Offset<wire::listed_instance>> lines;
        lines.reserve(list.instances.size());
        for (const membership::listed_instance& line : list.instances)
            lines.push_back(wire::Createlisted_instanceDirect(
                this->out,
                line.name.c_str(),
                static_cast<std::uint8_t>(line.type),
                line.data_centre.c_str(),
                line.address.c_str(),
                static_cast<std::uint8_t>(line.state)));
        return std::pair(
            wire::payload::instance_list,
            wire::Createinstance_listDirect(this->out, list.revision, &lines)
                .Union());
    }

    auto operator()(const capacity::load_digest& digest) const
    {
        std::vector<wire::upstream_use> uses;
        for (const capacity::upstream_usage& use : digest.uses)
            uses.emplace_back(use.upstream.value,
                              use.in_flight,
                              use.tokens_in_flight,
                              use.overdraft);
        std::vector<wire::class_demand> demands;
        for (const capacity::class_demand& demand : digest.demands)
            demands.emplace_back(
                demand.upstream_class.value,
                flatbuffers::span<const std::uint32_t, 4>(demand.waiting),
                flatbuffers::span<const std::uint32_t, 4>(demand.running));
        std::vector<wire::limit_use> limits;
        for (const capacity::limit_usage& limit : digest.limits)
            limits.emplace_back(limit.workspace.value,
                                limit.kind.value,
                                limit.in_flight,
                                limit.tokens_per_second);
        return std::pair(
            wire::payload::load_digest,
            wire::Createload_digestDirect(this->out,
                                          digest.sequence,
                                          digest.complete,
                                          uses.empty() ? nullptr : &uses,
                                          demands.empty() ? nullptr : &demands,
                                          limits.empty() ? nullptr : &limits)
                .Union());
    }

    auto operator()(const config::document_request& request) const
    {
        return std::pair(
            wire::payload::document_request,
            wire::Createdocument_request(this->out, request.since).Union());
    }

    auto operator()(const config::document_set& set) const
    {
        std::vector<flatbuffers::Offset<wire::document>> documents;
        documents.reserve(set.documents.size());
        for (const config::document& document : set.documents) {
            const auto name = this->out.CreateString(document.name);
            const auto body = this->out.CreateString(document.body);
            documents.push_back(wire::Createdocument(
                this->out, name, document.revision, document.deleted, body));
        }
        return std::pair(wire::payload::document_set,
                         wire::Createdocument_setDirect(
                             this->out, set.revision, set.complete, &documents)
                             .Union());
    }

    auto operator()(const idempotency::claim_request& request) const
    {
        const encoded_subject subject =
            write_subject(this->out, request.subject);
        return std::pair(wire::payload::claim_request,
                         wire::Createclaim_request(this->out,
                                                   request.attempt,
                                                   request.requester.value,
                                                   request.requester_life.value,
                                                   request.home.value,
                                                   request.home_life.value,
                                                   request.body_digest,
                                                   subject.type,
                                                   subject.offset)
                             .Union());
    }

    auto operator()(const idempotency::claim_reply& reply) const
    {
        return std::pair(
            wire::payload::claim_reply,
            wire::Createclaim_reply(this->out,
                                    reply.attempt,
                                    reply.home.value,
                                    reply.home_life.value,
                                    static_cast<std::uint8_t>(reply.result),
                                    reply.holder.value,
                                    reply.holder_life.value,
                                    reply.holder_attempt)
                .Union());
    }

    auto operator()(const idempotency::answer_request& request) const
    {
        const encoded_subject subject =
            write_subject(this->out, request.subject);
        return std::pair(wire::payload::answer_request,
                         wire::Createanswer_request(this->out,
                                                    request.attempt,
                                                    request.requester.value,
                                                    request.holder_life.value,
                                                    request.body_digest,
                                                    subject.type,
                                                    subject.offset,
                                                    request.holder_attempt)
                             .Union());
    }

    auto operator()(const idempotency::answer_reply& reply) const
    {
        const auto type = this->out.CreateString(reply.content_type);
        const auto body = this->out.CreateString(reply.body);
        return std::pair(
            wire::payload::answer_reply,
            wire::Createanswer_reply(this->out,
                                     reply.attempt,
                                     reply.holder_life.value,
                                     static_cast<std::uint8_t>(reply.state),
                                     type,
                                     body,
                                     reply.tokens,
                                     reply.of_model)
                .Union());
    }

    auto operator()(const idempotency::claim_release& release) const
    {
        const encoded_subject subject =
            write_subject(this->out, release.subject);
        return std::pair(wire::payload::claim_release,
                         wire::Createclaim_release(this->out,
                                                   release.holder.value,
                                                   release.holder_life.value,
                                                   release.home_life.value,
                                                   subject.type,
                                                   subject.offset,
                                                   release.attempt)
                             .Union());
    }

private:
    builder& out;
    const sender_identity& sender;
};

} // namespace

std::string encode(const payload& body, const sender_identity& sender)
{
    builder out(first_allocation);
    const auto [type, offset] = std::visit(body_writer(out, sender), body);
    out.Finish(wire::Createframe(out, type, offset));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()),
            out.GetSize()};
}

} // namespace greengagedrum::peers
