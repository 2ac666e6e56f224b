#include "pearbarrow/emulator/answer_text.h"

#include "pearbarrow/base/tokens.h"
#include "pearbarrow/emulator/prompt_blocks.h"

#include <criterion/criterion.h>

using namespace pearbarrow;
using namespace pearbarrow::emulator;

namespace {

const std::vector<backend::chat_message> conversation{{"system", "You sell wine."},
                                                      {"user", "A red for lamb?"}};

answer_text answer_of(const char* attempt) {
    return {conversation_digest(conversation), base::attempt_id(attempt)};
}

}  // namespace

Test(answer_text, a_token_is_four_bytes) {
    const std::string text = answer_of("a").tokens(1, 50);
    cr_assert_eq(text.size(), 200);
    cr_assert_eq(base::estimate_tokens(text), 50);
}

Test(answer_text, every_start_of_an_answer_is_recognised) {
    const std::uint64_t digest = conversation_digest(conversation);
    for (std::uint64_t tokens = 1; tokens < 40; ++tokens) {
        cr_assert(is_whole_answer(answer_of("a").tokens(1, tokens), digest));
    }
}

Test(answer_text, lost_doubled_and_spliced_tokens_are_found) {
    const std::uint64_t digest = conversation_digest(conversation);
    const answer_text first = answer_of("a");
    const answer_text second = answer_of("b");
    cr_assert_not(is_whole_answer(first.tokens(1, 10) + first.tokens(12, 20), digest));
    cr_assert_not(is_whole_answer(first.tokens(1, 10) + first.tokens(10, 20), digest));
    cr_assert_not(is_whole_answer(first.tokens(1, 10) + second.tokens(11, 20), digest));
    cr_assert_not(is_whole_answer(first.tokens(2, 20), digest));
}

Test(answer_text, another_history_gives_another_answer) {
    auto changed = conversation;
    changed.pop_back();
    cr_assert_not(is_whole_answer(answer_of("a").tokens(1, 20), conversation_digest(changed)));
    changed = conversation;
    std::swap(changed[0], changed[1]);
    cr_assert_neq(conversation_digest(changed), conversation_digest(conversation));
}

Test(prompt_blocks, the_next_turn_starts_with_the_whole_sequence) {
    const std::string answer = answer_of("a").tokens(1, 40);
    const cache_namespace space{"pearl-8b", "1", ""};
    const auto first = hash_blocks(space, render_sequence(conversation, answer));
    auto longer = conversation;
    longer.push_back({"assistant", answer});
    longer.push_back({"user", "And for fish?"});
    const auto second = hash_blocks(space, render_sequence(longer, ""));
    cr_assert_gt(second.size(), first.size());
    cr_assert(std::equal(first.begin(), first.end(), second.begin()));
}

Test(prompt_blocks, rendered_length_is_the_token_count) {
    const std::string rendered = render_sequence(conversation, "");
    cr_assert_eq(rendered.size() / base::bytes_per_token,
                 backend::count_prompt_tokens(conversation));
}

Test(prompt_blocks, models_and_adapters_do_not_share) {
    const std::string rendered = render_sequence(conversation, std::string(400, 'x'));
    const auto plain = hash_blocks({"pearl-8b", "1", ""}, rendered);
    cr_assert_neq(plain[0], hash_blocks({"pearl-8b", "2", ""}, rendered)[0]);
    cr_assert_neq(plain[0], hash_blocks({"pearl-8b", "1", "wine"}, rendered)[0]);
}
