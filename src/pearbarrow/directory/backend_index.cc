#include "pearbarrow/directory/backend_index.h"

#include <algorithm>
#include <utility>

#include "pearbarrow/base/hash.h"
#include "pearbarrow/wire/codec.h"

namespace pearbarrow::directory {
namespace {

/// Differs from the seeds of the other hashes of an id.
constexpr std::uint64_t part_seed = 0x6469'6765'7374'7331;

/// Ids that the recorded steps may name in total. A third of 20,000 back ends may leave together; a
/// node that has missed more than this many changes fetches the parts that differ, which is most of
/// them in that case.
constexpr std::size_t max_recorded_ids = 8'192;
/// Recorded steps. Nodes lag by one or two seconds, at ten changes per second.
constexpr std::size_t max_recorded_steps = 256;

/// Covers all fields but the version. Older builds drop the version and compute the same digest, so
/// that they do not exchange whole lists with newer nodes at each change.
std::uint64_t digest_of_entry(const backend& entry) {
    constexpr std::uint32_t digested_fields = 9;
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(digested_fields);
    packer.pack(entry.id);
    packer.pack(entry.service);
    packer.pack(entry.address);
    packer.pack(entry.zone);
    packer.pack(entry.slots);
    packer.pack(entry.draining);
    packer.pack(entry.started_at);
    packer.pack(entry.cold_left_ms);
    packer.pack(entry.written_at);
    return base::stable_hash(std::string_view(buffer.data(), buffer.size()));
}

/// Returns the entry with the version of `held` if it is the same incarnation and its own version
/// was dropped on the way.
backend with_known_version(backend next, const backend& held) {
    if (!next.version.is_known && next.incarnation() == held.incarnation()) {
        next.version = held.version;
    }
    return next;
}

/// Returns whether `next` replaces `held`. Of two entries of one id, the one with the later
/// `written_at` wins. If either revision is unknown or both are equal, the entry of the later list
/// wins. Of two entries of one revision, one with a known version wins in either order.
bool replaces(const backend& next, const backend& held, bool list_is_later) {
    if (next.written_at == held.written_at && next.written_at != 0 &&
        next.version.is_known != held.version.is_known) {
        return next.version.is_known;
    }
    if (next.written_at == 0 || held.written_at == 0 || next.written_at == held.written_at) {
        return list_is_later && !(next == held);
    }
    return next.written_at > held.written_at;
}

}  // namespace

std::uint32_t part_of(std::string_view id) {
    return static_cast<std::uint32_t>(base::stable_hash(id, part_seed) % digest_parts);
}

class backend_index::merge {
  public:
    /// `is_exact`: the calls name everything that changes up to the revision of the source.
    merge(backend_index& index, backend_list& held, std::uint64_t revision, bool is_exact)
        : index(index),
          held(held),
          recorded{.before = held.revision,
                   .digest = index.list_digest,
                   .after = std::max(held.revision, revision),
                   .is_exact = is_exact,
                   .ids = {}},
          result{.after = held.revision, .revision = 0, .present = {}, .gone = {}} {}

    /// The source lists the entry at `revision`.
    void put(const backend& offered, std::uint64_t revision) {
        const auto known = this->held.backends.find(offered.id);
        const backend next = known == this->held.backends.end()
                                 ? offered
                                 : with_known_version(offered, known->second);
        const bool is_later = revision > this->held.revision;
        const bool is_accepted = known == this->held.backends.end()
                                     ? is_later || next.written_at > this->held.revision
                                     : replaces(next, known->second, is_later);
        if (!is_accepted) {
            return;
        }
        this->index.insert(this->held, next);
        this->recorded.ids.push_back(next.id);
        this->result.present.push_back(next);
    }

    /// The source does not list the entry at `revision`.
    void drop(std::string id, std::uint64_t revision) {
        const auto known = this->held.backends.find(id);
        if (known == this->held.backends.end() || revision <= this->held.revision ||
            known->second.written_at > revision) {
            return;
        }
        this->index.erase(this->held, id);
        this->recorded.ids.push_back(id);
        this->result.gone.push_back(std::move(id));
    }

    /// Records that the source mentioned the entry, even if the list does not change. An entry that
    /// was added and removed in between may still be in the list of a peer that requests only a
    /// part of this step.
    void record(const std::string& id) { this->recorded.ids.push_back(id); }

    backend_changes finish() {
        this->held.revision = this->recorded.after;
        this->result.revision = this->recorded.after;
        if (!this->recorded.ids.empty() || this->recorded.after != this->recorded.before) {
            this->index.record(std::move(this->recorded));
        }
        return std::move(this->result);
    }

  private:
    backend_index& index;
    backend_list& held;
    step recorded;
    backend_changes result;
};

void backend_index::insert(backend_list& held, const backend& next) {
    const std::uint32_t part = part_of(next.id);
    const auto [at, is_new] = held.backends.try_emplace(next.id);
    if (is_new) {
        this->members[part].insert(at->first);
    }
    const std::uint64_t before = is_new ? 0 : digest_of_entry(at->second);
    this->unknown_version_count -= !is_new && !at->second.version.is_known ? 1 : 0;
    this->unknown_version_count += next.version.is_known ? 0 : 1;
    at->second = next;
    const std::uint64_t change = digest_of_entry(next) - before;
    // Digests are sums, so they do not depend on the order of entries, and one entry can be
    // subtracted again.
    this->part_digests[part] += change;
    this->list_digest += change;
}

void backend_index::erase(backend_list& held, const std::string& id) {
    const auto at = held.backends.find(id);
    const std::uint32_t part = part_of(id);
    const std::uint64_t digest = digest_of_entry(at->second);
    this->unknown_version_count -= at->second.version.is_known ? 0 : 1;
    this->part_digests[part] -= digest;
    this->list_digest -= digest;
    this->members[part].erase(at->first);
    held.backends.erase(at);
}

void backend_index::record(step recorded) {
    if (!this->steps.empty() && this->steps.back().ids.empty() && recorded.ids.empty()) {
        this->steps.back().after = recorded.after;
        this->steps.back().is_exact = this->steps.back().is_exact && recorded.is_exact;
        return;
    }
    this->recorded_ids += recorded.ids.size();
    this->steps.push_back(std::move(recorded));
    while (this->steps.size() > max_recorded_steps || this->recorded_ids > max_recorded_ids) {
        this->recorded_ids -= this->steps.front().ids.size();
        this->steps.pop_front();
    }
}

backend_changes backend_index::apply(backend_list& held, const backend_list& next) {
    merge merged(*this, held, next.revision, false);
    for (const auto& [id, entry] : next.backends) {
        merged.put(entry, next.revision);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : held.backends) {
        if (next.backends.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (std::string& id : missing) {
        merged.drop(std::move(id), next.revision);
    }
    return merged.finish();
}

backend_changes backend_index::apply(backend_list& held, const backend_listing& listing) {
    merge merged(*this, held, listing.revision, false);
    for (const backend& entry : listing.changed) {
        merged.put(entry, listing.revision);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : held.backends) {
        if (listing.ids.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (std::string& id : missing) {
        merged.drop(std::move(id), listing.revision);
    }
    return merged.finish();
}

backend_changes backend_index::apply(backend_list& held, const backend_events& events) {
    const bool follows = events.after <= held.revision;
    merge merged(*this, held, follows ? events.revision : held.revision, follows);
    for (const backend& entry : events.present) {
        merged.record(entry.id);
        merged.put(entry, std::max(entry.written_at, events.after + 1));
    }
    for (const backend_events::removal& removed : events.gone) {
        merged.record(removed.id);
        merged.drop(removed.id, removed.revision);
    }
    return merged.finish();
}

backend_changes backend_index::apply(backend_list& held, const backend_parts& parts) {
    merge merged(*this, held, parts.revision, false);
    std::set<std::string_view> listed;
    for (const backend& entry : parts.present) {
        listed.insert(entry.id);
        merged.put(entry, parts.revision);
    }
    std::vector<std::string> missing;
    for (const std::uint32_t part : parts.parts) {
        if (part >= digest_parts) {
            continue;
        }
        for (const std::string_view id : this->members[part]) {
            if (listed.count(id) == 0) {
                missing.emplace_back(id);
            }
        }
    }
    for (std::string& id : missing) {
        merged.drop(std::move(id), parts.revision);
    }
    return merged.finish();
}

backend_changes backend_index::apply(backend_list& held, const backend_changes& changes) {
    const bool is_applicable =
        changes.after == held.revision &&
        (changes.digest_before == 0 || changes.digest_before == this->list_digest);
    if (!is_applicable || changes.revision <= held.revision) {
        return {.after = held.revision, .revision = held.revision, .present = {}, .gone = {}};
    }
    merge merged(*this, held, changes.revision, false);
    for (const backend& entry : changes.present) {
        merged.put(entry, changes.revision);
    }
    for (const std::string& id : changes.gone) {
        merged.drop(id, changes.revision);
    }
    return merged.finish();
}

std::optional<backend_changes> backend_index::changes_since(const backend_list& held,
                                                            std::uint64_t revision,
                                                            std::uint64_t digest) const {
    backend_changes changes{.after = revision,
                            .revision = held.revision,
                            .present = {},
                            .gone = {},
                            .digest_before = digest};
    if (digest == this->list_digest) {
        return changes;
    }
    // The search takes the latest match, because the list may have had the same contents earlier.
    const auto last =
        std::find_if(this->steps.rbegin(), this->steps.rend(), [&](const step& candidate) {
            const bool is_same =
                digest == 0 ? candidate.before == revision : candidate.digest == digest;
            return is_same || (candidate.is_exact && candidate.before < revision &&
                               revision < candidate.after);
        });
    if (last == this->steps.rend()) {
        return std::nullopt;
    }
    std::set<std::string_view> ids;
    for (auto at = std::prev(last.base()); at != this->steps.end(); ++at) {
        ids.insert(at->ids.begin(), at->ids.end());
    }
    for (const std::string_view id : ids) {
        const auto found = held.backends.find(std::string(id));
        if (found == held.backends.end()) {
            changes.gone.emplace_back(id);
        } else {
            changes.present.push_back(found->second);
        }
    }
    return changes;
}

backend_digests backend_index::digests(const backend_list& held) const {
    return {.revision = held.revision,
            .parts = {this->part_digests.begin(), this->part_digests.end()}};
}

backend_parts backend_index::parts_of(const backend_list& held,
                                      std::span<const std::uint32_t> wanted,
                                      std::size_t max_backends) const {
    backend_parts found{.revision = held.revision, .parts = {}, .present = {}};
    for (const std::uint32_t part : wanted) {
        const std::size_t size = part < digest_parts ? this->members[part].size() : 0;
        if (!found.parts.empty() && found.present.size() + size > max_backends) {
            break;
        }
        found.parts.push_back(part);
        if (size == 0) {
            continue;
        }
        for (const std::string_view id : this->members[part]) {
            found.present.push_back(held.backends.at(std::string(id)));
        }
    }
    return found;
}

std::vector<std::uint32_t> backend_index::differing_parts(const backend_digests& others) const {
    std::vector<std::uint32_t> parts;
    for (std::uint32_t part = 0; part < digest_parts; ++part) {
        if (part >= others.parts.size() || others.parts[part] != this->part_digests[part]) {
            parts.push_back(part);
        }
    }
    return parts;
}

}  // namespace pearbarrow::directory
