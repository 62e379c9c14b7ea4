#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/time.h>
#include <masticlever/membership/rate-limits.h>
#include <masticlever/protocol/requests.h>
#include <masticlever/stages/pace-filter.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// Evaluates what endpoints report about themselves in their answers: that they are leaving, that they accept no
/// requests for a while, or only so many a second. Uses no sockets and no clock.

namespace masticlever::frontend
{

class endpoint_reports
{
public:
    /// Called with the endpoints that were newly found to be leaving.
    using leaving_handler = std::function<void(const std::vector<catalog::directory_change> &changes)>;

    endpoint_reports(catalog::endpoint_directory &directory, membership::rate_limit_table &rateLimits,
                     leaving_handler onLeaving)
        : m_directory(directory), m_rateLimits(rateLimits), m_onLeaving(std::move(onLeaving))
    { }

    /// The head of an answer to any request arrived from an endpoint. \p sentAt is when the request was sent; for an
    /// answer to another request, a time in the distant past.
    void onAnswer(std::string_view endpointId, int status, const protocol::answer_attributes &answer,
                  common::instant sentAt, common::instant now);
    /// Like onAnswer(), for a call of which only the address is known.
    void onAnswerFrom(std::string_view address, int status, const protocol::answer_attributes &answer,
                      common::instant sentAt, common::instant now);
    /// Another endpoint answered at the address of \p endpointId, which is therefore taken to be leaving.
    void onMisdirected(std::string_view endpointId, common::instant now);

    /// Whether an endpoint has reported the time that work takes there.
    bool hasPaces() const { return !m_paces.empty(); }
    /// Time that work takes at the endpoint now, relative to the usual time; 1 without reports.
    double paceOf(std::string_view endpointId, common::instant now) const;
    void forget(std::string_view endpointId);

private:
    void updatePace(std::string_view endpointId, const protocol::answer_attributes &answer, common::instant now);
    void markLeaving(std::string_view endpointId, common::instant now);
    void updateRateLimit(std::string_view endpointId, int status, const protocol::answer_attributes &answer,
                         common::instant sentAt, common::instant now);

    catalog::endpoint_directory &m_directory;
    membership::rate_limit_table &m_rateLimits;
    leaving_handler m_onLeaving;
    std::map<std::string, stages::pace_filter, std::less<>> m_paces; ///< by endpoint
};

} // namespace masticlever::frontend
