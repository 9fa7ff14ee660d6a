#include <greengagedrum/base/digest.hpp>
#include <greengagedrum/idempotency/ticket_codec.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>

namespace greengagedrum::idempotency
{

namespace
{

constexpr std::size_t field_digits = 16;
constexpr std::size_t mac_bytes = 16;
constexpr std::size_t fields = 4;
constexpr std::size_t fields_length = (fields * field_digits) + (fields - 1);
constexpr std::size_t text_length = fields_length + 1 + (2 * mac_bytes);
constexpr std::string_view digits = "0123456789abcdef";

std::optional<std::uint64_t> number(std::string_view text)
{
    if (text.find_first_not_of(digits) != std::string_view::npos)
        return std::nullopt;
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, 16);
    if (read.ec != std::errc{} || read.ptr != end)
        return std::nullopt;
    return value;
}

std::string
mac(std::string_view key, std::string_view text, base::workspace_id workspace)
{
    const std::string input =
        std::string(text) + '.' + base::to_hex(workspace.value);
    std::array<unsigned char, EVP_MAX_MD_SIZE> sum{};
    unsigned length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(input.data()),
         input.size(),
         sum.data(),
         &length);
    std::string out;
    for (std::size_t at = 0; at < mac_bytes; ++at) {
        out += digits[sum[at] >> 4U];
        out += digits[sum[at] & 0xfU];
    }
    return out;
}

std::string fields_of(const ticket& item)
{
    return base::to_hex(item.data_centre.value) + '.' +
           base::to_hex(item.slot.value) + '.' + base::to_hex(item.life.value) +
           '.' + base::to_hex(item.sequence);
}

// Takes a time that doesn't depend on where the two differ, so that a caller
// can't find a MAC digit by digit.
bool same(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<ticket> parse(std::string_view text)
{
    std::array<std::uint64_t, fields> values{};
    for (std::size_t at = 0; at < fields; ++at) {
        const std::size_t start = at * (field_digits + 1);
        if (at > 0 && text[start - 1] != '.')
            return std::nullopt;
        const auto value = number(text.substr(start, field_digits));
        if (!value)
            return std::nullopt;
        values[at] = *value;
    }
    return ticket{base::data_centre_id(values[0]),
                  base::slot_id(values[1]),
                  base::incarnation{values[2]},
                  values[3]};
}

} // namespace

ticket_codec::ticket_codec(std::string key, std::optional<std::string> previous)
    : key(std::move(key)), previous(std::move(previous))
{
}

std::string ticket_codec::encode(const ticket& item,
                                 base::workspace_id workspace) const
{
    const std::string text = fields_of(item);
    return text + '.' + mac(this->key, text, workspace);
}

std::optional<ticket> ticket_codec::decode(std::string_view text,
                                           base::workspace_id workspace) const
{
    if (text.size() != text_length || text[fields_length] != '.')
        return std::nullopt;
    const std::string_view body = text.substr(0, fields_length);
    const std::string_view given = text.substr(fields_length + 1);
    const bool known =
        same(given, mac(this->key, body, workspace)) ||
        (this->previous && same(given, mac(*this->previous, body, workspace)));
    return known ? parse(body) : std::nullopt;
}

} // namespace greengagedrum::idempotency
