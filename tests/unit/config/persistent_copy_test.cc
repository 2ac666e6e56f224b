#include "pearbarrow/config/persistent_copy.h"

#include <filesystem>

#include "pearbarrow/base/random.h"

#include <criterion/criterion.h>

namespace config = pearbarrow::config;
namespace base = pearbarrow::base;

Test(persistent_copy, copy_round_trips_and_torn_file_is_detected) {
    const auto folder = std::filesystem::temp_directory_path() /
                        ("pearbarrow-copy-" + std::to_string(base::random_source::system_seed()));
    std::filesystem::create_directories(folder);
    const auto file = folder / "configuration";
    cr_assert(absl::IsNotFound(config::load_copy(file).status()));
    const auto made = config::configuration::make(
        base::config_version(9), {{"p1", {}, config::pool_spec{base::model_name("m")}}});
    cr_assert(config::save_copy(file, *made).ok());
    const auto loaded = config::load_copy(file);
    cr_assert(loaded.ok());
    cr_assert_eq((*loaded)->version().value(), 9);
    cr_assert_eq((*loaded)->digest(), made->digest());
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 5);
    cr_assert(absl::IsDataLoss(config::load_copy(file).status()));
    cr_assert_not(config::save_copy(folder / "none" / "configuration", *made).ok());
    std::filesystem::remove_all(folder);
}
