#include "pearbarrow/turns/load_report_exchange.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/log.h"
#include "pearbarrow/turns/replica_groups.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::turns {

load_report_exchange::load_report_exchange(net::event_loop& loop, net::peer_rpc& rpc,
                                           const base::clock& clock,
                                           dispatch::load_table& load_table,
                                           load_report_exchange_options options)
    : loop(loop), rpc(rpc), clock(clock), load_table(load_table), options(std::move(options)) {
    this->rpc.register_method(wire::load_pull, [this](std::string_view payload, auto responder) {
        this->on_poll_request(payload, std::move(responder));
    });
    this->load_table.on_report([this] { this->reply_to_pending(); });
}

load_report_exchange::~load_report_exchange() {
    this->load_table.on_report(nullptr);
}

void load_report_exchange::set_view(const directory::storage_view& view) {
    const directory::storage_member* self = view.find(this->options.self);
    const std::uint32_t groups = self == nullptr ? 0 : view.groups;
    std::erase_if(this->group_polls, [&](const auto& entry) {
        return entry.first >= groups || entry.first == self->group;
    });
    for (std::uint32_t group = 0; group < groups; ++group) {
        if (group == self->group) {
            continue;
        }
        auto sources = this->sources_of(view, group);
        group_poll& poll_state = this->group_polls[group];
        if (poll_state.sources == sources) {
            continue;
        }
        poll_state.sources = std::move(sources);
        poll_state.current = 0;
        poll_state.incarnation = 0;
        this->poll(group);
    }
}

/// Sorts members of the own zone first. The hash order differs between polling members, which
/// spreads them over the sources.
std::vector<directory::storage_member> load_report_exchange::sources_of(
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

void load_report_exchange::poll(std::uint32_t group) {
    group_poll& poll_state = this->group_polls.at(group);
    poll_state.next_poll.reset();
    if (poll_state.sources.empty()) {
        // Polling resumes when a view with members of this group arrives.
        poll_state.call.reset();
        return;
    }
    const directory::storage_member& source = poll_state.sources[poll_state.current];
    const load_pull_request message{.incarnation = poll_state.incarnation,
                                    .after = poll_state.through};
    poll_state.call = this->rpc.call(
        source.node, source.address, wire::load_pull, wire::encode(message),
        this->options.long_poll_timeout + this->options.reply_slack,
        {.on_part = nullptr, .on_done = [this, group](const absl::StatusOr<std::string>& payload) {
             this->on_poll_reply(group, payload);
         }});
}

void load_report_exchange::schedule_poll(std::uint32_t group, base::milliseconds delay) {
    this->group_polls.at(group).next_poll =
        this->loop.after(delay, [this, group] { this->poll(group); });
}

void load_report_exchange::on_poll_reply(std::uint32_t group,
                                         const absl::StatusOr<std::string>& payload) {
    group_poll& poll_state = this->group_polls.at(group);
    auto reply = payload.ok() ? wire::decode<load_pull_reply>(*payload)
                              : absl::StatusOr<load_pull_reply>(payload.status());
    if (!reply.ok()) {
        if (std::exchange(poll_state.is_connected, false)) {
            nlohmann::json fields = base::log_fields(reply.status());
            fields["group"] = group;
            fields["member"] = poll_state.sources[poll_state.current].node.value();
            base::log(base::log_level::info, "load_source_lost", fields);
        }
        poll_state.current = (poll_state.current + 1) % poll_state.sources.size();
        poll_state.incarnation = 0;
        this->schedule_poll(group, this->options.retry_interval);
        return;
    }
    poll_state.is_connected = true;
    poll_state.incarnation = reply->incarnation;
    poll_state.through = reply->through;
    for (const dispatch::load_report& report : reply->reports) {
        this->load_table.apply_forwarded_report(report, this->clock.now());
    }
    this->schedule_poll(group, this->options.poll_interval);
}

void load_report_exchange::on_poll_request(std::string_view payload,
                                           std::shared_ptr<net::peer_responder> responder) {
    const auto request = wire::decode<load_pull_request>(payload);
    if (!request.ok()) {
        responder->fail(request.status());
        return;
    }
    pending_poll pending;
    pending.after = request->incarnation == this->options.incarnation ? request->after : 0;
    pending.responder = std::move(responder);
    if (this->load_table.last_report() > pending.after) {
        this->reply_to(pending);
        return;
    }
    pending.responder->mark_as_long_poll();
    const auto position = this->pending_polls.insert(this->pending_polls.end(), std::move(pending));
    position->timeout = this->loop.after(this->options.long_poll_timeout, [this, position] {
        this->reply_to(*position);
        this->pending_polls.erase(position);
    });
}

void load_report_exchange::reply_to(const pending_poll& pending) {
    pending.responder->finish(
        wire::encode(load_pull_reply{.incarnation = this->options.incarnation,
                                     .through = this->load_table.last_report(),
                                     .reports = this->load_table.reports_after(pending.after)}));
}

void load_report_exchange::reply_to_pending() {
    for (const pending_poll& pending : this->pending_polls) {
        this->reply_to(pending);
    }
    this->pending_polls.clear();
}

std::size_t load_report_exchange::connected_groups() const {
    return static_cast<std::size_t>(
        std::count_if(this->group_polls.begin(), this->group_polls.end(),
                      [](const auto& entry) { return entry.second.is_connected; }));
}

}  // namespace pearbarrow::turns
