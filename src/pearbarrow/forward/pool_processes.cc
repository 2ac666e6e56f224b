// Which process a connection to a back end leads to.
#include <algorithm>

#include "pearbarrow/forward/backend_pool.h"

namespace pearbarrow::forward {

void backend_pool::on_process_heard(const directory::backend_incarnation& incarnation,
                                    base::instant first_heard_at, base::instant now) {
    if (const auto found = find(incarnation); found != entries_.end()) {
        found->second.process.on_heard(options_.evidence, first_heard_at, now);
    }
}

void backend_pool::on_process_stated(const directory::backend_incarnation& incarnation,
                                     base::instant now) {
    if (const auto found = find(incarnation); found != entries_.end()) {
        found->second.process.on_stated(now);
    }
}

void backend_pool::on_process_doubted(const directory::backend_incarnation& incarnation,
                                      base::instant now) {
    if (const auto found = find(incarnation); found != entries_.end()) {
        found->second.process.on_doubt(now);
    }
}

void backend_pool::on_process_doubted(dispatch::backend_key backend, base::instant now) {
    if (const auto found = by_key_.find(backend); found != by_key_.end()) {
        found->second->process.on_doubt(now);
    }
}

bool backend_pool::was_process_proven(const directory::backend& backend,
                                      base::instant first_heard_at, base::instant now) const {
    const auto found = entries_.find(backend.id);
    if (found == entries_.end()) {
        return false;
    }
    const auto describes = [&](const directory::backend& entry) {
        return entry.incarnation() == backend.incarnation() && entry.version == backend.version;
    };
    const auto proves = [&](const process_evidence& process, base::instant at) {
        return process.covers(options_.evidence, first_heard_at) &&
               process.is_proven(options_.evidence, at);
    };
    const pool_entry& entry = found->second;
    if (describes(entry.backend)) {
        return proves(entry.process, now);
    }
    return entry.replaced.has_value() && describes(entry.replaced->backend) &&
           proves(entry.replaced->process, entry.replaced->at);
}

bool backend_pool::has_proven_process(const pool_entry& entry, base::instant now) const {
    return entry.process.is_proven(options_.evidence, now) &&
           !entry.process.may_have_ended(options_.evidence) &&
           (entry.process.is_recent(options_.evidence, now) || is_connected(entry, now));
}

bool backend_pool::accepts_process(const pool_entry& entry, const choice_request& request,
                                   base::instant now) const {
    if (!request.requires_proof || has_proven_process(entry, now)) {
        return true;
    }
    return request.accepts_unstated && entry.backend.started_at == 0;
}

bool backend_pool::may_use_connection(const directory::backend_incarnation& incarnation,
                                      const choice_request& request, base::instant first_heard_at,
                                      base::instant now) const {
    const auto found = entries_.find(incarnation.id);
    if (found == entries_.end() || !(found->second.backend.incarnation() == incarnation)) {
        return false;
    }
    const pool_entry& entry = found->second;
    const bool is_proven = entry.process.covers(options_.evidence, first_heard_at) &&
                           entry.process.is_proven(options_.evidence, now) &&
                           !entry.process.may_have_ended(options_.evidence);
    return is_proven || (request.accepts_unstated && entry.backend.started_at == 0);
}

std::vector<directory::backend> backend_pool::unproven_backends(const choice_request& request,
                                                                std::size_t most,
                                                                base::instant deadline,
                                                                base::instant now) const {
    choice_request without_proof = request;
    without_proof.requires_proof = false;
    without_proof.avoids_failures = false;
    const std::size_t preferred = preferred_count(request.service, now);
    std::vector<directory::backend> found;
    for (const candidate_entry& item : candidates(without_proof, preferred, now)) {
        const process_evidence& process = item.entry->process;
        const auto proven_at = process.proven_at(options_.evidence);
        const bool is_in_time = proven_at.has_value() && *proven_at <= deadline &&
                                !process.may_have_ended(options_.evidence) &&
                                process.is_recent(options_.evidence, now);
        const bool states_start = item.entry->backend.started_at != 0;
        if (found.size() < most && (is_in_time || states_start)) {
            found.push_back(item.entry->backend);
        }
    }
    return found;
}

std::optional<directory::backend> backend_pool::find_unchanged(
    dispatch::backend_key backend, const directory::software_version& version) const {
    const auto found = by_key_.find(backend);
    if (found == by_key_.end() || !found->second->listed ||
        found->second->backend.version != version) {
        return std::nullopt;
    }
    return found->second->backend;
}

}  // namespace pearbarrow::forward
