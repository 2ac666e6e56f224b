/// Strict reading of JSON bodies: bounded depth, no repeated keys, unknown fields refused by name,
/// and every mistake reported at once with its field's path.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace pearbarrow::gateway {

/// Deepest nesting of a body.
inline constexpr int max_json_depth = 32;

/// One mistake in a body.
struct field_problem {
    /// Path of the field, e.g. "messages[2].role".
    std::string field;
    std::string message;
};

/// Parses text that must hold one JSON value. Fails with kInvalidArgument, reason `malformed_json`,
/// `json_too_deep` or `repeated_key`.
absl::StatusOr<nlohmann::json> parse_json(std::string_view text);

/// The same for a body that must be an object, reason `malformed_json`.
absl::StatusOr<nlohmann::json> parse_json_object(std::string_view text);

/// kInvalidArgument with reason `invalid_field`, naming every problem; ok when there is none.
absl::Status to_status(const std::vector<field_problem>& problems);

enum class unknown_fields { refuse, ignore };

/// Reads the fields of one JSON object and notes each mistake.
class object_reader {
  public:
    /// `object` and `problems` outlive the reader. Reads nothing when `object` is none.
    object_reader(const nlohmann::json& object, std::string path,
                  std::vector<field_problem>& problems);

    /// Each returns none when the field is absent, null or wrong; what is wrong is noted.
    std::optional<std::string> text(std::string_view name, std::size_t max_bytes);
    std::optional<std::uint64_t> integer(std::string_view name, std::uint64_t least,
                                         std::uint64_t most);
    std::optional<bool> boolean(std::string_view name);
    const nlohmann::json* object(std::string_view name);
    const nlohmann::json* array(std::string_view name, std::size_t max_items);
    /// Any value; none when absent.
    const nlohmann::json* any(std::string_view name);

    bool has(std::string_view name) const;
    /// Notes that the field is missing when it is.
    void require(std::string_view name);
    void note(std::string_view name, std::string message);
    std::string path_of(std::string_view name) const;
    /// Call last: notes the fields that nothing asked for.
    void finish(unknown_fields policy = unknown_fields::refuse);

  private:
    const nlohmann::json* find(std::string_view name);

    const nlohmann::json& object_;
    std::string path_;
    std::vector<field_problem>& problems_;
    std::set<std::string, std::less<>> known_;
};

}  // namespace pearbarrow::gateway
