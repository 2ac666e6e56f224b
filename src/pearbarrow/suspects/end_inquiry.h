/// Finds out whether one incarnation of a back end has ended or goes on, after an attempt at it
/// broke off.
///
/// A lost connection: the address is probed at once and then again until `settle_time` has passed,
/// since a process that ends may close its connections some time before its listener. A refused
/// connection proves the end. After `settle_time`, a process that responds as this back end shows
/// that it goes on.
///
/// A back end that may end soon is asked a few times within `settle_time`.
///
/// Silence: the process is asked at once, and any response shows whether it goes on. The question
/// stays open for `silence_time`: a process that was suspended still answers it, one that has
/// restarted does not.
#pragma once

#include <functional>
#include <memory>

#include "pearbarrow/base/clock.h"
#include "pearbarrow/directory/snapshot.h"
#include "pearbarrow/net/connect_probe.h"
#include "pearbarrow/net/ended_objects.h"
#include "pearbarrow/net/event_loop.h"
#include "pearbarrow/suspects/identity_source.h"

namespace pearbarrow::suspects {

/// How an attempt ended.
enum class break_kind {
    connection_lost,
    /// The attempt was given up while the back end was silent.
    silent,
    /// The back end responded with an error. It may end soon.
    error_response,
    /// The attempt was given up while it had got nothing, although the back end went on. It may end
    /// soon.
    given_up_early,
    /// The attempt was given up while it received a response. It is not examined.
    given_up,
};

/// Whether an attempt that ended in this way counts before an end is proved.
inline bool leaves_doubt(break_kind kind) {
    return kind != break_kind::given_up_early && kind != break_kind::given_up;
}

enum class inquiry_verdict {
    /// A new connection was refused.
    refused,
    /// Another process is there.
    replaced,
    went_on,
    /// It no longer responds. It is then examined as a silent one.
    fell_silent,
    /// It cannot be told yet. Another verdict may follow.
    unknown,
};

struct inquiry_options {
    /// Time for the machine of the back end to accept or refuse a connection.
    base::milliseconds probe_timeout{60};
    /// Time within which a process that is not silent responds.
    base::milliseconds response_time{100};
    /// Same as `suspect_options::settle_time`.
    base::milliseconds settle_time{4'000};
    base::milliseconds silence_time{10'000};
};

class end_inquiry {
  public:
    /// `on_verdict` runs inside no call of this class and may run twice: `unknown`, and then the
    /// final verdict. It must not destroy the inquiry.
    end_inquiry(net::event_loop& loop, const base::clock& clock, identity_source& identities,
                directory::backend target, break_kind kind, inquiry_options options,
                std::function<void(inquiry_verdict)> on_verdict);
    end_inquiry(const end_inquiry&) = delete;
    end_inquiry& operator=(const end_inquiry&) = delete;

    /// Another attempt has just broken off in the same way.
    void extend();
    /// Whether no verdict has been given.
    bool is_new() const { return !this->has_verdict; }
    /// Whether no further verdict follows.
    bool is_over() const { return this->has_ended; }

  private:
    void probe();
    void on_probed(net::probe_result result);
    void ask(base::milliseconds timeout);
    void on_identified(identity_reply reply);
    void on_watched(identity_reply reply);
    /// Probes again after the next delay, or gives up after the last one.
    void continue_later();
    /// Whether the attempt did not break off, so that the back end is examined less often.
    bool is_watched() const {
        return this->kind == break_kind::error_response || this->kind == break_kind::given_up_early;
    }
    void report_unknown();
    void give(inquiry_verdict verdict);

    net::event_loop& loop;
    const base::clock& clock;
    identity_source& identities;
    directory::backend target;
    break_kind kind;
    inquiry_options options;
    std::function<void(inquiry_verdict)> on_verdict;
    base::instant broken_at;
    bool has_verdict = false;
    bool has_ended = false;
    /// Whether the question about a silent back end has ended without a response.
    bool was_unanswered = false;
    std::size_t step = 0;
    std::unique_ptr<net::connect_probe> open_probe;
    std::unique_ptr<identity_question> question;
    std::unique_ptr<net::timer_handle> timer;
    net::ended_objects<std::unique_ptr<net::connect_probe>> ended_probes;
    net::ended_objects<std::unique_ptr<identity_question>> ended_questions;
};

}  // namespace pearbarrow::suspects
