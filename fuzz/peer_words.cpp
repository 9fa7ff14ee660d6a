// Datagrams and items of peers. What is taken can be encoded again; anything
// else is refused.
#include <greengagedrum/gossip/peer_table.hpp>
#include <greengagedrum/gossip/stream_version_codec.hpp>

#include "require.hpp"

#include <chrono>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace greengagedrum;
    using fuzz::require;
    const std::string text(fuzz::text_of(data, size));
    if (const auto message = gossip::decode_message(text)) {
        require(gossip::decode_message(gossip::encode(*message)).has_value(),
                "a message that was read can be told again");
        gossip::peer_table table(1, "hall", base::incarnation{1});
        const base::instant now(std::chrono::hours(1));
        table.on_message(*message, now);
        table.select_recipients(gossip::recipient_group::own_data_centre, now);
        table.select_recipients(gossip::recipient_group::other_data_centres,
                                now);
    }
    if (const auto message = gossip::decode_stream_version_message(text))
        require(gossip::decode_stream_version_message(
                    gossip::encode(*message, message->sender))
                    .has_value(),
                "a message about streams that was read can be told again");
    gossip::decode_referral(text);
    if (const auto items = gossip::decode_items(text))
        require(gossip::decode_items(gossip::encode(*items)).has_value() &&
                    gossip::decode_items(gossip::encode_compressed(*items, {}))
                        .has_value(),
                "items that were read can be passed on");
    return 0;
}
