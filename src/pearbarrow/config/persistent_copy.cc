#include "pearbarrow/config/persistent_copy.h"

#include <fstream>
#include <iterator>
#include <string>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/status.h"

namespace pearbarrow::config {
namespace {

absl::Status file_error(absl::StatusCode code, const std::filesystem::path& file,
                        std::string_view message, std::string_view reason) {
    return base::make_error(
        code, message,
        {.step = "configuration_copy", .peer = file.string(), .reason = std::string(reason)});
}

/// Returns the first line of the file, a hash of the rest that detects torn files.
std::string checksum_line(std::string_view text) {
    return fmt::format("{:016x}\n", base::stable_hash(text));
}

}  // namespace

absl::Status save_copy(const std::filesystem::path& file, const configuration& value) {
    const std::filesystem::path temporary = file.string() + ".new";
    const std::string text = encode_configuration(value);
    {
        std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
        out << checksum_line(text) << text;
        out.flush();
        if (!out) {
            return file_error(absl::StatusCode::kUnavailable, temporary, "cannot be written",
                              "copy_not_written");
        }
    }
    std::error_code failure;
    std::filesystem::rename(temporary, file, failure);
    if (failure) {
        return file_error(absl::StatusCode::kUnavailable, file, failure.message(),
                          "copy_not_written");
    }
    return absl::OkStatus();
}

absl::StatusOr<configuration_ptr> load_copy(const std::filesystem::path& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        return file_error(absl::StatusCode::kNotFound, file, "there is no copy", "copy_not_found");
    }
    std::string checksum;
    std::getline(in, checksum);
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (checksum + "\n" != checksum_line(text)) {
        return file_error(absl::StatusCode::kDataLoss, file, "the copy is torn or damaged",
                          "copy_damaged");
    }
    return decode_configuration(text);
}

}  // namespace pearbarrow::config
