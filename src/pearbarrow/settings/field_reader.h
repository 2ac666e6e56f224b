/// Reads typed fields from a TOML document and notes every mistake with its path and line.
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

/// What an address may be: one to listen on may leave address or port open.
enum class endpoint_use { listen, remote };

/// A field is named by its path from the document's top, e.g. "listen.caller".
class field_reader {
  public:
    field_reader(const toml::table& document, std::vector<settings_problem>& problems)
        : document_(document), problems_(problems) {}

    /// Each sets `target` when the field is present and right, and notes what is wrong.
    void read(std::string_view path, std::string& target, std::size_t max_bytes);
    void read_flag(std::string_view path, bool& target);
    void read_integer(std::string_view path, std::uint64_t least, std::uint64_t most,
                      std::uint64_t& target);
    /// A whole number or a decimal one.
    void read_number(std::string_view path, double least, double most, double& target);
    void read_size(std::string_view path, std::size_t least, std::size_t most, std::size_t& target);
    void read_milliseconds(std::string_view path, base::milliseconds least, base::milliseconds most,
                           base::milliseconds& target);
    void read_endpoint(std::string_view path, endpoint_use use, ip_endpoint& target);
    void read_endpoint(std::string_view path, endpoint_use use, std::optional<ip_endpoint>& target);
    void read_endpoints(std::string_view path, std::vector<ip_endpoint>& target);
    void read_texts(std::string_view path, std::vector<std::string>& target);
    /// A table whose keys the file chooses; each value is a string.
    void read_text_table(std::string_view path,
                         std::map<std::string, std::string, std::less<>>& target);

    bool has(std::string_view path) const;
    /// Notes that the field is missing when it is; false then.
    bool require(std::string_view path);
    void note(std::string_view path, std::string message);
    /// Line of the field; 0 when it is not in the file.
    std::uint32_t line_of(std::string_view path) const;
    /// Call last: notes each field that nothing asked for.
    void note_unknown();

  private:
    const toml::node* find(std::string_view path) const;
    const toml::node* take(std::string_view path);
    void note_at(const toml::node& node, std::string_view path, std::string message);
    void note_unknown_in(const toml::table& table, const std::string& prefix);
    bool is_known_table(const std::string& path) const;

    const toml::table& document_;
    std::vector<settings_problem>& problems_;
    std::set<std::string, std::less<>> known_;
};

}  // namespace pearbarrow::settings
