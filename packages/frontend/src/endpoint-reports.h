#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/time.h>
#include <masticlever/protocol/requests.h>

#include <functional>
#include <string_view>
#include <vector>

/// \file
/// Evaluates what endpoints report about themselves in their answers: that they are leaving, or that they accept no
/// requests for a while. Uses no sockets and no clock.

namespace masticlever::frontend
{

class endpoint_reports
{
public:
    /// Called with the endpoints that were newly found to be leaving.
    using leaving_handler = std::function<void(const std::vector<catalog::directory_change> &changes)>;

    endpoint_reports(catalog::endpoint_directory &directory, leaving_handler onLeaving)
        : m_directory(directory), m_onLeaving(std::move(onLeaving))
    { }

    /// The head of an answer to any request arrived from an endpoint.
    void onAnswer(std::string_view endpointId, int status, const protocol::answer_attributes &answer,
                  common::instant now);
    /// Like onAnswer(), for a call of which only the address is known.
    void onAnswerFrom(std::string_view address, int status, const protocol::answer_attributes &answer,
                      common::instant now);
    /// Another endpoint answered at the address of \p endpointId, which is therefore taken to be leaving.
    void onMisdirected(std::string_view endpointId, common::instant now);

private:
    void markLeaving(std::string_view endpointId, common::instant now);

    catalog::endpoint_directory &m_directory;
    leaving_handler m_onLeaving;
};

} // namespace masticlever::frontend
