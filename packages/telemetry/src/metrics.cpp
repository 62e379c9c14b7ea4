#include <masticlever/telemetry/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace masticlever::telemetry
{

namespace
{

constexpr std::string_view otherValue = "other";

using value_set = std::set<std::string, std::less<>>;

/// A metric family and its children, by label names and values.
template <typename Metric> struct family_state {
    prometheus::Family<Metric> *family = nullptr;
    std::map<std::string, Metric *, std::less<>> children;
    std::map<std::string, value_set, std::less<>> values; ///< distinct values kept, by label name
};

template <typename Metric> using family_map = std::map<std::string, family_state<Metric>, std::less<>>;

std::string_view limitedValue(value_set &seen, std::string_view value, std::size_t maximum)
{
    if (seen.contains(value)) {
        return value;
    }
    if (seen.size() >= maximum) {
        return otherValue;
    }
    seen.emplace(value);
    return value;
}

template <typename Metric, typename... Arguments>
Metric *child(family_state<Metric> &state, const metric_family &family, std::initializer_list<label> labels,
              const Arguments &...arguments)
{
    std::string key;
    prometheus::Labels bounded;
    for (const label &entry : labels) {
        value_set &seen = state.values[std::string(entry.name)];
        const std::string_view value = limitedValue(seen, entry.value, family.maximumLabelValues);
        bounded.emplace(entry.name, value);
        key.append(entry.name).push_back('\0');
        key.append(value).push_back('\0');
    }
    auto found = state.children.find(key);
    if (found == state.children.end()) {
        found = state.children.emplace(key, &state.family->Add(bounded, arguments...)).first;
    }
    return found->second;
}

} // namespace

class metric_registry::implementation
{
public:
    prometheus::Registry registry;
    family_map<prometheus::Counter> counters;
    family_map<prometheus::Gauge> gauges;
    family_map<prometheus::Histogram> histograms;

    template <typename Metric, typename Builder>
    family_state<Metric> &state(family_map<Metric> &map, const metric_family &family, Builder builder)
    {
        auto found = map.find(family.name);
        if (found == map.end()) {
            found = map.emplace(std::string(family.name), family_state<Metric>{}).first;
            found->second.family
                = &builder.Name(std::string(family.name)).Help(std::string(family.help)).Register(registry);
        }
        return found->second;
    }
};

void counter::add(double amount) const
{
    m_child->Increment(amount);
}

double counter::value() const
{
    return m_child->Value();
}

void gauge::set(double value) const
{
    m_child->Set(value);
}

void gauge::add(double amount) const
{
    m_child->Increment(amount);
}

double gauge::value() const
{
    return m_child->Value();
}

void histogram::observe(double value) const
{
    m_child->Observe(value);
}

metric_registry::metric_registry() : m_implementation(std::make_unique<implementation>()) { }

metric_registry::~metric_registry() = default;

counter metric_registry::counterOf(const metric_family &family, std::initializer_list<label> labels)
{
    auto &state = m_implementation->state(m_implementation->counters, family, prometheus::BuildCounter());
    return counter(child(state, family, labels));
}

gauge metric_registry::gaugeOf(const metric_family &family, std::initializer_list<label> labels)
{
    auto &state = m_implementation->state(m_implementation->gauges, family, prometheus::BuildGauge());
    return gauge(child(state, family, labels));
}

histogram metric_registry::histogramOf(const metric_family &family, std::initializer_list<label> labels)
{
    auto &state = m_implementation->state(m_implementation->histograms, family, prometheus::BuildHistogram());
    const std::vector<double> buckets(family.buckets.begin(), family.buckets.end());
    return histogram(child(state, family, labels, buckets));
}

std::string metric_registry::exposition() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_implementation->registry.Collect());
    return out.str();
}

} // namespace masticlever::telemetry
