// Attempts at back ends that send no response head in time.
#include "pearbarrow/base/status.h"
#include "pearbarrow/forward/forwarded_request.h"

namespace pearbarrow::forward {

void forwarded_request::start_silence_timer() {
    if (!is_repeatable() || route_.objective_ms == 0 || !may_retry(true)) {
        return;
    }
    const auto patience =
        context_.pool.patience(target_.incarnation(), base::milliseconds{route_.objective_ms});
    silence_timer_ = context_.loop.after(patience, [this] { on_silence(); });
}

void forwarded_request::on_silence() {
    if (head_received_ || !attempt_open_ || !may_retry(true)) {
        return;
    }
    call_.reset();
    on_attempt_failed(base::make_error(absl::StatusCode::kDeadlineExceeded,
                                       "no response head was received in time",
                                       {.step = "read",
                                        .peer = target_.id,
                                        .reason = "silent",
                                        .was_executed = base::executed::unknown}));
}

}  // namespace pearbarrow::forward
