// Tests changes of the settings file of a running node.
#include "pearbarrow/fleet/settings_reload.h"

#include <stdlib.h>

#include <fstream>

#include "../net/net_fixture.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet;

namespace {

constexpr char valid_text[] = R"(
role = "edge"
node = "edge-1"
zone = "z"
first_start = true
directory_service = "10.0.0.1:80"
seeds = ["10.0.0.2:70"]
[listen]
caller = "10.0.0.4:80"
ready = "10.0.0.4:81"
peer = "10.0.0.4:70"
)";

std::string with(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    cr_assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

struct settings_file {
    settings_file() {
        std::string pattern = std::filesystem::temp_directory_path() / "settings-XXXXXX";
        this->folder = ::mkdtemp(pattern.data());
        this->write(valid_text);
    }
    ~settings_file() { std::filesystem::remove_all(this->folder); }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    std::string path() const { return this->folder + "/node.toml"; }
    void write(const std::string& text) const { std::ofstream(this->path()) << text; }

    std::string folder;
};

struct reloading_node {
    explicit reloading_node(const settings_file& file)
        : reload(loop, file.path(), settings::check_fleet_file(file.path()).settings,
                 [this](const auto& next) { this->applied.push_back(next); }) {}

    net::event_loop loop;
    std::vector<settings::fleet_settings> applied;
    settings_reload reload;
};

}  // namespace

Test(settings_reload, seeds_and_directory_service_are_applied) {
    const settings_file file;
    reloading_node node(file);
    file.write(with(with(valid_text, "10.0.0.2:70", "10.0.0.9:70"), "10.0.0.1:80", "10.0.0.8:80"));
    node.reload.reload();
    cr_assert(node.applied.size() == 1);
    cr_assert(node.applied[0].seeds[0].address == "10.0.0.9");
    cr_assert(node.applied[0].directory_service.address == "10.0.0.8");
    node.reload.reload();
    cr_assert(node.applied.size() == 1, "an unchanged file is not applied again");
}

Test(settings_reload, invalid_file_changes_nothing) {
    const settings_file file;
    reloading_node node(file);
    file.write(with(with(valid_text, "10.0.0.2:70", "10.0.0.9:70"), "\"edge\"", "\"leader\""));
    node.reload.reload();
    std::filesystem::remove(file.path());
    node.reload.reload();
    cr_assert(node.applied.empty());
}

Test(settings_reload, field_that_needs_a_restart_is_reported_and_not_applied) {
    const auto current = settings::check_fleet(valid_text).settings;
    const auto next =
        settings::check_fleet(with(valid_text, "10.0.0.4:81", "10.0.0.4:82")).settings;
    const settings_difference difference = compare(current, next);
    cr_assert(difference.applied.empty());
    cr_assert(difference.need_restart == std::vector<std::string>{"listen.ready"});
}

Test(settings_reload, changed_stop_timeout_needs_a_restart) {
    const auto with_stop_timeout = [](const std::string& field) {
        return settings::check_fleet(with(valid_text, "first_start", field + "\nfirst_start"))
            .settings;
    };
    const auto current = with_stop_timeout("stop_timeout_s = 7.5");
    const settings_difference difference =
        compare(current, with_stop_timeout("stop_timeout_s = 8"));
    cr_assert(difference.applied.empty());
    cr_assert(difference.need_restart == std::vector<std::string>{"stop_timeout"});
    cr_assert(compare(current, with_stop_timeout("stop_timeout_ms = 7500")).need_restart.empty());
}
