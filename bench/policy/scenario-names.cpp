#include "scenario.h"

namespace masticlever::policy_bench
{

const char *policyName(routing::policy_kind policy)
{
    switch (policy) {
    case routing::policy_kind::random:
        return "random";
    case routing::policy_kind::round_robin:
        return "round_robin";
    case routing::policy_kind::least_in_flight:
        return "least_in_flight";
    case routing::policy_kind::two_choices:
        return "two_choices";
    case routing::policy_kind::two_choices_aged:
        return "two_choices_aged";
    case routing::policy_kind::prefix_affinity:
        return "prefix_affinity";
    }
    return "?";
}

const char *faultName(fault_kind fault)
{
    switch (fault) {
    case fault_kind::none:
        return "none";
    case fault_kind::half_speed:
        return "half_speed";
    case fault_kind::dead:
        return "dead";
    case fault_kind::silent:
        return "silent";
    case fault_kind::burst:
        return "burst";
    case fault_kind::data_centre:
        return "data_centre";
    }
    return "?";
}

} // namespace masticlever::policy_bench
