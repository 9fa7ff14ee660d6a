// Everything one entry may say to another, as one type.
//
// The codec turns it to and from a FlatBuffers frame; each alternative belongs
// to the slice whose header declares it.
#pragma once

#include <greengagedrum/capacity/messages.hpp>
#include <greengagedrum/config/messages.hpp>
#include <greengagedrum/idempotency/messages.hpp>
#include <greengagedrum/membership/messages.hpp>

#include <optional>
#include <variant>

namespace greengagedrum::peers
{

using payload = std::variant<membership::heartbeat,
                             membership::instance_list,
                             capacity::load_digest,
                             config::document_request,
                             config::document_set,
                             idempotency::claim_request,
                             idempotency::claim_reply,
                             idempotency::answer_request,
                             idempotency::answer_reply,
                             idempotency::claim_release>;

// A payload with its sender. Frames of another `life` than the link's
// handshake named are dropped: they come from a process that is gone.
struct message {
    base::slot_id sender;
    base::incarnation life;
    payload body;
    // With a heartbeat: when, by our clock, that one of ours was sent which it
    // answers. It was sent later than that, however long it took.
    std::optional<base::instant> answers;
};

} // namespace greengagedrum::peers
