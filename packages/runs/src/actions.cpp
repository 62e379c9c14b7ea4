#include <masticlever/runs/actions.h>

namespace masticlever::runs
{

std::string_view toString(disposition outcome)
{
    switch (outcome) {
    case disposition::answered:
        return "answered";
    case disposition::not_run:
        return "not_run";
    case disposition::failed:
        return "failed";
    case disposition::unknown:
        return "unknown";
    case disposition::conflict:
        return "conflict";
    }
    return "failed";
}

} // namespace masticlever::runs
