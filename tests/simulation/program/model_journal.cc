#include "model_journal.h"

#include <algorithm>

namespace pearbarrow::simulation {

namespace {

constexpr std::uint64_t max_delay_us = 4'000;

}  // namespace

model_journal::recovery model_journal::open_term() {
    ++term_;
    term_begin_ = log_.size();
    recovery found{.term = term_, .snapshot = snapshot_, .payloads = {}};
    for (std::size_t i = replay_begin_; i < log_.size(); ++i) {
        found.payloads.push_back(log_[i].payload);
    }
    return found;
}

base::instant model_journal::arrival() {
    const base::instant sent = std::max(queue_.now(), blocked_until_);
    last_arrival_ = std::max(last_arrival_ + base::microseconds(1),
                             sent + base::microseconds(random_.below(max_delay_us)));
    return last_arrival_;
}

void model_journal::append(std::uint64_t term, entry record, std::function<void(bool)> done) {
    queue_.at(arrival(), [this, term, record = std::move(record), done = std::move(done)] {
        const bool current = term == term_;
        if (current) {
            log_.push_back(record);
        }
        last_reply_time_ = std::max(last_reply_time_ + base::microseconds(1),
                                    queue_.now() + base::microseconds(random_.below(max_delay_us)));
        queue_.at(last_reply_time_, [current, done] { done(current); });
    });
}

void model_journal::confirm(std::uint64_t term, std::function<void(bool)> done) {
    queue_.at(arrival(), [this, term, done = std::move(done)] { done(term == term_); });
}

std::vector<std::string> model_journal::retained(const std::string& prefix) const {
    std::vector<std::string> payloads;
    for (const entry& record : log_) {
        if (!record.key.empty() && record.key.starts_with(prefix)) {
            payloads.push_back(record.payload);
        }
    }
    return payloads;
}

void model_journal::drop(const std::string& prefix) {
    for (entry& record : log_) {
        if (record.key.starts_with(prefix)) {
            record.key.clear();
        }
    }
}

void model_journal::snapshot(std::uint64_t term, std::uint64_t through, std::string payload) {
    if (term != term_) {
        return;
    }
    snapshot_ = std::move(payload);
    replay_begin_ = term_begin_ + through;
}

}  // namespace pearbarrow::simulation
