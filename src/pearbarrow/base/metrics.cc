#include "pearbarrow/base/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pearbarrow::base {

struct metrics_registry::state {
    prometheus::Registry registry{prometheus::Registry::InsertBehavior::Merge};
};

void counter::increment(double by) const {
    if (implementation_ != nullptr) {
        static_cast<prometheus::Counter*>(implementation_)->Increment(by);
    }
}

void gauge::set(double value) const {
    if (implementation_ != nullptr) {
        static_cast<prometheus::Gauge*>(implementation_)->Set(value);
    }
}

void histogram::observe(double value) const {
    if (implementation_ != nullptr) {
        static_cast<prometheus::Histogram*>(implementation_)->Observe(value);
    }
}

std::vector<double> latency_buckets() {
    return {0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
            0.25,    0.5,    1.0,   2.5,    5.0,   10.0, 20.0,  40.0, 60.0};
}

metrics_registry::metrics_registry() : state_(std::make_unique<state>()) {}
metrics_registry::~metrics_registry() = default;

counter metrics_registry::add_counter(const std::string& name, const std::string& help,
                                      const metric_labels& labels) {
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(state_->registry);
    counter result;
    result.implementation_ = &family.Add(labels);
    return result;
}

gauge metrics_registry::add_gauge(const std::string& name, const std::string& help,
                                  const metric_labels& labels) {
    auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(state_->registry);
    gauge result;
    result.implementation_ = &family.Add(labels);
    return result;
}

histogram metrics_registry::add_histogram(const std::string& name, const std::string& help,
                                          const metric_labels& labels,
                                          std::vector<double> buckets) {
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(state_->registry);
    histogram result;
    result.implementation_ = &family.Add(labels, std::move(buckets));
    return result;
}

std::map<std::string, double> metrics_registry::counters() const {
    std::map<std::string, double> values;
    for (const prometheus::MetricFamily& family : state_->registry.Collect()) {
        if (family.type != prometheus::MetricType::Counter) {
            continue;
        }
        for (const prometheus::ClientMetric& metric : family.metric) {
            std::string name = family.name;
            for (const auto& label : metric.label) {
                name += (name.size() == family.name.size() ? "{" : ",") + label.name + "=" +
                        label.value;
            }
            values[name + (metric.label.empty() ? "" : "}")] = metric.counter.value;
        }
    }
    return values;
}

std::string metrics_registry::text() const {
    return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace pearbarrow::base
