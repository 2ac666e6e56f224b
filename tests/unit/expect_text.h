/// Comparison of texts in tests. Criterion's own `cr_expect_str_eq` keeps pointers into its
/// arguments, which dangle when these are temporaries.
#pragma once

#include <source_location>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

namespace pearbarrow::testing {

/// Expects equal texts and shows both, with the line of the caller, when they differ.
inline void expect_text(std::string_view actual, std::string_view expected,
                        std::source_location where = std::source_location::current()) {
    cr_expect(actual == expected, "%s:%u: got '%s', expected '%s'", where.file_name(),
              static_cast<unsigned>(where.line()), std::string(actual).c_str(),
              std::string(expected).c_str());
}

}  // namespace pearbarrow::testing
