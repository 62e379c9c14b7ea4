#pragma once

#include <masticlever/calls/call-client.h>

#include <memory>

/// \file
/// HTTP/1.1 client of the endpoints. Every call goes out at most once; repeating one is the run's decision.

namespace masticlever::calls
{

/// \p observer outlives the client.
std::unique_ptr<call_client> makeHttpCallClient(call_observer &observer);

} // namespace masticlever::calls
