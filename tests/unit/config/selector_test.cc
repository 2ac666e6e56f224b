#include "pearbarrow/config/selector.h"

#include <string>

#include <criterion/criterion.h>

namespace config = pearbarrow::config;

namespace {

bool matches(std::string_view text, const config::label_set& labels) {
    const auto parsed = config::parse_selector(text);
    cr_assert(parsed.ok(), "%s", std::string(parsed.status().message()).c_str());
    return parsed->matches(labels);
}

std::string error_of(std::string_view text) {
    const auto parsed = config::parse_selector(text);
    cr_assert_not(parsed.ok(), "'%s' must be rejected", std::string(text).c_str());
    return std::string(parsed.status().message());
}

const config::label_set burgundy{{"tier", "gold"}, {"shop", "burgundy"}, {"empty", ""}};

}  // namespace

Test(selector, matches_each_operator) {
    cr_assert(matches("", burgundy));
    cr_assert(matches("tier=gold", burgundy));
    cr_assert(matches("tier==gold , shop != rhone", burgundy));
    cr_assert_not(matches("tier!=gold", burgundy));
    cr_assert(matches("absent!=x", burgundy));
    cr_assert(matches("tier in (silver, gold)", burgundy));
    cr_assert_not(matches("absent in (x)", burgundy));
    cr_assert(matches("absent notin (x)", burgundy));
    cr_assert_not(matches("tier notin (gold)", burgundy));
    cr_assert(matches("shop", burgundy));
    cr_assert(matches("!absent", burgundy));
    cr_assert_not(matches("!shop", burgundy));
    cr_assert(matches("empty=", burgundy));
    cr_assert(matches("example.com/team!=a,in,notin", {{"in", "1"}, {"notin", "2"}}));
}

Test(selector, errors_name_position) {
    cr_assert_eq(error_of("tier in gold"), "position 9: expected '(', found 'g'");
    cr_assert_eq(error_of("tier=gold shop"), "position 11: expected ',' or the end, found 's'");
    cr_assert_eq(error_of("tier=gold,"), "position 11: expected a label key, found the end");
    cr_assert_eq(error_of("a in (b"), "position 8: expected ',' or ')', found the end");
    cr_assert_eq(error_of("=x"), "position 1: expected a label key, found '='");
    cr_assert(error_of("-a").find("position 1") == 0);
    cr_assert(error_of("a=-b").find("position 3") == 0);
}

Test(selector, canonical_text_round_trips) {
    for (const char* text : {"a=b", "a!=b", "a in (b, c)", "a notin (b, c)", "a", "!a",
                             "a=b,!c,d in (e, f)", "a=", ""}) {
        const auto parsed = config::parse_selector(text);
        cr_assert(parsed.ok());
        cr_assert_eq(config::to_string(*parsed), text);
        cr_assert(*config::parse_selector(config::to_string(*parsed)) == *parsed);
    }
}

Test(selector, first_unmet_requirement_is_returned) {
    const auto parsed = config::parse_selector("tier=gold,shop=rhone,x");
    cr_assert(parsed.ok());
    const config::requirement* unmet = parsed->first_unmet(burgundy);
    cr_assert_not_null(unmet);
    cr_assert_eq(config::to_string(*unmet), "shop=rhone");
}

Test(labels, invalid_keys_and_values_are_rejected) {
    cr_assert(config::check_label_key("example.com/a.b_c-d").ok());
    cr_assert_not(config::check_label_key("Example.com/a").ok());
    cr_assert_not(config::check_label_key("a/").ok());
    cr_assert_not(config::check_label_key(std::string(64, 'a')).ok());
    cr_assert(config::check_label_value("").ok());
    cr_assert(config::check_label_value(std::string(63, 'a')).ok());
    cr_assert_not(config::check_label_value(std::string(64, 'a')).ok());
    cr_assert_not(config::check_label_value("a b").ok());
}
