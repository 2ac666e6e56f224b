#include "pearbarrow/config/log_core.h"

#include "pearbarrow/base/status.h"

#include <criterion/criterion.h>

namespace config = pearbarrow::config;
namespace base = pearbarrow::base;

namespace {

using base::milliseconds;

config::change label_change(std::string id, std::uint64_t base_version, std::string author) {
    const config::object pool{"p1", {{"by", author}}, config::pool_spec{base::model_name("m")}};
    return {std::move(id),
            base::config_version(base_version),
            std::move(author),
            {config::put_object{pool}}};
}

config::log_entry entry(std::uint64_t version, std::string id, std::string author = "other") {
    return {base::config_version(version), label_change(std::move(id), version - 1, author)};
}

template <typename Action>
const Action* first(const std::vector<config::log_action>& actions) {
    for (const config::log_action& each : actions) {
        if (const auto* found = std::get_if<Action>(&each)) {
            return found;
        }
    }
    return nullptr;
}

absl::Status store_error(base::executed executed) {
    return base::make_error(absl::StatusCode::kUnavailable, "down",
                            {.step = "commit", .was_executed = executed});
}

struct fixture {
    base::random_source random{1};
    config::log_core core{{.self = base::node_id("n1")}, config::configuration::empty(), random};
    base::instant now{};

    std::vector<config::log_action> apply(const config::log_event& event) {
        return core.apply(event, now);
    }
    /// Proposes a change and returns the request id of the transaction.
    std::uint64_t propose(const config::change& change, std::uint64_t token) {
        const auto actions = apply(config::propose{token, change});
        cr_assert_not_null(first<config::create_entry>(actions));
        return first<config::create_entry>(actions)->request;
    }
};

}  // namespace

Test(log_core, proposal_is_accepted_when_its_entry_exists) {
    fixture node;
    const auto request = node.propose(label_change("c1", 0, "maria"), 7);
    cr_assert_eq(node.core.current()->version().value(), 0);
    const auto actions = node.apply(config::entry_created{request, absl::OkStatus()});
    const auto* done = first<config::proposal_done>(actions);
    cr_assert_not_null(done);
    cr_assert_eq(done->token, 7);
    cr_assert_eq(done->result->value(), 1);
    cr_assert_eq(node.core.current()->version().value(), 1);
}

Test(log_core, conflict_names_accepted_change) {
    fixture node;
    const auto request = node.propose(label_change("c1", 0, "maria"), 7);
    auto actions =
        node.apply(config::entry_created{request, absl::AlreadyExistsError("entry 1 is there")});
    const auto* read = first<config::read_log>(actions);
    cr_assert_not_null(read);
    actions = node.apply(
        config::log_read{.request = read->request, .entries = {entry(1, "c9", "kenji")}});
    const auto* done = first<config::proposal_done>(actions);
    cr_assert_not_null(done);
    cr_assert(absl::IsAborted(done->result.status()));
    cr_assert_eq(base::details_of(done->result.status()).reason, "config_conflict");
    cr_assert(base::details_of(done->result.status()).was_executed == base::executed::no);
    cr_assert(std::string(done->result.status().message()).find("kenji") != std::string::npos);
}

Test(log_core, lost_reply_is_resolved_by_reading_entry) {
    fixture node;
    const auto request = node.propose(label_change("c1", 0, "maria"), 7);
    auto actions = node.apply(config::entry_created{request, store_error(base::executed::unknown)});
    const auto* read = first<config::read_log>(actions);
    cr_assert_not_null(read);
    actions = node.apply(
        config::log_read{.request = read->request, .entries = {entry(1, "c1", "maria")}});
    cr_assert(first<config::proposal_done>(actions)->result.ok());
}

Test(log_core, outage_reports_retry_delay_or_unknown_outcome) {
    fixture node;
    const auto rejected_request = node.propose(label_change("c1", 0, "maria"), 1);
    node.apply(config::entry_created{rejected_request, store_error(base::executed::no)});
    node.now += milliseconds(6'000);
    auto actions = node.apply(config::log_tick{});
    const auto* done = first<config::proposal_done>(actions);
    cr_assert_not_null(done);
    auto details = base::details_of(done->result.status());
    cr_assert_eq(details.reason, "config_store_unavailable");
    cr_assert(details.was_executed == base::executed::no);
    cr_assert(details.retry_after.has_value());

    const auto unresolved_request = node.propose(label_change("c2", 0, "maria"), 2);
    node.apply(config::entry_created{unresolved_request, store_error(base::executed::unknown)});
    node.now += milliseconds(6'000);
    actions = node.apply(config::log_tick{});
    done = first<config::proposal_done>(actions);
    cr_assert_not_null(done);
    details = base::details_of(done->result.status());
    cr_assert_eq(details.reason, "config_outcome_unknown");
    cr_assert(details.was_executed == base::executed::unknown);
}

Test(log_core, repeated_change_id_returns_same_version) {
    fixture node;
    const auto request = node.propose(label_change("c1", 0, "maria"), 1);
    node.apply(config::entry_created{request, absl::OkStatus()});
    const auto actions = node.apply(config::propose{2, label_change("c1", 0, "maria")});
    cr_assert_null(first<config::create_entry>(actions));
    cr_assert_eq(first<config::proposal_done>(actions)->result->value(), 1);
}

Test(log_core, invalid_change_is_rejected_before_write) {
    fixture node;
    config::change bad = label_change("c1", 0, "maria");
    bad.operations = {config::set_label{{config::object_kind::pool, "none"}, "a", "b"}};
    const auto actions = node.apply(config::propose{1, bad});
    cr_assert_null(first<config::create_entry>(actions));
    cr_assert(absl::IsInvalidArgument(first<config::proposal_done>(actions)->result.status()));
}

Test(log_core, follower_rereads_log_after_watch_ends) {
    fixture node;
    auto actions = node.apply(config::follower_changed{true});
    const auto read = first<config::read_log>(actions)->request;
    actions = node.apply(config::log_read{
        .request = read, .entries = {entry(1, "c1")}, .revision = 40, .stored_entries = 1});
    const auto* watch = first<config::watch_log>(actions);
    cr_assert_not_null(watch);
    cr_assert_eq(watch->from_revision, 41);
    const auto watch_request = watch->request;
    actions = node.apply(config::watch_delivered{watch_request, {entry(2, "c2")}});
    cr_assert_eq(node.core.current()->version().value(), 2);
    // The log is read again after a gap.
    actions = node.apply(config::watch_delivered{watch_request, {entry(4, "c4")}});
    cr_assert_eq(node.core.current()->version().value(), 2);
    cr_assert_not_null(first<config::read_log>(actions));
}

Test(log_core, lagging_node_fetches_from_peer_and_version_never_decreases) {
    fixture node;
    auto actions =
        node.apply(config::peer_version_seen{base::node_id("n2"), base::config_version(2)});
    const auto* fetch = first<config::fetch_from_peer>(actions);
    cr_assert_not_null(fetch);
    cr_assert_eq(fetch->peer.value(), "n2");
    node.apply(config::peer_answered{.request = fetch->request,
                                     .entries = {entry(1, "c1"), entry(2, "c2")}});
    cr_assert_eq(node.core.current()->version().value(), 2);
    node.apply(config::peer_answered{
        .request = fetch->request,
        .snapshot = config::configuration::make(base::config_version(1), {})});
    cr_assert_eq(node.core.current()->version().value(), 2);
    cr_assert_eq(node.core.entries_after(base::config_version(1)).entries.size(), 1);
    cr_assert_eq(node.core.entries_after(base::config_version(2)).entries.size(), 0);
}

Test(log_core, unresponsive_peer_is_replaced_by_another) {
    fixture node;
    node.apply(config::peer_version_seen{base::node_id("n2"), base::config_version(2)});
    node.apply(config::peer_version_seen{base::node_id("n3"), base::config_version(2)});
    node.now += milliseconds(1'500);
    const auto actions = node.apply(config::log_tick{});
    const auto* fetch = first<config::fetch_from_peer>(actions);
    cr_assert_not_null(fetch);
    cr_assert_eq(fetch->peer.value(), "n3");
}

Test(log_core, diverging_entry_is_reported_and_not_applied) {
    fixture node;
    auto actions = node.apply(config::follower_changed{true});
    actions = node.apply(config::log_read{.request = first<config::read_log>(actions)->request,
                                          .entries = {entry(1, "c1")}});
    const auto watch = first<config::watch_log>(actions)->request;
    actions = node.apply(config::watch_delivered{watch, {entry(1, "x1")}});
    cr_assert_not_null(first<config::config_diverged>(actions));
    cr_assert_eq(node.core.current()->last_change_id(), "c1");
}
