#include <greengagedrum/base/digest.hpp>
#include <greengagedrum/base/request_digest.hpp>

#include <openssl/evp.h>

#include <array>
#include <cstring>
#include <memory>
#include <span>

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

request_digest digest_of(std::span<const std::string_view> parts)
{
    const hash_context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned size = 0;
    if (!context ||
        EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) != 1)
        return {};
    for (const std::string_view part : parts)
        add_part(context.get(), part);
    EVP_DigestFinal_ex(context.get(), bytes.data(), &size);
    request_digest out;
    std::memcpy(&out.high, bytes.data(), sizeof out.high);
    std::memcpy(&out.low, bytes.data() + sizeof out.high, sizeof out.low);
    return out;
}

} // namespace

request_digest digest_of_request(std::string_view workspace,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body)
{
    return digest_of(std::array{workspace, method, target, body});
}

request_digest digest_of_prompt_part(upstream_class_id service,
                                     std::string_view part)
{
    using namespace std::string_view_literals;
    const std::string id = to_hex(service.value);
    return digest_of(std::array{"prompt part"sv, std::string_view(id), part});
}

std::string to_hex(const request_digest& value)
{
    return to_hex(value.high) + to_hex(value.low);
}

} // namespace greengagedrum::base
