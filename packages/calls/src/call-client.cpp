#include <masticlever/calls/call-client.h>

namespace masticlever::calls
{

std::string_view toString(drop_reason reason)
{
    switch (reason) {
    case drop_reason::wrong_call_id:
        return "wrong_call_id";
    case drop_reason::wrong_digest:
        return "wrong_digest";
    case drop_reason::cut:
        return "cut";
    case drop_reason::too_large:
        return "too_large";
    }
    return "cut";
}

} // namespace masticlever::calls
