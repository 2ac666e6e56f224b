#include "pearbarrow/config/selector.h"

#include <algorithm>
#include <cctype>

#include <spdlog/fmt/fmt.h>

#include "pearbarrow/base/status.h"

namespace pearbarrow::config {
namespace {

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_prefix_bytes = 253;

bool is_alphanumeric(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0;
}

bool is_name_character(char c) {
    return is_alphanumeric(c) || c == '-' || c == '_' || c == '.';
}

/// Returns whether the text is a Kubernetes qualified name: alphanumeric at both ends, at most 63
/// bytes.
bool is_qualified_name(std::string_view text) {
    if (text.empty() || text.size() > max_name_bytes) {
        return false;
    }
    return is_alphanumeric(text.front()) && is_alphanumeric(text.back()) &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_dns_prefix(std::string_view text) {
    if (text.empty() || text.size() > max_prefix_bytes) {
        return false;
    }
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    };
    return is_alphanumeric(text.front()) && is_alphanumeric(text.back()) &&
           std::all_of(text.begin(), text.end(), allowed);
}

absl::Status label_error(std::string message) {
    return base::make_error(absl::StatusCode::kInvalidArgument, message,
                            {.step = "label", .reason = "bad_label"});
}

class selector_parser {
  public:
    explicit selector_parser(std::string_view text) : text_(text) {}

    absl::StatusOr<selector> parse() {
        std::vector<requirement> requirements;
        skip_spaces();
        if (at_end()) {
            return selector();
        }
        while (true) {
            auto next = parse_requirement();
            if (!next.ok()) {
                return next.status();
            }
            requirements.push_back(*std::move(next));
            skip_spaces();
            if (at_end()) {
                return selector(std::move(requirements));
            }
            if (!consume(",")) {
                return expected("',' or the end");
            }
        }
    }

  private:
    absl::StatusOr<requirement> parse_requirement() {
        skip_spaces();
        const bool negated = consume("!");
        auto key = parse_key();
        if (!key.ok()) {
            return key.status();
        }
        if (negated) {
            return requirement{*key, selector_operator::does_not_exist, {}};
        }
        skip_spaces();
        if (consume("!=")) {
            return parse_single(*key, selector_operator::not_in);
        }
        if (consume("==") || consume("=")) {
            return parse_single(*key, selector_operator::in);
        }
        if (consume_word("notin")) {
            return parse_list(*key, selector_operator::not_in);
        }
        if (consume_word("in")) {
            return parse_list(*key, selector_operator::in);
        }
        return requirement{*key, selector_operator::exists, {}};
    }

    absl::StatusOr<std::string> parse_key() {
        skip_spaces();
        const std::size_t start = position_;
        const std::string_view word = read_word();
        if (word.empty()) {
            return expected("a label key");
        }
        const absl::Status good = check_label_key(word);
        if (!good.ok()) {
            position_ = start;
            return error(std::string(good.message()));
        }
        return std::string(word);
    }

    absl::StatusOr<std::string> parse_value() {
        skip_spaces();
        const std::size_t start = position_;
        const std::string_view word = read_word();
        const absl::Status good = check_label_value(word);
        if (!good.ok()) {
            position_ = start;
            return error(std::string(good.message()));
        }
        return std::string(word);
    }

    absl::StatusOr<requirement> parse_single(std::string key, selector_operator op) {
        auto value = parse_value();
        if (!value.ok()) {
            return value.status();
        }
        return requirement{std::move(key), op, {*std::move(value)}};
    }

    absl::StatusOr<requirement> parse_list(std::string key, selector_operator op) {
        skip_spaces();
        if (!consume("(")) {
            return expected("'('");
        }
        requirement result{std::move(key), op, {}};
        while (true) {
            auto value = parse_value();
            if (!value.ok()) {
                return value.status();
            }
            result.values.push_back(*std::move(value));
            skip_spaces();
            if (consume(")")) {
                break;
            }
            if (!consume(",")) {
                return expected("',' or ')'");
            }
        }
        std::sort(result.values.begin(), result.values.end());
        result.values.erase(std::unique(result.values.begin(), result.values.end()),
                            result.values.end());
        return result;
    }

    bool at_end() const { return position_ >= text_.size(); }

    void skip_spaces() {
        while (!at_end() && std::isspace(static_cast<unsigned char>(text_[position_])) != 0) {
            ++position_;
        }
    }

    bool consume(std::string_view token) {
        if (text_.substr(position_, token.size()) != token) {
            return false;
        }
        position_ += token.size();
        return true;
    }

    bool consume_word(std::string_view word) {
        const std::size_t start = position_;
        if (read_word() == word) {
            return true;
        }
        position_ = start;
        return false;
    }

    std::string_view read_word() {
        const std::size_t start = position_;
        while (!at_end() && (is_name_character(text_[position_]) || text_[position_] == '/')) {
            ++position_;
        }
        return text_.substr(start, position_ - start);
    }

    absl::Status expected(std::string_view what) const {
        const std::string found =
            at_end() ? std::string("the end") : fmt::format("'{}'", text_[position_]);
        return error(fmt::format("expected {}, found {}", what, found));
    }

    absl::Status error(std::string_view what) const {
        return base::make_error(absl::StatusCode::kInvalidArgument,
                                fmt::format("position {}: {}", position_ + 1, what),
                                {.step = "parse_selector", .reason = "bad_selector"});
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

}  // namespace

const std::string* label_set::find(std::string_view key) const {
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second;
}

void label_set::erase(std::string_view key) {
    const auto found = items_.find(key);
    if (found != items_.end()) {
        items_.erase(found);
    }
}

void label_set::merge(const label_set& other) {
    for (const auto& [key, value] : other.items_) {
        items_[key] = value;
    }
}

absl::Status check_label_key(std::string_view key) {
    const std::size_t slash = key.find('/');
    const bool has_prefix = slash != std::string_view::npos;
    const std::string_view name = has_prefix ? key.substr(slash + 1) : key;
    if (has_prefix && !is_dns_prefix(key.substr(0, slash))) {
        return label_error(fmt::format(
            "label key '{}': the part before '/' must be a DNS name in lower case", key));
    }
    if (!is_qualified_name(name)) {
        return label_error(
            fmt::format("label key '{}': must be 1 to {} letters, digits, '-', '_' "
                        "or '.', with a letter or digit at both ends",
                        key, max_name_bytes));
    }
    return absl::OkStatus();
}

absl::Status check_label_value(std::string_view value) {
    if (value.empty() || is_qualified_name(value)) {
        return absl::OkStatus();
    }
    return label_error(
        fmt::format("label value '{}': must be empty or at most {} letters, digits, "
                    "'-', '_' or '.', with a letter or digit at both ends",
                    value, max_label_value_bytes));
}

bool requirement::matches(const label_set& labels) const {
    const std::string* value = labels.find(key);
    const bool listed =
        value != nullptr && std::binary_search(values.begin(), values.end(), *value);
    switch (op) {
        case selector_operator::in:
            return listed;
        case selector_operator::not_in:
            return !listed;
        case selector_operator::exists:
            return value != nullptr;
        case selector_operator::does_not_exist:
            return value == nullptr;
    }
    return false;
}

const requirement* selector::first_unmet(const label_set& labels) const {
    for (const requirement& each : requirements_) {
        if (!each.matches(labels)) {
            return &each;
        }
    }
    return nullptr;
}

bool selector::matches(const label_set& labels) const {
    return first_unmet(labels) == nullptr;
}

absl::StatusOr<selector> parse_selector(std::string_view text) {
    return selector_parser(text).parse();
}

std::string to_string(const requirement& value) {
    const std::string list = fmt::format("({})", fmt::join(value.values, ", "));
    switch (value.op) {
        case selector_operator::in:
            return value.values.size() == 1 ? value.key + "=" + value.values.front()
                                            : value.key + " in " + list;
        case selector_operator::not_in:
            return value.values.size() == 1 ? value.key + "!=" + value.values.front()
                                            : value.key + " notin " + list;
        case selector_operator::exists:
            return value.key;
        case selector_operator::does_not_exist:
            return "!" + value.key;
    }
    return {};
}

std::string to_string(const selector& value) {
    std::string text;
    for (const requirement& each : value.requirements()) {
        text += text.empty() ? "" : ",";
        text += to_string(each);
    }
    return text;
}

}  // namespace pearbarrow::config
