#pragma once

#include <masticlever/calls/call-client.h>

#include <memory>

/// \file
/// HTTP/1.1 client that calls endpoints. It sends every call at most once; retries are decided by the run.

namespace masticlever::calls
{

/// \p observer must outlive the client.
std::unique_ptr<call_client> makeHttpCallClient(call_observer &observer);

} // namespace masticlever::calls
