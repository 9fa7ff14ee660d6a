// What a peer's connection begins with. What is taken can be encoded again;
// anything else is refused.
#include <greengagedrum/relay/tunnel_codec.hpp>

#include "require.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace greengagedrum;
    using fuzz::require;
    const std::string text(fuzz::text_of(data, size));
    relay::tunnel_frame_size(text);
    if (const auto request = relay::decode_tunnel_request(text)) {
        const std::string again = relay::encode(*request);
        require(again.size() <= relay::tunnel_frame_most &&
                    relay::decode_tunnel_request(again).has_value(),
                "a request that was read can be sent again");
    }
    if (const auto verdict = relay::decode_tunnel_verdict(text))
        require(relay::decode_tunnel_verdict(relay::encode(*verdict)) ==
                    verdict,
                "a verdict that was read can be sent again");
    return 0;
}
