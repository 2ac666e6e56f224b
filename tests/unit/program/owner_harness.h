/// Drives one `shard_owner` with an in-memory journal, for unit tests.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "pearbarrow/program/shard_owner.h"

namespace pearbarrow::program {

inline base::tenant_id tenant(const std::string& name = "acme") {
    return base::tenant_id(name);
}
inline base::program_id program(const std::string& name = "p1") {
    return base::program_id(name);
}
inline const base::backend_id engine_one("engine-1");
inline const base::backend_id tool_one("tool-1");

inline wire::call_body model_body(const std::string& text, std::uint64_t max_output = 100) {
    wire::call_body body;
    body.model = wire::model_call{.model = base::model_name("m"),
                                  .new_messages = {{.role = "user", .content = text, .name = {}}},
                                  .max_output_tokens = max_output,
                                  .parameters_json = {}};
    return body;
}

inline wire::call_body tool_body(bool repeatable = false, std::uint64_t cost = 10) {
    wire::call_body body;
    body.tool = wire::tool_call{.tool = base::tool_name("hold"),
                                .arguments_json = "{}",
                                .repeatable = repeatable,
                                .declared_cost = cost};
    return body;
}

/// One committed record of the journal.
struct journal_entry {
    std::string payload;
    std::string key;
};

class owner_harness {
  public:
    explicit owner_harness(owner_options options = {}) : options_(options), owner_(options) {
        apply(event::journal_recovered{});
    }

    bool auto_commit = true;
    bool auto_grant = true;
    std::vector<journal_entry> journal;
    std::vector<shard_action> actions;

    base::instant now() const { return now_; }

    /// Applies an event and executes the resulting actions. `auto_commit` and `auto_grant` control
    /// whether records are committed and offers are granted.
    void apply(const shard_event& event) {
        std::vector<shard_action> pending = owner_.apply(event, now_);
        for (const shard_action& action : pending) {
            actions.push_back(action);
        }
        for (const shard_action& action : pending) {
            execute(action);
        }
        if (auto_commit && appended_ > committed_) {
            commit();
        }
    }

    void commit() {
        committed_ = appended_;
        for (journal_entry& entry : uncommitted_) {
            journal.push_back(std::move(entry));
        }
        uncommitted_.clear();
        apply(event::records_committed{committed_});
    }

    /// Advances the clock in steps of 50 ms.
    void pass(base::milliseconds span) {
        constexpr base::milliseconds step{50};
        for (base::milliseconds passed{0}; passed < span; passed += step) {
            now_ += step;
            apply(event::tick{});
        }
    }

    /// Replaces the owner by a new one. Uncommitted records are lost.
    void take_over(const std::string& snapshot = {}, std::size_t skip = 0) {
        owner_ = shard_owner(options_);
        actions.clear();
        uncommitted_.clear();
        appended_ = committed_ = 0;
        std::vector<std::string> payloads;
        for (std::size_t i = skip; i < journal.size(); ++i) {
            payloads.push_back(journal[i].payload);
        }
        apply(event::journal_recovered{snapshot, payloads});
    }

    reply_token request(wire::program_request request) {
        const reply_token token(++last_token_);
        apply(event::request_received{token, std::move(request)});
        return token;
    }

    reply_token open(std::uint64_t budget = 10'000, const base::program_id& id = program(),
                     wire::program_limits limits = {}) {
        wire::program_request request{.tenant = tenant(), .program = id};
        request.open = wire::open_program_request{
            .program_class = "class", .token_budget = budget, .limits = limits};
        return this->request(std::move(request));
    }

    reply_token submit(std::uint64_t number, const wire::call_body& body,
                       const base::program_id& id = program(), const std::string& last_event = {}) {
        wire::program_request request{.tenant = tenant(), .program = id};
        request.submit = wire::submit_call_request{.number = base::call_number(number),
                                                   .body = body,
                                                   .stream = true,
                                                   .last_event_id = last_event};
        return this->request(std::move(request));
    }

    wire::program_view view(const base::program_id& id = program()) {
        wire::program_request request{.tenant = tenant(), .program = id};
        request.get = wire::get_program_request{};
        return reply_of(this->request(std::move(request))).program.value();
    }

    reply_token end(const base::program_id& id = program()) {
        wire::program_request request{.tenant = tenant(), .program = id};
        request.end = wire::end_program_request{};
        return this->request(std::move(request));
    }

    /// Finishes `attempt` with the output `text`, one token per byte.
    void generate(const base::attempt_id& attempt, const std::string& text,
                  std::uint64_t prompt_tokens = 20) {
        part(attempt, text.size(), text);
        apply(event::model_finished{
            attempt,
            {.prompt_tokens = prompt_tokens, .cached_tokens = 0, .generated_tokens = text.size()},
            "stop"});
    }
    void part(const base::attempt_id& attempt, std::uint64_t index, const std::string& text) {
        apply(event::model_part{attempt, index, text});
    }

    template <typename Action>
    std::vector<Action> all() const {
        std::vector<Action> found;
        for (const shard_action& action : actions) {
            if (const auto* match = std::get_if<Action>(&action)) {
                found.push_back(*match);
            }
        }
        return found;
    }
    template <typename Action>
    Action last() const {
        return all<Action>().back();
    }

    bool has_reply(reply_token token) const {
        return errors_.contains(token) || replies_.contains(token);
    }
    wire::program_reply reply_of(reply_token token) const { return replies_.at(token); }
    base::error_details error_of(reply_token token) const {
        return errors_.contains(token) ? base::details_of(errors_.at(token))
                                       : base::error_details{};
    }
    /// Returns the text that a streaming reader has after all parts and restarts.
    std::string streamed(reply_token token) const {
        std::string text;
        for (const auto& part : all<action::reply_part>()) {
            if (part.token == token) {
                text = part.part.restart ? part.part.text : text + part.part.text;
            }
        }
        return text;
    }
    const shard_owner& owner() const { return owner_; }

  private:
    void execute(const shard_action& action) {
        if (const auto* append = std::get_if<action::append_record>(&action)) {
            appended_ = append->sequence;
            uncommitted_.push_back({append->payload, append->retention_key});
        } else if (const auto* offer = std::get_if<action::offer_call>(&action)) {
            if (auto_grant) {
                apply(event::placement_granted{
                    offer->offer, offer->call.tool ? tool_one : engine_one, "decision"});
            }
        } else if (const auto* read = std::get_if<action::read_retained>(&action)) {
            std::vector<std::string> payloads;
            for (const journal_entry& entry : journal) {
                if (!entry.key.empty() && entry.key.starts_with(read->key_prefix)) {
                    payloads.push_back(entry.payload);
                }
            }
            apply(event::retained_read{read->program, payloads});
        } else if (const auto* reply = std::get_if<action::reply_final>(&action)) {
            replies_[reply->token] = reply->reply;
        } else if (const auto* error = std::get_if<action::reply_error>(&action)) {
            errors_[error->token] = error->status;
        }
    }

    owner_options options_;
    shard_owner owner_;
    base::instant now_{base::seconds(1'000)};
    std::uint64_t last_token_ = 0;
    append_sequence appended_ = 0;
    append_sequence committed_ = 0;
    std::vector<journal_entry> uncommitted_;
    std::map<reply_token, wire::program_reply> replies_;
    std::map<reply_token, absl::Status> errors_;
};

}  // namespace pearbarrow::program
