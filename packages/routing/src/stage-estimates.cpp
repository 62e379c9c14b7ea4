#include <masticlever/routing/stage-estimates.h>

#include <masticlever/routing/duration-histogram.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace masticlever::routing
{

namespace
{

/// Share of the budget for an attempt of a stage without estimates; leaves time for one more attempt.
constexpr double defaultTimeoutShare = 0.5;

struct stage_record {
    duration_histogram service;
    duration_histogram firstToken;
};

using stage_map = std::map<std::string, stage_record, std::less<>>;

} // namespace

struct stage_estimates::state {
    estimate_options options;
    std::map<std::string, stage_map, std::less<>> pipelines;

    stage_record &record(std::string_view pipeline, std::string_view stage);
    const stage_record *find(std::string_view pipeline, std::string_view stage) const;
    std::optional<common::duration> quantileIfKnown(const duration_histogram &histogram, double q) const;
    common::duration service(std::string_view pipeline, std::string_view stage, double q) const;
    std::optional<common::duration> responseTime(std::string_view pipeline, const configuration::stage_spec &stage,
                                                 double q) const;
};

stage_record &stage_estimates::state::record(std::string_view pipeline, std::string_view stage)
{
    auto stages = pipelines.find(pipeline);
    if (stages == pipelines.end()) {
        stages = pipelines.emplace(std::string(pipeline), stage_map{}).first;
    }
    const auto found = stages->second.find(stage);
    if (found != stages->second.end()) {
        return found->second;
    }
    return stages->second.emplace(std::string(stage), stage_record{}).first->second;
}

const stage_record *stage_estimates::state::find(std::string_view pipeline, std::string_view stage) const
{
    const auto stages = pipelines.find(pipeline);
    if (stages == pipelines.end()) {
        return nullptr;
    }
    const auto found = stages->second.find(stage);
    return found == stages->second.end() ? nullptr : &found->second;
}

std::optional<common::duration> stage_estimates::state::quantileIfKnown(const duration_histogram &histogram,
                                                                        double q) const
{
    if (histogram.weight() < static_cast<double>(options.minimumSamples)) {
        return std::nullopt;
    }
    return histogram.quantile(q);
}

common::duration stage_estimates::state::service(std::string_view pipeline, std::string_view stage, double q) const
{
    const stage_record *found = find(pipeline, stage);
    if (found == nullptr) {
        return {};
    }
    return quantileIfKnown(found->service, q).value_or(common::duration::zero());
}

/// Quantile of the time to the first token of a streamed stage, or to the answer of another stage.
std::optional<common::duration>
stage_estimates::state::responseTime(std::string_view pipeline, const configuration::stage_spec &stage, double q) const
{
    const stage_record *found = find(pipeline, stage.name);
    if (found == nullptr) {
        return std::nullopt;
    }
    return quantileIfKnown(stage.streamed ? found->firstToken : found->service, q);
}

stage_estimates::stage_estimates(estimate_options options) : m_state(std::make_unique<state>())
{
    m_state->options = options;
}

stage_estimates::~stage_estimates() = default;
stage_estimates::stage_estimates(stage_estimates &&) noexcept = default;
stage_estimates &stage_estimates::operator=(stage_estimates &&) noexcept = default;

void stage_estimates::onAnswered(std::string_view pipeline, std::string_view stage, common::duration service)
{
    m_state->record(pipeline, stage).service.record(service);
}

void stage_estimates::onAttemptTimeout(std::string_view pipeline, const configuration::stage_spec &stage,
                                       common::duration waited)
{
    stage_record &record = m_state->record(pipeline, stage.name);
    (stage.streamed ? record.firstToken : record.service).record(waited);
}

void stage_estimates::onFirstToken(std::string_view pipeline, std::string_view stage, common::duration delay)
{
    m_state->record(pipeline, stage).firstToken.record(delay);
}

common::duration stage_estimates::budgetFor(std::string_view pipeline, const configuration::pipeline_spec &spec,
                                            std::size_t index, common::duration remaining) const
{
    const common::duration later = expectedRemaining(pipeline, spec, index + 1);
    const common::duration own = expectedRemaining(pipeline, spec, index) - later;
    if (later + own <= common::duration::zero()) {
        return remaining;
    }
    const auto share = static_cast<double>(own.count()) / static_cast<double>((own + later).count());
    const common::duration budget = std::max(remaining - later, common::scaled(remaining, share));
    return std::clamp(budget, common::duration::zero(), std::max(remaining, common::duration::zero()));
}

common::duration stage_estimates::expectedRemaining(std::string_view pipeline, const configuration::pipeline_spec &spec,
                                                    std::size_t from) const
{
    common::duration sum{};
    for (std::size_t i = from; i < spec.stages.size(); ++i) {
        sum += m_state->service(pipeline, spec.stages[i].name, m_state->options.laterStageQuantile);
    }
    return sum;
}

common::duration stage_estimates::hedgeDelay(std::string_view pipeline, const configuration::stage_spec &stage) const
{
    return m_state->responseTime(pipeline, stage, m_state->options.hedgeQuantile).value_or(common::duration::max());
}

common::duration stage_estimates::attemptTimeout(std::string_view pipeline, const configuration::stage_spec &stage,
                                                 common::duration budget) const
{
    const auto quantile = m_state->responseTime(pipeline, stage, m_state->options.timeoutQuantile);
    if (!quantile) {
        return common::scaled(budget, defaultTimeoutShare);
    }
    const common::duration timeout = common::scaled(*quantile, m_state->options.timeoutFactor);
    return std::min(budget, std::max(timeout, m_state->options.minimumTimeout));
}

common::duration stage_estimates::firstToken(std::string_view pipeline, std::string_view stage) const
{
    constexpr double median = 0.5;
    const stage_record *found = m_state->find(pipeline, stage);
    if (found == nullptr) {
        return {};
    }
    return m_state->quantileIfKnown(found->firstToken, median).value_or(common::duration::zero());
}

} // namespace masticlever::routing
