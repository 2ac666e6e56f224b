#include <cstddef>
#include <cstdint>

#include "platform_decoders.h"

/// The name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {  // NOLINT
    pearbarrow::fuzz::feed_backend_entry({reinterpret_cast<const char*>(data), size});
    return 0;
}
