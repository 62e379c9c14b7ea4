#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Metrics with a bounded number of label values, in the text format of Prometheus.

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace masticlever::telemetry
{

/// Names and bounds of one metric. Objects of this type are constants that outlive every registry.
struct metric_family {
    std::string_view name; ///< in snake_case; counters end in "_total", units are part of the name
    std::string_view help;
    /// Distinct values kept for each label; later ones are counted under the value "other".
    std::size_t maximumLabelValues = 1500;
    /// Upper bounds of a histogram's buckets, ascending; unused by counters and gauges.
    std::span<const double> buckets = {};
};

struct label {
    std::string_view name;
    std::string_view value;
};

/// Handle to a child of a counter family; valid as long as its registry. Cheap to copy, thread-safe to use.
class counter
{
public:
    explicit counter(prometheus::Counter *child) : m_child(child) { }
    void add(double amount = 1.0) const;
    double value() const;

private:
    prometheus::Counter *m_child;
};

class gauge
{
public:
    explicit gauge(prometheus::Gauge *child) : m_child(child) { }
    void set(double value) const;
    void add(double amount) const;
    double value() const;

private:
    prometheus::Gauge *m_child;
};

class histogram
{
public:
    explicit histogram(prometheus::Histogram *child) : m_child(child) { }
    void observe(double value) const;

private:
    prometheus::Histogram *m_child;
};

/// Creates families and children at their first use. A family keeps its kind: using it as another aborts.
/// A look-up costs a hash of the labels; hot paths keep the handle.
class metric_registry
{
public:
    metric_registry();
    ~metric_registry();
    metric_registry(const metric_registry &) = delete;
    metric_registry &operator=(const metric_registry &) = delete;

    counter counterOf(const metric_family &family, std::initializer_list<label> labels = {});
    gauge gaugeOf(const metric_family &family, std::initializer_list<label> labels = {});
    histogram histogramOf(const metric_family &family, std::initializer_list<label> labels = {});

    /// Text exposition format 0.0.4 of all families.
    std::string exposition() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace masticlever::telemetry
