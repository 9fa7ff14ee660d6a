// Bytes of a caller's connection. However they are torn, the same request is
// read from them, and what passes has one length in any reading.
#include <greengagedrum/relay/message_reader.hpp>

#include "require.hpp"

namespace
{

using namespace greengagedrum;
using fuzz::require;

constexpr relay::read_bounds bounds{2048, 4096};

struct reading {
    bool refused = false;
    bool done = false;
    std::size_t taken = 0;
    relay::request_head head;
    std::string body;
};

reading read_in_pieces(std::string_view text, std::size_t piece)
{
    relay::request_reader reader(bounds);
    reading out;
    std::string inbox;
    for (std::size_t at = 0; at < text.size() && !out.done; at += piece) {
        inbox += text.substr(at, piece);
        const auto taken = reader.feed(inbox);
        if (!taken) {
            out.refused = true;
            return out;
        }
        require(*taken <= inbox.size(), "no more is taken than was offered");
        inbox.erase(0, *taken);
        out.taken += *taken;
        out.done = reader.done();
    }
    out.head = reader.head();
    out.body = reader.body();
    return out;
}

void check_framing(const reading& whole)
{
    const auto& headers = whole.head.headers;
    const auto lengths = relay::count_headers(headers, "Content-Length");
    const auto codings = relay::count_headers(headers, "Transfer-Encoding");
    require(lengths + codings <= 1, "one length at most");
    require(relay::count_headers(headers, "Host") <= 1, "one host at most");
    require(whole.body.size() <= bounds.body_bytes, "the body keeps its bound");
    if (lengths == 1)
        require(
            std::to_string(whole.body.size()) ==
                    *relay::find_header(headers, "Content-Length") ||
                relay::find_header(headers, "Content-Length")->starts_with('0'),
            "the body is as long as it says");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text = fuzz::text_of(data, size);
    const reading whole = read_in_pieces(text, size + 1);
    const reading torn = read_in_pieces(text, 3);
    if (whole.done) {
        check_framing(whole);
        require(torn.done, "torn bytes hold the same request");
        require(torn.taken == whole.taken && torn.body == whole.body,
                "and the same body");
    }
    if (whole.refused)
        require(!torn.done, "what is refused whole is refused torn");
    return 0;
}
