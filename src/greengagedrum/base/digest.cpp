#include <greengagedrum/base/digest.hpp>

#include <xxhash.h>

namespace greengagedrum::base
{

namespace
{
constexpr std::size_t hex_digits = 16;
constexpr unsigned digit_bits = 4;
constexpr std::uint64_t digit_mask = 15;
} // namespace

std::string to_hex(std::uint64_t value)
{
    std::string out(hex_digits, '0');
    for (std::size_t at = hex_digits; at > 0; value >>= digit_bits)
        out[--at] = "0123456789abcdef"[value & digit_mask];
    return out;
}

std::string digest_of(std::string_view text)
{
    return to_hex(XXH64(text.data(), text.size(), 0));
}

} // namespace greengagedrum::base
