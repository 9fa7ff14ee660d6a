// Encodes reports of members and replies of dispatchers into gossip messages.
#pragma once

#include <greengagedrum/dispatch/messages.hpp>
#include <greengagedrum/gossip/gossip_generated.h>

namespace greengagedrum::gossip
{

flatbuffers::Offset<wire::Report>
write_report(flatbuffers::FlatBufferBuilder& builder,
             const dispatch::member_report& sent);

flatbuffers::Offset<wire::Reply>
write_reply(flatbuffers::FlatBufferBuilder& builder,
            const dispatch::dispatcher_reply& sent);

dispatch::member_report read_report(const wire::Report& from);
dispatch::dispatcher_reply read_reply(const wire::Reply& from);

} // namespace greengagedrum::gossip
