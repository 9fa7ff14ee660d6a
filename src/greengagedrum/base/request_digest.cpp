#include <greengagedrum/base/digest.hpp>
#include <greengagedrum/base/request_digest.hpp>

#include <openssl/evp.h>

#include <array>
#include <cstring>
#include <memory>

namespace greengagedrum::base
{

namespace
{

using hash_context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

// Hashes the length as well, so that moving bytes from one part to the next
// changes the digest.
void add_part(EVP_MD_CTX* to, std::string_view part)
{
    const std::uint64_t size = part.size();
    EVP_DigestUpdate(to, &size, sizeof size);
    EVP_DigestUpdate(to, part.data(), part.size());
}

} // namespace

request_digest digest_of_request(std::string_view workspace,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body)
{
    const hash_context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned size = 0;
    if (!context ||
        EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) != 1)
        return {};
    for (const std::string_view part : {workspace, method, target, body})
        add_part(context.get(), part);
    EVP_DigestFinal_ex(context.get(), bytes.data(), &size);
    request_digest out;
    std::memcpy(&out.high, bytes.data(), sizeof out.high);
    std::memcpy(&out.low, bytes.data() + sizeof out.high, sizeof out.low);
    return out;
}

std::string to_hex(const request_digest& value)
{
    return to_hex(value.high) + to_hex(value.low);
}

} // namespace greengagedrum::base
