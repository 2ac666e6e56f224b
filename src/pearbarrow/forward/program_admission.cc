#include "pearbarrow/forward/program_admission.h"

#include <algorithm>

namespace pearbarrow::forward {
namespace {

class open_admission final : public program_admission {
  public:
    std::optional<base::milliseconds> check(const service_load& /*load*/,
                                            base::instant /*now*/) override {
        return std::nullopt;
    }
};

class fullness_admission : public program_admission {
  public:
    fullness_admission(admission_options options, base::random_source& random)
        : options(options), random(random) {}

    std::optional<base::milliseconds> check(const service_load& load, base::instant now) override {
        const bool may_begin =
            load.is_known ? this->has_room(load.fullness()) : this->is_among_first(now);
        return may_begin ? std::nullopt : std::optional(this->options.retry_after);
    }

  protected:
    /// Factor on the bounds of the options.
    double scale = 1;
    admission_options options;

  private:
    bool has_room(double fullness) {
        const double closes_at = this->options.closes_at * this->scale;
        const double narrows_at = this->options.narrows_at * this->scale;
        return !this->random.chance((fullness - narrows_at) / (closes_at - narrows_at));
    }

    bool is_among_first(base::instant now) {
        if (now - this->span_started_at >= this->options.unknown_span) {
            this->span_started_at = now;
            this->begun = 0;
        }
        ++this->begun;
        return this->begun <= this->options.unknown_programs;
    }

    base::random_source& random;
    base::instant span_started_at{};
    std::uint32_t begun = 0;
};

class adaptive_admission final : public fullness_admission {
  public:
    using fullness_admission::fullness_admission;

    void record_turn(bool in_time, base::instant now) override {
        ++this->turns;
        this->late += in_time ? 0 : 1;
        if (now - this->learning_since < this->options.learning_span ||
            this->turns < this->options.min_turns) {
            return;
        }
        this->learn(static_cast<double>(this->late) / this->turns);
        this->learning_since = now;
        this->turns = 0;
        this->late = 0;
    }

  private:
    void learn(double late_share) {
        const double least = this->options.min_closes_at / this->options.closes_at;
        if (late_share > this->options.late_share) {
            this->scale = std::max(least, this->scale * this->options.shrink_factor);
        } else if (late_share < this->options.calm_share) {
            this->scale = std::min(1.0, this->scale + this->options.growth);
        }
    }

    base::instant learning_since{};
    std::uint32_t turns = 0;
    std::uint32_t late = 0;
};

}  // namespace

std::unique_ptr<program_admission> make_unlimited_admission() {
    return std::make_unique<open_admission>();
}

std::unique_ptr<program_admission> make_fullness_admission(admission_options options,
                                                           base::random_source& random) {
    return std::make_unique<fullness_admission>(options, random);
}

std::unique_ptr<program_admission> make_adaptive_admission(admission_options options,
                                                           base::random_source& random) {
    return std::make_unique<adaptive_admission>(options, random);
}

}  // namespace pearbarrow::forward
