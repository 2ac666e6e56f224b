/// Labels and Kubernetes-style selectors over them.
///
/// A selector is a comma-separated list of requirements, all of which must hold:
/// `key=value`, `key==value`, `key!=value`, `key in (a, b)`, `key notin (a, b)`, `key`, `!key`.
/// As in Kubernetes, `!=` and `notin` also match objects that lack the key. The empty selector
/// matches everything.
#pragma once

#include <compare>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace pearbarrow::config {

/// Maximum sizes of the key and value of a label, in bytes.
inline constexpr std::size_t max_label_key_bytes = 63 + 1 + 253;
inline constexpr std::size_t max_label_value_bytes = 63;

/// The labels of one object or program, ordered by key.
class label_set {
  public:
    label_set() = default;
    label_set(std::initializer_list<std::pair<const std::string, std::string>> items)
        : items_(items) {}

    const std::string* find(std::string_view key) const;
    void set(std::string key, std::string value) { items_[std::move(key)] = std::move(value); }
    void erase(std::string_view key);
    /// Adds the labels of `other`, which override labels with the same key.
    void merge(const label_set& other);
    const std::map<std::string, std::string, std::less<>>& items() const { return items_; }
    bool empty() const { return items_.empty(); }

    auto operator<=>(const label_set&) const = default;

  private:
    std::map<std::string, std::string, std::less<>> items_;
};

/// Checks a key: an optional DNS prefix and '/', then at most 63 letters, digits, '-', '_', '.'.
absl::Status check_label_key(std::string_view key);
/// Checks a value: empty, or at most 63 letters, digits, '-', '_', '.', alphanumeric at the ends.
absl::Status check_label_value(std::string_view value);

enum class selector_operator { in, not_in, exists, does_not_exist };

/// One condition on one key. Equality is `in` with one value.
struct requirement {
    std::string key;
    selector_operator op = selector_operator::exists;
    /// Sorted, without duplicates; empty for `exists` and `does_not_exist`.
    std::vector<std::string> values;

    bool matches(const label_set& labels) const;
    auto operator<=>(const requirement&) const = default;
};

/// A conjunction of requirements.
class selector {
  public:
    selector() = default;
    explicit selector(std::vector<requirement> requirements)
        : requirements_(std::move(requirements)) {}

    bool matches(const label_set& labels) const;
    /// Returns the first requirement that does not hold, or nothing. Explains a rejection.
    const requirement* first_unmet(const label_set& labels) const;
    const std::vector<requirement>& requirements() const { return requirements_; }

    auto operator<=>(const selector&) const = default;

  private:
    std::vector<requirement> requirements_;
};

/// Parses a selector. Fails with kInvalidArgument, reason `bad_selector`. The message states the
/// position, starting at 1, and the expected token.
absl::StatusOr<selector> parse_selector(std::string_view text);

/// Returns the canonical text, which `parse_selector` parses to an equal selector.
std::string to_string(const selector& value);
std::string to_string(const requirement& value);

}  // namespace pearbarrow::config
