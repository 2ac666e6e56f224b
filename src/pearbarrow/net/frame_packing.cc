#include "pearbarrow/net/frame_packing.h"

#include <zstd.h>

#include <memory>
#include <utility>

#include "pearbarrow/base/status.h"

namespace pearbarrow::net {
namespace {

/// The fastest of zstd's ordinary levels: frames are short, higher ones look for little more.
constexpr int level = 1;

struct free_packer {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct free_unpacker {
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// One of each a thread: its tables are dear to make, and each frame is packed by itself.
ZSTD_CCtx* packer() {
    thread_local const std::unique_ptr<ZSTD_CCtx, free_packer> context(ZSTD_createCCtx());
    return context.get();
}

ZSTD_DCtx* unpacker() {
    thread_local const std::unique_ptr<ZSTD_DCtx, free_unpacker> context(ZSTD_createDCtx());
    return context.get();
}

absl::Status bad_frame(std::string_view message, std::string reason) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "unpack_frame",
                             .reason = std::move(reason),
                             .was_executed = base::executed::unknown});
}

}  // namespace

std::optional<std::string> pack_bytes(std::string_view bytes) {
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compressCCtx(packer(), packed.data(), packed.size(), bytes.data(),
                                               bytes.size(), level);
    if (ZSTD_isError(size) != 0 || size >= bytes.size()) {
        return std::nullopt;
    }
    packed.resize(size);
    return packed;
}

absl::StatusOr<std::string> unpack_bytes(std::string_view packed, std::size_t most) {
    const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR) {
        return bad_frame("not a packed frame", "malformed_frame");
    }
    if (size > most) {
        return bad_frame("the packed frame is longer than allowed", "frame_too_large");
    }
    std::string bytes(static_cast<std::size_t>(size), '\0');
    const std::size_t unpacked =
        ZSTD_decompressDCtx(unpacker(), bytes.data(), bytes.size(), packed.data(), packed.size());
    if (ZSTD_isError(unpacked) != 0 || unpacked != bytes.size()) {
        return bad_frame("the packed frame is damaged", "malformed_frame");
    }
    return bytes;
}

}  // namespace pearbarrow::net
