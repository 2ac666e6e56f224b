#include "pearbarrow/turns/board_exchange.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/log.h"
#include "pearbarrow/turns/replica_groups.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {

board_exchange::board_exchange(net::event_loop& loop, net::peer_rpc& rpc, const base::clock& clock,
                               dispatch::load_board& board, board_exchange_options options)
    : loop(loop), rpc(rpc), clock(clock), board(board), options(std::move(options)) {
    this->rpc.register_method(wire::load_pull, [this](std::string_view payload, auto responder) {
        this->take_question(payload, std::move(responder));
    });
    this->board.on_report([this] { this->answer_waiting(); });
}

board_exchange::~board_exchange() {
    this->board.on_report(nullptr);
}

void board_exchange::set_view(const directory::storage_view& view) {
    const directory::storage_member* self = view.find(this->options.self);
    const std::uint32_t groups = self == nullptr ? 0 : view.groups;
    std::erase_if(this->questions, [&](const auto& entry) {
        return entry.first >= groups || entry.first == self->group;
    });
    for (std::uint32_t group = 0; group < groups; ++group) {
        if (group == self->group) {
            continue;
        }
        auto sources = this->sources_of(view, group);
        group_question& question = this->questions[group];
        if (question.sources == sources) {
            continue;
        }
        question.sources = std::move(sources);
        question.current = 0;
        question.life = 0;
        this->ask(group);
    }
}

/// Nearest first; among equals each asking member begins with another.
std::vector<directory::storage_member> board_exchange::sources_of(
    const directory::storage_view& view, std::uint32_t group) const {
    std::vector<directory::storage_member> sources = members_of(view, group).members;
    const auto rank = [this](const directory::storage_member& member) {
        return std::make_tuple(
            member.zone != this->options.zone,
            base::stable_hash(this->options.self.value() + "/" + member.node.value()));
    };
    std::sort(sources.begin(), sources.end(),
              [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    return sources;
}

void board_exchange::ask(std::uint32_t group) {
    group_question& question = this->questions.at(group);
    question.next.reset();
    if (question.sources.empty()) {
        // The next view may name some.
        question.call.reset();
        return;
    }
    const directory::storage_member& source = question.sources[question.current];
    const load_pull_request message{.life = question.life, .after = question.through};
    question.call = this->rpc.call(
        source.node, source.address, wire::load_pull, wire::encode(message),
        this->options.hold + this->options.answer_slack,
        {.on_part = nullptr, .on_done = [this, group](const absl::StatusOr<std::string>& payload) {
             this->take_answer(group, payload);
         }});
}

void board_exchange::ask_later(std::uint32_t group, base::milliseconds delay) {
    this->questions.at(group).next = this->loop.after(delay, [this, group] { this->ask(group); });
}

void board_exchange::take_answer(std::uint32_t group, const absl::StatusOr<std::string>& payload) {
    group_question& question = this->questions.at(group);
    auto reply = payload.ok() ? wire::decode<load_pull_reply>(*payload)
                              : absl::StatusOr<load_pull_reply>(payload.status());
    if (!reply.ok()) {
        if (std::exchange(question.was_answered, false)) {
            nlohmann::json fields = base::log_fields(reply.status());
            fields["group"] = group;
            fields["member"] = question.sources[question.current].node.value();
            base::log(base::log_level::info, "load_source_lost", fields);
        }
        question.current = (question.current + 1) % question.sources.size();
        question.life = 0;
        this->ask_later(group, this->options.retry);
        return;
    }
    question.was_answered = true;
    question.life = reply->life;
    question.through = reply->through;
    for (const dispatch::load_report& report : reply->reports) {
        this->board.take_passed_on(report, this->clock.now());
    }
    this->ask_later(group, this->options.pause);
}

void board_exchange::take_question(std::string_view payload,
                                   std::shared_ptr<net::peer_responder> responder) {
    const auto request = wire::decode<load_pull_request>(payload);
    if (!request.ok()) {
        responder->fail(request.status());
        return;
    }
    waiting_question question;
    question.after = request->life == this->options.life ? request->after : 0;
    question.responder = std::move(responder);
    if (this->board.last_report() > question.after) {
        this->answer(question);
        return;
    }
    const auto position = this->waiting.insert(this->waiting.end(), std::move(question));
    position->limit = this->loop.after(this->options.hold, [this, position] {
        this->answer(*position);
        this->waiting.erase(position);
    });
}

void board_exchange::answer(const waiting_question& question) {
    question.responder->finish(
        wire::encode(load_pull_reply{.life = this->options.life,
                                     .through = this->board.last_report(),
                                     .reports = this->board.reports_after(question.after)}));
}

void board_exchange::answer_waiting() {
    for (const waiting_question& question : this->waiting) {
        this->answer(question);
    }
    this->waiting.clear();
}

std::size_t board_exchange::connected_groups() const {
    return static_cast<std::size_t>(
        std::count_if(this->questions.begin(), this->questions.end(),
                      [](const auto& entry) { return entry.second.was_answered; }));
}

}  // namespace pearbarrow::turns
