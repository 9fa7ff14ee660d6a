#include <greengagedrum/callers/bearer_token.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace greengagedrum::callers
{

config::sha256_digest sha256(std::string_view text)
{
    config::sha256_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           digest.data());
    return digest;
}

bool token_matches(std::string_view header,
                   const config::sha256_digest& expected)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!header.starts_with(scheme))
        return false;
    const config::sha256_digest given = sha256(header.substr(scheme.size()));
    return CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

} // namespace greengagedrum::callers
