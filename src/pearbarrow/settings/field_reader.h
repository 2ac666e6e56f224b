/// Reads typed fields from a TOML document and records each problem with its path and line.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/settings/node_settings.h"

namespace pearbarrow::settings {

/// How an endpoint is used. Only an endpoint to listen on may have an unspecified address or port.
enum class endpoint_use { listen, remote };

/// Reads the fields of one document. A path starts at the root table, e.g. "listen.caller".
class field_reader {
  public:
    field_reader(const toml::table& document, std::vector<settings_problem>& problems)
        : document_(document), problems_(problems) {}

    /// Each function sets `target` if the field is present and valid, and records a problem if it
    /// is invalid.
    void read(std::string_view path, std::string& target, std::size_t max_bytes);
    void read_flag(std::string_view path, bool& target);
    void read_integer(std::string_view path, std::uint64_t min, std::uint64_t max,
                      std::uint64_t& target);
    /// Reads an integer or a floating-point number.
    void read_number(std::string_view path, double min, double max, double& target);
    void read_size(std::string_view path, std::size_t min, std::size_t max, std::size_t& target);
    void read_milliseconds(std::string_view path, base::milliseconds min, base::milliseconds max,
                           base::milliseconds& target);
    /// Reads a number of seconds, whole or fractional, and rounds it to milliseconds.
    void read_seconds(std::string_view path, base::milliseconds min, base::milliseconds max,
                      base::milliseconds& target);
    void read_endpoint(std::string_view path, endpoint_use use, ip_endpoint& target);
    void read_endpoint(std::string_view path, endpoint_use use, std::optional<ip_endpoint>& target);
    void read_endpoints(std::string_view path, std::vector<ip_endpoint>& target);
    void read_strings(std::string_view path, std::vector<std::string>& target);
    /// Reads a table with arbitrary keys and string values.
    void read_string_table(std::string_view path,
                           std::map<std::string, std::string, std::less<>>& target);

    bool has(std::string_view path) const;
    /// Returns whether the field is present, and records a problem if it is missing.
    bool require(std::string_view path);
    void add_problem(std::string_view path, std::string message);
    /// Returns the line of the field, or 0 if the document does not contain it.
    std::uint32_t line_of(std::string_view path) const;
    /// Records a problem for each field that was neither read nor required. Must be called last.
    void add_unknown_fields();

  private:
    const toml::node* find(std::string_view path) const;
    const toml::node* find_known(std::string_view path);
    void add_problem_at(const toml::node& node, std::string_view path, std::string message);
    void add_unknown_fields_in(const toml::table& table, const std::string& prefix);
    bool is_known_table(const std::string& path) const;

    const toml::table& document_;
    std::vector<settings_problem>& problems_;
    std::set<std::string, std::less<>> known_;
};

}  // namespace pearbarrow::settings
