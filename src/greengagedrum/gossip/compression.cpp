#include <greengagedrum/gossip/compression.hpp>

#include <zstd.h>

#include <algorithm>
#include <array>
#include <bit>
#include <memory>

namespace greengagedrum::gossip
{

namespace
{

constexpr int level = 1;

// A window that covers reference and bytes, within what a decoder accepts.
constexpr int min_window_bits = 10;
constexpr int max_window_bits = 24;

int window_bits_for(std::size_t size)
{
    return std::clamp(static_cast<int>(std::bit_width(size)),
                      min_window_bits,
                      max_window_bits);
}

struct free_context {
    void operator()(ZSTD_CCtx* one) const { ZSTD_freeCCtx(one); }
    void operator()(ZSTD_DCtx* one) const { ZSTD_freeDCtx(one); }
};

} // namespace

std::string compress(std::string_view bytes, std::string_view reference)
{
    const std::unique_ptr<ZSTD_CCtx, free_context> context(ZSTD_createCCtx());
    std::string out(ZSTD_compressBound(bytes.size()), '\0');
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(),
                           ZSTD_c_windowLog,
                           window_bits_for(bytes.size() + reference.size()));
    ZSTD_CCtx_refPrefix(context.get(), reference.data(), reference.size());
    const std::size_t size = ZSTD_compress2(
        context.get(), out.data(), out.size(), bytes.data(), bytes.size());
    out.resize(ZSTD_isError(size) != 0U ? 0 : size);
    return out;
}

bool is_compressed(std::string_view bytes)
{
    constexpr std::array<char, 4> frame_start = {
        '\x28', '\xb5', '\x2f', '\xfd'};
    return bytes.substr(0, frame_start.size()) ==
           std::string_view(frame_start.data(), frame_start.size());
}

std::optional<std::string> decompress(std::string_view bytes,
                                      std::string_view reference,
                                      std::size_t max_bytes)
{
    const unsigned long long size =
        ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
        size > max_bytes)
        return std::nullopt;
    const std::unique_ptr<ZSTD_DCtx, free_context> context(ZSTD_createDCtx());
    std::string out(static_cast<std::size_t>(size), '\0');
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_bits);
    ZSTD_DCtx_refPrefix(context.get(), reference.data(), reference.size());
    const std::size_t got = ZSTD_decompressDCtx(
        context.get(), out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(got) != 0U || got != out.size())
        return std::nullopt;
    return out;
}

} // namespace greengagedrum::gossip
