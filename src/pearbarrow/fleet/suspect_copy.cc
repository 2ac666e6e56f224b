#include "pearbarrow/fleet/suspect_copy.h"

#include <utility>
#include <vector>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/base/log.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::fleet {
namespace {

std::uint64_t hash_without_ages(suspects::suspect known) {
    known.trial_age_ms = 0;
    for (std::vector<suspects::suspected_end>* list : {&known.ends, &known.unproved}) {
        for (suspects::suspected_end& end : *list) {
            end.age_ms = 0;
            end.sent_age_ms = 0;
        }
    }
    return base::stable_hash(wire::encode(known));
}

}  // namespace

void suspect_copy::restore() {
    std::vector<suspects::suspect> restored;
    for (const turns::suspect_entry& entry : this->store.read_suspects()) {
        auto known = wire::decode<suspects::suspect>(entry.value);
        if (!known.ok()) {
            base::log(base::log_level::error, "suspect_copy_unreadable",
                      base::log_fields(known.status()));
            continue;
        }
        this->stored[entry.digest] = hash_without_ages(*known);
        restored.push_back(*std::move(known));
    }
    if (!restored.empty()) {
        base::log(base::log_level::info, "suspects_restored", {{"suspects", restored.size()}});
    }
    this->exchange.restore(restored);
}

void suspect_copy::on_changed(const std::string& digest) {
    const auto known = this->exchange.table().find(digest, this->clock.now());
    if (!known.has_value()) {
        return;
    }
    const std::uint64_t hash = hash_without_ages(*known);
    const auto [at, is_new] = this->stored.try_emplace(digest, hash);
    if (!is_new && at->second == hash) {
        return;
    }
    at->second = hash;
    this->write({.digest = digest, .value = wire::encode(*known)});
}

void suspect_copy::on_expired() {
    for (auto at = this->stored.begin(); at != this->stored.end();) {
        const auto current = at++;
        if (!this->exchange.table().find(current->first, this->clock.now()).has_value()) {
            this->write({.digest = current->first, .value = {}});
            this->stored.erase(current);
        }
    }
}

void suspect_copy::write(turns::suspect_entry entry) {
    turns::store_change change;
    change.suspects.push_back(std::move(entry));
    this->store.write(std::move(change), [](const absl::Status& /*status*/) {
        // The store logs a failed write itself. The other members have a copy.
    });
}

}  // namespace pearbarrow::fleet
