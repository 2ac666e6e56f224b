// Random soak of requests that end their back ends, beside harmless requests, while edges, storage
// members, the directory service and back ends fail. The seed and the time are set by
// PEARBARROW_SOAK_SEED, PEARBARROW_SOAK_SECONDS and PEARBARROW_SOAK_EDGES.
#include <list>
#include <optional>
#include <set>

#include "lethal_fixture.h"
#include "pearbarrow/base/random.h"
#include "soak_options.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>

using namespace pearbarrow;
using namespace pearbarrow::fleet::testing;
using emulator::metadata_store;
using emulator::runner_fault;
using std::chrono::milliseconds;

namespace {

/// Back ends that may end under one request.
constexpr int max_ends = 3;
constexpr std::size_t max_open_requests = 10;
constexpr int max_tries = 6;
constexpr milliseconds max_pause{150};
constexpr char blocked_reason[] = "request_ends_back_ends";

/// One request over all tries of its caller.
struct soak_request {
    std::string id;
    repeated_request content;
    bool is_lethal = false;
    int tries = 0;
    std::string began_as;
    std::optional<client_response> response;
    base::instant next_try_at{};
    std::size_t edge = 0;
    /// Tries that an edge had when it was killed. Nobody sees whether a back end ends under them.
    int tries_of_killed_edges = 0;
    bool is_open = false;
};

class lethal_soak {
  public:
    lethal_soak(std::uint64_t seed, std::size_t edge_count)
        : random_(seed), callers_(9, 6, edge_count) {
        callers_.downtime = milliseconds{300};
        callers_.set_lethal(crash_moment::after_head);
    }

    void run(std::chrono::seconds time) {
        const auto work = loop().every(milliseconds{10}, [this] { advance(); });
        const auto faults = loop().every(milliseconds{230}, [this] { inject_fault(); });
        const auto more = loop().every(milliseconds{370}, [this] { inject_fault(); });
        run_for(loop(), time);
    }

    /// Checks what holds over all tries of each request.
    void check() {
        for (const soak_request& request : requests_) {
            if (!request.is_lethal) {
                continue;
            }
            const int ends = ends_under(request);
            most_ends = std::max(most_ends, ends);
            cr_assert(ends <= max_ends + request.tries_of_killed_edges,
                      "%d back ends ended under %s", ends, request.id.c_str());
        }
    }

    /// Checks that a blocked request stays blocked at every edge once the faults have ended.
    void check_calm_fleet() {
        clear_faults();
        run_for(loop(), milliseconds{4'000});
        for (soak_request& request : requests_) {
            if (request.is_lethal && request.is_open) {
                request.is_open = false;
            }
        }
        callers_.set_lethal(crash_moment::after_head);
        const repeated_request content{
            .target = "/turn/x", .program = "calm", .body = lethal_marker};
        const auto result = callers_.repeat(content, "calm");
        cr_assert(callers_.runs_of("calm") == max_ends, "%zu runs", callers_.runs_of("calm"));
        cr_assert(result.last.body.find(blocked_reason) != std::string::npos, "%s",
                  result.last.body.c_str());
        for (std::size_t edge = 0; edge < callers_.fleet.edges.size(); ++edge) {
            const auto response =
                callers_.fleet.call(edge, content.target, "calm-at" + std::to_string(edge),
                                    callers_.headers_of(content), content.body);
            cr_assert(response.body.find(blocked_reason) != std::string::npos, "edge %zu: %s", edge,
                      response.body.c_str());
        }
    }

    void log_counts(std::uint64_t seed) const {
        cr_log_info(
            "seed %lu: %d faults, %zu requests, %d lethal, %u ends, at most %d under one, "
            "%d tries refused, %d tries of killed edges",
            seed, faults, requests_.size(), lethal, callers_.ended(), most_ends, refused,
            killed_tries);
    }

    int faults = 0;
    int lethal = 0;
    int refused = 0;
    int most_ends = 0;
    int killed_tries = 0;

  private:
    net::event_loop& loop() { return callers_.fleet.loop; }

    void advance() {
        std::size_t open = 0;
        for (soak_request& request : requests_) {
            if (request.is_open) {
                advance(request);
                open += request.is_open ? 1 : 0;
            }
        }
        if (open < max_open_requests) {
            begin();
        }
    }

    void begin() {
        const std::vector<std::string> targets{"/turn/x", "/stream/x", "/plain/x", "/once/x"};
        soak_request& request = requests_.emplace_back();
        request.id = "q" + std::to_string(requests_.size());
        request.is_lethal = random_.chance(0.01);
        lethal += request.is_lethal ? 1 : 0;
        const std::string target = targets[random_.below(targets.size())];
        request.content = {.target = target + (request.is_lethal ? lethal_marker : ""),
                           .program = "program of " + request.id,
                           .body = target == "/plain/x" ? "" : "input"};
        request.is_open = true;
        start_try(request);
    }

    void start_try(soak_request& request) {
        request.response.reset();
        request.edge = random_ready_edge();
        net::http_headers headers = callers_.headers_of(request.content);
        if (!request.began_as.empty()) {
            headers.add("Resumes", request.began_as);
            headers.add("Last-Event-Id", "1");
        }
        callers_.fleet.start_call(request.edge, request.content.target,
                                  id_of_try(request, ++request.tries), headers,
                                  request.content.body, request.response);
    }

    /// Callers reach edges that are ready, or any if none is.
    std::size_t random_ready_edge() {
        std::vector<std::size_t> ready;
        for (std::size_t edge = 0; edge < callers_.fleet.edges.size(); ++edge) {
            if (callers_.fleet.edges[edge]->node.is_ready()) {
                ready.push_back(edge);
            }
        }
        return ready.empty() ? random_.below(callers_.fleet.edges.size())
                             : ready[random_.below(ready.size())];
    }

    static std::string id_of_try(const soak_request& request, int number) {
        return request.id + "." + std::to_string(number);
    }

    void advance(soak_request& request) {
        if (!request.response.has_value()) {
            return;
        }
        const base::instant now = callers_.fleet.clock.now();
        if (request.next_try_at == base::instant{}) {
            finish_try(request, now);
            return;
        }
        if (now >= request.next_try_at) {
            request.next_try_at = {};
            start_try(request);
        }
    }

    void finish_try(soak_request& request, base::instant now) {
        const client_response& response = *request.response;
        if (response.body.find(blocked_reason) != std::string::npos) {
            ++refused;
            cr_assert(request.is_lethal, "harmless request %s was blocked", request.id.c_str());
            cr_assert(response.status == 502 || runs_of_try(request, request.tries) == 0,
                      "try %d of %s was refused but executed", request.tries, request.id.c_str());
        }
        const bool is_resumable = request.content.target.rfind("/stream/", 0) == 0;
        if (is_resumable && request.began_as.empty() &&
            response.body.find("id: 1") != std::string::npos) {
            request.began_as = id_of_try(request, request.tries);
        }
        if ((response.status == 200 && response.whole) || request.tries == max_tries) {
            request.is_open = false;
            return;
        }
        request.next_try_at = now + milliseconds{static_cast<std::int64_t>(random_.below(
                                        static_cast<std::uint64_t>(max_pause.count())))};
    }

    int runs_of_try(const soak_request& request, int number) const {
        int runs = 0;
        for (const emulator::runner& runner : callers_.fleet.runners) {
            for (const emulator::run_record& run : runner.runs()) {
                runs += run.request_id == id_of_try(request, number) ? 1 : 0;
            }
        }
        return runs;
    }

    int ends_under(const soak_request& request) const {
        int ends = 0;
        for (const emulator::runner& runner : callers_.fleet.runners) {
            for (const emulator::run_record& run : runner.runs()) {
                const bool is_try = run.request_id.rfind(request.id + ".", 0) == 0;
                ends += is_try && run.ended_process ? 1 : 0;
            }
        }
        return ends;
    }

    void inject_fault() {
        ++faults;
        switch (random_.below(14)) {
            case 0:
                kill_edge();
                return;
            case 1:
                stop_edge();
                return;
            case 2:
                restart_storage();
                return;
            case 3:
                callers_.fleet.store.set_trouble(random_.chance(0.5)
                                                     ? metadata_store::trouble::refusing
                                                     : metadata_store::trouble::silent);
                return;
            case 4:
            case 5:
                callers_.fleet.store.set_trouble(metadata_store::trouble::none);
                return;
            case 6:
                callers_.fleet.configure(++config_version_, 2'000 + 500 * random_.below(3));
                return;
            case 7:
            case 8:
                set_lethal_moment();
                return;
            case 9:
                crash_any();
                return;
            case 10:
                set_faults(runner_fault::none);
                return;
            default:
                random_runner().set_fault(random_.chance(0.6) ? runner_fault::cut_after_event
                                                              : runner_fault::refuse);
                return;
        }
    }

    emulator::runner& random_runner() {
        return *std::next(
            callers_.fleet.runners.begin(),
            static_cast<std::ptrdiff_t>(random_.below(callers_.fleet.runners.size())));
    }

    void set_lethal_moment() {
        const std::vector<crash_moment> moments{crash_moment::queued, crash_moment::after_head,
                                                crash_moment::after_first_event,
                                                crash_moment::after_last_event};
        random_runner().set_lethal(
            emulator::lethal_requests{lethal_marker, moments[random_.below(moments.size())]});
    }

    /// A crash that no request causes.
    void crash_any() {
        emulator::runner& runner = random_runner();
        if (runner.is_running()) {
            runner.crash();
        }
    }

    void kill_edge() {
        const std::size_t edge = random_.below(callers_.fleet.edges.size());
        for (soak_request& request : requests_) {
            if (request.is_open && request.edge == edge && !request.response.has_value()) {
                ++request.tries_of_killed_edges;
                ++killed_tries;
            }
        }
        stopping_.erase(edge);
        start_again(edge);
    }

    /// Stops an edge as a signal does. Callers keep using their connections until it is gone.
    void stop_edge() {
        const std::size_t edge = random_.below(callers_.fleet.edges.size());
        if (!stopping_.insert(edge).second) {
            return;
        }
        callers_.fleet.edges[edge]->node.stop([this, edge] {
            // Destroying the edge within its own callback is not allowed.
            restarts_.push_back(loop().after(milliseconds{0}, [this, edge] {
                if (stopping_.erase(edge) > 0) {
                    start_again(edge);
                }
            }));
        });
    }

    void start_again(std::size_t edge) {
        callers_.fleet.edges[edge].reset();
        callers_.fleet.start_edge(edge);
    }

    void restart_storage() {
        const std::size_t member = random_.below(callers_.fleet.storages.size());
        callers_.fleet.storages[member].reset();
        callers_.fleet.storage_settings[member].first_start = false;
        callers_.fleet.start_storage(member);
    }

    void set_faults(runner_fault fault) {
        for (emulator::runner& runner : callers_.fleet.runners) {
            runner.set_fault(fault);
        }
    }

    void clear_faults() {
        callers_.fleet.store.set_trouble(metadata_store::trouble::none);
        set_faults(runner_fault::none);
        cr_assert(run_until(loop(), [this] { return stopping_.empty(); }));
    }

    base::random_source random_;
    lethal_fixture callers_;
    std::list<soak_request> requests_;
    std::set<std::size_t> stopping_;
    std::vector<std::unique_ptr<net::timer_handle>> restarts_;
    std::uint64_t config_version_ = 2;
};

}  // namespace

Test(lethal_soak, lethal_requests_are_stopped_and_harmless_ones_pass, .timeout = 900) {
    const std::uint64_t seed = number_from("PEARBARROW_SOAK_SEED", 1);
    const std::uint64_t time = number_from("PEARBARROW_SOAK_SECONDS", 40);
    lethal_soak soak(seed, number_from("PEARBARROW_SOAK_EDGES", 4));
    soak.run(std::chrono::seconds(time));
    soak.check();
    soak.check_calm_fleet();
    soak.log_counts(seed);
}
