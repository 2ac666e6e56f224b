/// Metrics of a process in the Prometheus text format.
///
/// Wraps the registry and the serializer of prometheus-cpp, so that no other folder includes them.
/// Names contain their unit ("_seconds", "_bytes", "_total"); labels have few values.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pearbarrow::base {

using metric_labels = std::map<std::string, std::string>;

/// A monotonically increasing number. It is cheap to copy and valid as long as its registry.
class counter {
  public:
    void increment(double by = 1.0) const;

  private:
    friend class metrics_registry;
    void* implementation_ = nullptr;
};

/// A number that can increase and decrease.
class gauge {
  public:
    void set(double value) const;

  private:
    friend class metrics_registry;
    void* implementation_ = nullptr;
};

/// A distribution of values counted in buckets.
class histogram {
  public:
    void observe(double value) const;

  private:
    friend class metrics_registry;
    void* implementation_ = nullptr;
};

/// Bucket boundaries in seconds for latencies from 0.25 ms to 60 s.
std::vector<double> latency_buckets();

class metrics_registry {
  public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// Returns the counter with this name and these labels; repeated calls return the same counter.
    /// All metrics of one name have the same type and help text.
    counter add_counter(const std::string& name, const std::string& help,
                        const metric_labels& labels = {});
    gauge add_gauge(const std::string& name, const std::string& help,
                    const metric_labels& labels = {});
    histogram add_histogram(const std::string& name, const std::string& help,
                            const metric_labels& labels = {},
                            std::vector<double> buckets = latency_buckets());

    /// Returns the values of all counters by name and labels: `name{label=value,...}`.
    std::map<std::string, double> counters() const;
    /// Returns all metrics in the Prometheus text exposition format.
    std::string text() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace pearbarrow::base
