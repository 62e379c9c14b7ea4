#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Prometheus metrics with a bounded number of values for each label.

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace masticlever::telemetry
{

/// Definition of a metric. Instances are constants that must outlive every registry.
struct metric_family {
    std::string_view name; ///< in snake_case; counters end in "_total", units are part of the name
    std::string_view help;
    /// Maximum number of distinct values for each label; further values are recorded as "other".
    std::size_t maximumLabelValues = 1500;
    /// Upper bounds of histogram buckets in ascending order; ignored for counters and gauges.
    std::span<const double> buckets = {};
};

struct label {
    std::string_view name;
    std::string_view value;
};

/// Handle to a counter of a family, valid as long as its registry. Cheap to copy and thread-safe.
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

/// Creates families and their metrics on first use. Reusing a family with another metric type aborts.
/// Each lookup builds a key from the labels; keep the handle on hot paths.
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

    /// Returns all families in the Prometheus text exposition format 0.0.4.
    std::string exposition() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace masticlever::telemetry
