/// Comparison of texts in tests. Criterion's own `cr_expect_str_eq` keeps pointers into its
/// arguments, which dangle when these are temporaries.
#pragma once

#include <string>
#include <string_view>

#include <criterion/criterion.h>

namespace pearbarrow::testing {

/// Expects equal texts and shows both, with the line of the caller, when they differ. (clang-tidy
/// 14 does not know std::source_location.)
inline void expect_text(std::string_view actual, std::string_view expected,
                        const char* file = __builtin_FILE(), unsigned line = __builtin_LINE()) {
    cr_expect(actual == expected, "%s:%u: got '%s', expected '%s'", file, line,
              std::string(actual).c_str(), std::string(expected).c_str());
}

}  // namespace pearbarrow::testing
