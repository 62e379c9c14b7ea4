#pragma once

#include <masticlever/platform/instance-list.h>
#include <masticlever/platform/log-service.h>

#include <memory>
#include <string_view>

/// \file
/// HTTP adapters of the platform's log service and instance list.
///
/// Log:  POST {url}/v1/logs/{log}/records            body: payload; answer {"offset":N}
///       GET  {url}/v1/logs/{log}/records?from=N&limit=N&wait_ms=N
///            answer {"head":N,"end":N,"records":[{"offset":N,"appended_at_ms":N,"payload":"base64"}]}
/// List: GET  {url}/v1/instances   answer {"instances":[{"name","kind","state","address","peer_address",
///            "data_centre","incarnation"}]}
///       PUT  {url}/v1/instances/{incarnation}   body: one such object
/// A status of 503 with "Masticlever-Applied: no" means that nothing took effect. An append fails with
/// error::lost_answer on a broken connection and on any other failure.

namespace masticlever::platform
{

/// \p client is the name that this instance sends with its requests.
std::unique_ptr<log_service> makeHttpLogService(std::string_view url, std::string_view client);
std::unique_ptr<instance_list> makeHttpInstanceList(std::string_view url, std::string_view client);

} // namespace masticlever::platform
