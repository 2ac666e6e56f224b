/// A fleet with requests that end their back ends, and callers that repeat what has failed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet_fixture.h"

namespace pearbarrow::fleet::testing {

using emulator::crash_moment;

inline constexpr char lethal_marker[] = "lethal";

/// A request as its caller repeats it: each try has an id of its own and goes to the next edge.
struct repeated_request {
    std::string target;
    std::string program;
    std::string body;
    /// Maximum number of tries: two for the request, and two more for each of two repetitions of a
    /// turn from its start.
    int max_tries = 6;
    /// Whether a try resumes the stream of the one that received its first event.
    bool resumes = false;
    std::string tenant_key = {};
};

struct repetition_result {
    int tries = 0;
    int rejected = 0;
    client_response last;
    std::vector<std::string> ids;
};

/// A fleet whose back ends start again under another id some time after a crash.
struct lethal_fixture {
    explicit lethal_fixture(std::size_t model_count = 11, std::size_t tool_count = 1,
                            std::size_t edge_count = 3)
        : fleet(3, edge_count, false) {
        // A node that starts again learns of its peers from any of these.
        for (auto* list : {&this->fleet.edge_settings, &this->fleet.storage_settings}) {
            for (settings::fleet_settings& node : *list) {
                node.seeds = {this->fleet.edge_settings.front().peer,
                              this->fleet.edge_settings.back().peer,
                              this->fleet.storage_settings.front().peer};
            }
        }
        this->fleet.start_everything();
        this->fleet.make_ready();
        for (std::size_t index = 1; index < model_count; ++index) {
            this->fleet.add_runner("model", "i-model" + std::to_string(index));
        }
        for (std::size_t index = 1; index < tool_count; ++index) {
            this->fleet.add_runner("tool", "i-tool" + std::to_string(index));
        }
        cr_assert(run_until(this->fleet.loop, [this] { return this->fleet.is_settled(); }));
        for (emulator::runner& runner : this->fleet.runners) {
            const bool is_tool = runner.id().find("tool") != std::string::npos;
            this->service_of[&runner] = is_tool ? "tool" : "model";
        }
        this->restarts = this->fleet.loop.every(base::milliseconds{5}, [this] { this->restart(); });
    }

    void set_lethal(crash_moment moment) {
        for (emulator::runner& runner : this->fleet.runners) {
            runner.set_lethal(emulator::lethal_requests{lethal_marker, moment});
        }
    }
    /// Number of back ends that a request has ended.
    std::uint32_t ended() const {
        std::uint32_t count = 0;
        for (const emulator::runner& runner : this->fleet.runners) {
            count += runner.lethal_crashes();
        }
        return count;
    }
    /// Number of runs of requests whose id begins with the prefix.
    std::size_t runs_of(const std::string& prefix) const {
        std::size_t count = 0;
        for (const emulator::runner& runner : this->fleet.runners) {
            for (const emulator::run_record& run : runner.runs()) {
                count += run.request_id.rfind(prefix, 0) == 0 ? 1 : 0;
            }
        }
        return count;
    }

    net::http_headers headers_of(const repeated_request& request) const {
        net::http_headers headers{{"Pearbarrow-Deadline-Ms", "2500"}};
        if (!request.program.empty()) {
            headers.add("Pearbarrow-Program-Id", request.program);
            headers.add("Pearbarrow-Session-Id", "line of " + request.program);
        }
        if (request.target.rfind("/turn/", 0) == 0 || request.target.rfind("/stream/", 0) == 0) {
            headers.add("Pearbarrow-Token-Budget", "100000");
            headers.add("Pearbarrow-Token-Usage", "100,50");
        }
        if (!request.tenant_key.empty()) {
            headers.add("Pearbarrow-Key", request.tenant_key);
        }
        return headers;
    }

    /// Sends the request until it is served or has no tries left.
    repetition_result repeat(const repeated_request& request, const std::string& id) {
        repetition_result result;
        std::string began_as;
        while (result.tries < request.max_tries) {
            net::http_headers headers = this->headers_of(request);
            if (request.resumes && !began_as.empty()) {
                headers.add("Resumes", began_as);
                headers.add("Last-Event-Id", "1");
            }
            const auto edge = static_cast<std::size_t>(result.tries) % this->fleet.edges.size();
            const std::string try_id = id + "." + std::to_string(++result.tries);
            result.ids.push_back(try_id);
            result.last = this->fleet.call(edge, request.target, try_id, headers, request.body);
            result.rejected += result.last.status == 503 ? 1 : 0;
            if (result.last.status == 200 && result.last.whole) {
                return result;
            }
            if (began_as.empty() && result.last.body.find("id: 1") != std::string::npos) {
                began_as = try_id;
            }
            run_for(this->fleet.loop, this->pause);
        }
        return result;
    }

    fleet_fixture fleet;
    /// Pause of a caller before it repeats a request.
    base::milliseconds pause{20};
    base::milliseconds downtime{600};

  private:
    /// Starts back ends again whose downtime is over. Their entry is replaced only then, as an
    /// entry stays for some heartbeats after a crash.
    void restart() {
        const base::instant now = this->fleet.clock.now();
        for (emulator::runner& runner : this->fleet.runners) {
            if (runner.is_running()) {
                continue;
            }
            const auto [at, is_new] = this->crashed_at.emplace(&runner, now);
            if (is_new || now - at->second < this->downtime) {
                continue;
            }
            this->crashed_at.erase(at);
            this->fleet.store.remove("servers/" + runner.id());
            runner.set_id("i-" + this->service_of[&runner] + "-r" +
                          std::to_string(++this->last_id));
            cr_assert(runner.start_again(0).ok());
            this->fleet.store.put("servers/" + runner.id(),
                                  runner.list_entry(this->service_of[&runner]));
        }
    }

    std::map<emulator::runner*, std::string> service_of;
    std::map<emulator::runner*, base::instant> crashed_at;
    std::unique_ptr<net::timer_handle> restarts;
    std::uint64_t last_id = 0;
};

}  // namespace pearbarrow::fleet::testing
