/// Metrics of a process in the Prometheus text format.
///
/// A wrapper of prometheus-cpp's registry and serializer, so that no other folder includes them.
/// Names carry their unit ("_seconds", "_bytes", "_total"); labels have few values.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pearbarrow::base {

using metric_labels = std::map<std::string, std::string>;

/// A number that only grows. Cheap to copy; lives as long as its registry.
class counter {
  public:
    void increment(double by = 1.0) const;

  private:
    friend class metrics_registry;
    void* implementation_ = nullptr;
};

/// A number that goes up and down.
class gauge {
  public:
    void set(double value) const;

  private:
    friend class metrics_registry;
    void* implementation_ = nullptr;
};

/// A distribution, counted in buckets.
class histogram {
  public:
    void observe(double value) const;

  private:
    friend class metrics_registry;
    void* implementation_ = nullptr;
};

/// Buckets in seconds for latencies from 0.25 ms to 60 s.
std::vector<double> latency_buckets();

class metrics_registry {
  public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// The counter of this name and labels; the same one each time. A name keeps its kind and help.
    counter add_counter(const std::string& name, const std::string& help,
                        const metric_labels& labels = {});
    gauge add_gauge(const std::string& name, const std::string& help,
                    const metric_labels& labels = {});
    histogram add_histogram(const std::string& name, const std::string& help,
                            const metric_labels& labels = {},
                            std::vector<double> buckets = latency_buckets());

    /// What each counter stands at, by name and labels: `name{label=value,...}`.
    std::map<std::string, double> counters() const;
    /// All metrics in the Prometheus text exposition format.
    std::string text() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace pearbarrow::base
