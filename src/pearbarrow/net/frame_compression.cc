#include "pearbarrow/net/frame_compression.h"

#include <zstd.h>

#include <memory>
#include <utility>

#include "pearbarrow/base/status.h"

namespace pearbarrow::net {
namespace {

/// The fastest regular level of zstd. Frames are short, and higher levels gain little.
constexpr int compression_level = 1;

struct free_compression_context {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct free_decompression_context {
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// Each thread has one context because its tables are expensive to create. Frames are compressed
// independently.
ZSTD_CCtx* compression_context() {
    thread_local const std::unique_ptr<ZSTD_CCtx, free_compression_context> context(
        ZSTD_createCCtx());
    return context.get();
}

ZSTD_DCtx* decompression_context() {
    thread_local const std::unique_ptr<ZSTD_DCtx, free_decompression_context> context(
        ZSTD_createDCtx());
    return context.get();
}

absl::Status bad_frame(std::string_view message, std::string reason) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "unpack_frame",
                             .reason = std::move(reason),
                             .was_executed = base::executed::unknown});
}

}  // namespace

std::optional<std::string> compress_bytes(std::string_view bytes) {
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compressCCtx(compression_context(), packed.data(), packed.size(),
                                               bytes.data(), bytes.size(), compression_level);
    if (ZSTD_isError(size) != 0 || size >= bytes.size()) {
        return std::nullopt;
    }
    packed.resize(size);
    return packed;
}

absl::StatusOr<std::string> decompress_bytes(std::string_view packed, std::size_t max_bytes) {
    const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR) {
        return bad_frame("not a packed frame", "malformed_frame");
    }
    if (size > max_bytes) {
        return bad_frame("the packed frame is longer than allowed", "frame_too_large");
    }
    std::string bytes(static_cast<std::size_t>(size), '\0');
    const std::size_t unpacked = ZSTD_decompressDCtx(decompression_context(), bytes.data(),
                                                     bytes.size(), packed.data(), packed.size());
    if (ZSTD_isError(unpacked) != 0 || unpacked != bytes.size()) {
        return bad_frame("the packed frame is damaged", "malformed_frame");
    }
    return bytes;
}

}  // namespace pearbarrow::net
