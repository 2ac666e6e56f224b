#include "pearbarrow/forward/program_gate.h"

namespace pearbarrow::forward {
namespace {

class open_gate final : public program_gate {
  public:
    std::optional<base::milliseconds> judge(const service_load& /*load*/,
                                            base::instant /*now*/) override {
        return std::nullopt;
    }
};

class fullness_gate final : public program_gate {
  public:
    fullness_gate(gate_options options, base::random_source& random)
        : options(options), random(random) {}

    std::optional<base::milliseconds> judge(const service_load& load, base::instant now) override {
        const bool may_begin =
            load.is_known ? this->has_room(load.fullness()) : this->is_among_first(now);
        return may_begin ? std::nullopt : std::optional(this->options.retry_after);
    }

  private:
    bool has_room(double fullness) {
        const double width = this->options.closes_at - this->options.narrows_at;
        const double refused = (fullness - this->options.narrows_at) / width;
        return !this->random.chance(refused);
    }

    bool is_among_first(base::instant now) {
        if (now - this->span_began >= this->options.unknown_span) {
            this->span_began = now;
            this->begun = 0;
        }
        ++this->begun;
        return this->begun <= this->options.unknown_programs;
    }

    gate_options options;
    base::random_source& random;
    base::instant span_began{};
    std::uint32_t begun = 0;
};

}  // namespace

std::unique_ptr<program_gate> make_open_gate() {
    return std::make_unique<open_gate>();
}

std::unique_ptr<program_gate> make_fullness_gate(gate_options options,
                                                 base::random_source& random) {
    return std::make_unique<fullness_gate>(options, random);
}

}  // namespace pearbarrow::forward
