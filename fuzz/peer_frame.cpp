// Bytes of a peer link: as a payload, as frames and as a hello.
//
// Input: a byte for the cuts, then bytes. A payload that decodes encodes to
// bytes that decode to the same, and unfolds to no more than a small multiple
// of its size. Frames that were sealed open again however they are cut; bytes
// that were not sealed never open.
#include <greengagedrum/peers/codec.hpp>
#include <greengagedrum/peers/frame.hpp>

#include "require.hpp"

#include <algorithm>
#include <string>

namespace
{

using fuzz::require;
namespace peers = greengagedrum::peers;
namespace base = greengagedrum::base;

// The codec's own bound on what a buffer unfolds to, and the tables that an
// encoder adds to a short one.
constexpr std::size_t unfold_factor = 16;
constexpr std::size_t unfold_floor = 1024;

const peers::sender_identity& sender()
{
    static const peers::sender_identity one{base::slot_id("zona-4-a"),
                                            base::incarnation{7}};
    return one;
}

peers::link_key key()
{
    peers::link_key out{};
    out.fill('k');
    return out;
}

// A link hands over a string of its own, whose start is aligned.
void check_payload(const std::string& bytes)
{
    const auto body = peers::decode(bytes, sender());
    if (!body)
        return;
    const std::string again = peers::encode(*body, sender());
    require(again.size() <= unfold_factor * bytes.size() + unfold_floor,
            "a payload unfolds to a bounded size");
    if (again.size() > peers::payload_bytes_max)
        return;
    const auto back = peers::decode(again, sender());
    require(back.has_value(), "what was encoded decodes");
    require(back->index() == body->index(), "to the same kind of payload");
    require(peers::encode(*back, sender()) == again, "with the same members");
}

// Feeds the pieces as a link does and gives back the frames' bytes joined.
std::string opened(const std::vector<std::string_view>& pieces)
{
    peers::frame_opener opener(key(), std::nullopt);
    std::string waiting;
    std::string out;
    for (const std::string_view piece : pieces) {
        waiting += piece;
        for (;;) {
            std::size_t used = 0;
            const auto found = opener.take(waiting, used);
            require(found.has_value(), "a sealed frame opens");
            require(used <= waiting.size(), "no more is used than there is");
            if (!*found)
                break;
            require(used > 0, "a frame takes bytes");
            out += (*found)->bytes;
            waiting.erase(0, used);
        }
    }
    require(waiting.empty(), "nothing is left of whole frames");
    return out;
}

void check_frames(std::string_view bytes, std::uint8_t seed)
{
    peers::frame_sealer sealer(key());
    std::string sealed;
    sealer.append({peers::frame_kind::proof, seed, {}}, sealed);
    for (const std::string_view piece : fuzz::cut(bytes, seed))
        sealer.append({peers::frame_kind::part, seed, piece}, sealed);
    require(opened(fuzz::cut(sealed, seed)) == bytes, "frames come back");
}

void check_strange(std::string_view bytes)
{
    peers::frame_opener opener(key(), std::nullopt);
    std::size_t used = 0;
    const auto found = opener.take(bytes, used);
    require(!found || !*found, "bytes that were not sealed do not open");
    const auto met = peers::decode_hello(bytes);
    if (met && bytes.size() == peers::hello_bytes)
        require(peers::encode_hello(*met) == bytes, "a hello comes back");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes = fuzz::text_of(data + 1, size - 1);
    check_payload(std::string(bytes));
    check_frames(bytes, *data);
    check_strange(bytes);
    return 0;
}
