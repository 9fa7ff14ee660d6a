#include <greengagedrum/peers/frame.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace greengagedrum::peers
{

namespace
{

constexpr std::string_view hello_magic = "ggdpeer1"; // with the version
constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = 3; // kind and interval

template <class Number>
void put(std::string& out, Number value)
{
    for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
        out.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >>
                                        (byte_bits * byte)));
}

template <class Number>
Number get(std::string_view from)
{
    std::uint64_t value = 0;
    for (std::size_t byte = 0; byte < sizeof(Number); ++byte)
        value |= std::uint64_t{static_cast<unsigned char>(from[byte])}
                 << (byte_bits * byte);
    return static_cast<Number>(value);
}

link_key hmac(std::string_view key, std::string_view text)
{
    link_key out{};
    unsigned size = key_bytes;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()),
         text.size(),
         reinterpret_cast<unsigned char*>(out.data()),
         &size);
    return out;
}

link_key
mac_of(const link_key& key, std::uint64_t sequence, std::string_view body)
{
    std::string text;
    text.reserve(sizeof(sequence) + body.size());
    put(text, sequence);
    text.append(body);
    return hmac({key.data(), key.size()}, text);
}

} // namespace

std::string encode_hello(const hello& from)
{
    std::string out(hello_magic);
    put(out, from.sender.slot.value);
    put(out, from.sender.life.value);
    out.append(from.nonce.data(), from.nonce.size());
    return out;
}

std::optional<hello> decode_hello(std::string_view bytes)
{
    constexpr std::size_t word = sizeof(std::uint64_t);
    if (bytes.size() != hello_bytes || !bytes.starts_with(hello_magic))
        return std::nullopt;
    bytes.remove_prefix(hello_magic.size());
    hello out;
    out.sender.slot = base::slot_id(get<std::uint64_t>(bytes));
    out.sender.life = {get<std::uint64_t>(bytes.substr(word))};
    bytes.remove_prefix(2 * word);
    std::copy(bytes.begin(), bytes.end(), out.nonce.begin());
    return out;
}

link_key derive_key(std::string_view shared_key,
                    const hello& dialler,
                    const hello& acceptor,
                    bool from_dialler)
{
    std::string text = from_dialler ? "dialler" : "acceptor";
    text += encode_hello(dialler);
    text += encode_hello(acceptor);
    return hmac(shared_key, text);
}

void frame_sealer::append(const frame& what, std::string& out)
{
    std::string body;
    body.reserve(header_bytes + what.bytes.size());
    put(body, static_cast<std::uint8_t>(what.kind));
    put(body, what.interval);
    body.append(what.bytes);
    const link_key mac = mac_of(this->key, this->sequence++, body);
    put(out, static_cast<std::uint32_t>(mac_bytes + body.size()));
    out.append(mac.data(), mac_bytes);
    out.append(body);
}

frame_opener::frame_opener(const link_key& current,
                           const std::optional<link_key>& second)
    : key(current), other(second)
{
}

bool frame_opener::authentic(std::string_view mac, std::string_view body)
{
    const auto matches = [&](const link_key& candidate) {
        const link_key right = mac_of(candidate, this->sequence, body);
        return CRYPTO_memcmp(right.data(), mac.data(), mac_bytes) == 0;
    };
    bool good = matches(this->key);
    if (!good && this->other && matches(*this->other)) {
        this->key = *this->other;
        good = true;
    }
    this->other.reset();
    return good;
}

tl::expected<std::optional<frame>, open_fault>
frame_opener::take(std::string_view bytes, std::size_t& used)
{
    used = 0;
    if (bytes.size() < length_bytes)
        return std::optional<frame>();
    const std::size_t length = get<std::uint32_t>(bytes);
    if (length > mac_bytes + header_bytes + piece_bytes_max)
        return tl::unexpected(open_fault::too_long);
    if (length < mac_bytes + header_bytes)
        return tl::unexpected(open_fault::too_short);
    if (bytes.size() < length_bytes + length)
        return std::optional<frame>();
    const std::string_view mac = bytes.substr(length_bytes, mac_bytes);
    const std::string_view body =
        bytes.substr(length_bytes + mac_bytes, length - mac_bytes);
    if (!this->authentic(mac, body))
        return tl::unexpected(open_fault::bad_mac);
    ++this->sequence;
    const auto kind = get<std::uint8_t>(body);
    if (kind > static_cast<std::uint8_t>(frame_kind::last))
        return tl::unexpected(open_fault::bad_kind);
    used = length_bytes + length;
    return std::optional<frame>(frame{static_cast<frame_kind>(kind),
                                      get<std::uint16_t>(body.substr(1)),
                                      body.substr(header_bytes)});
}

} // namespace greengagedrum::peers
