#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/time.h>
#include <masticlever/protocol/requests.h>

#include <functional>
#include <string_view>
#include <vector>

/// \file
/// What endpoints say of themselves in their answers: that they leave, or that they want nothing for a while. Holds no
/// socket and no clock.

namespace masticlever::frontend
{

class endpoint_reports
{
public:
    /// Told of endpoints that are known to leave from now on.
    using leaving_handler = std::function<void(const std::vector<catalog::directory_change> &changes)>;

    endpoint_reports(catalog::endpoint_directory &directory, leaving_handler onLeaving)
        : m_directory(directory), m_onLeaving(std::move(onLeaving))
    { }

    /// The head of an answer came from an endpoint, of whatever request.
    void onAnswer(std::string_view endpointId, int status, const protocol::answer_attributes &answer,
                  common::instant now);
    /// The same for an answer to a call that names only an address.
    void onAnswerFrom(std::string_view address, int status, const protocol::answer_attributes &answer,
                      common::instant now);
    /// Another endpoint answered at its address.
    void onMisdirected(std::string_view endpointId, common::instant now);

private:
    void leave(std::string_view endpointId, common::instant now);

    catalog::endpoint_directory &m_directory;
    leaving_handler m_onLeaving;
};

} // namespace masticlever::frontend
