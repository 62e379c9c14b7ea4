#include "scenario.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// policy-bench [--csv FILE] [--seed N] [--hedging] [--only DEPLOYMENT] [--policy NAME] [--fault NAME] [--load X]
///              [--pool NAME] [--seconds N] [--quick]
/// Prints one line per deployment, policy, load and fault; the same seed gives every policy the same requests.
/// --quick: the default policy in the cells that the goals name.

namespace
{

using namespace masticlever;
using namespace masticlever::policy_bench;

struct settings {
    std::string csv;
    std::string only;
    std::string policy;
    std::string fault;
    std::string pool;
    double load = 0;
    std::uint64_t seed = 1;
    int seconds = 60;
    bool hedging = false;
    bool quick = false;
};

constexpr routing::policy_kind policies[] = {
    routing::policy_kind::random,      routing::policy_kind::round_robin,      routing::policy_kind::least_in_flight,
    routing::policy_kind::two_choices, routing::policy_kind::two_choices_aged, routing::policy_kind::prefix_affinity};
constexpr fault_kind faults[] = {fault_kind::none,   fault_kind::half_speed, fault_kind::dead,
                                 fault_kind::silent, fault_kind::burst,      fault_kind::data_centre};
constexpr double loads[] = {0.5, 0.7, 0.9, 1.2, 2.0};

settings parse(int argc, char **argv)
{
    settings read;
    for (int i = 1; i < argc; ++i) {
        const std::string_view name = argv[i];
        if (name == "--hedging" || name == "--quick") {
            read.hedging = read.hedging || name == "--hedging";
            read.quick = read.quick || name == "--quick";
            continue;
        }
        const std::string value = i + 1 < argc ? argv[++i] : "";
        if (name == "--csv") {
            read.csv = value;
        } else if (name == "--only") {
            read.only = value;
        } else if (name == "--policy") {
            read.policy = value;
        } else if (name == "--fault") {
            read.fault = value;
        } else if (name == "--pool") {
            read.pool = value;
        } else if (name == "--load") {
            read.load = std::strtod(value.c_str(), nullptr);
        } else if (name == "--seed") {
            read.seed = std::strtoull(value.c_str(), nullptr, 10);
        } else if (name == "--seconds") {
            read.seconds = std::atoi(value.c_str());
        } else {
            std::cerr << "unknown option " << name << '\n';
            std::exit(2);
        }
    }
    return read;
}

std::string stagesOf(const measurement &m)
{
    std::string text;
    for (const auto &[stage, calls] : m.callsByStage) {
        char number[32];
        std::snprintf(number, sizeof number, "%.3f", calls);
        text += (text.empty() ? "" : " ") + stage + '=' + number;
    }
    return text;
}

void printHeader()
{
    std::printf("%-8s %-16s %4s %-11s %6s %6s %6s %6s %5s %5s %6s %6s %5s %6s %6s %5s %5s %6s %5s\n", "where", "policy",
                "load", "fault", "attain", "good/s", "calls", "asked", "refus", "fail", "unkn", "refms", "late", "ft50",
                "ft95", "gap50", "gap95", "worst", "small");
}

void printRow(const scenario &what, const measurement &m)
{
    std::printf(
        "%-8s %-16s %4.1f %-11s %6.4f %6.1f %6.3f %6zu %5zu %5zu %6zu %6.1f %5.3f %6.0f %6.0f %5.0f %5.0f %6.4f "
        "%5.3f\n",
        what.where->name.c_str(), policyName(what.policy), what.load, faultName(what.fault), m.attainment, m.goodput,
        m.callsPerAnswer, m.asked, m.refused, m.failed + m.silent, m.unknown, m.refusalMeanMs, m.lateRefusals,
        m.firstTokenMs.p50, m.firstTokenMs.p95, m.tokenGapMs.p50, m.tokenGapMs.p95, m.worstTeam, m.smallTeams);
    std::fflush(stdout);
}

void writeCsvHeader(std::ostream &csv)
{
    csv << "deployment,policy,load,fault,seed,attainment,goodput_per_s,calls_per_answer,asked,answered,refused,failed,"
           "unknown,no_reply,refusal_mean_ms,late_refusals,first_token_p50_ms,first_token_p95_ms,first_token_p99_ms,"
           "token_gap_p50_ms,token_gap_p95_ms,token_gap_p99_ms,worst_team,small_teams,calls_by_stage\n";
}

void writeCsv(std::ostream &csv, const scenario &what, const measurement &m)
{
    csv << what.where->name << ',' << policyName(what.policy) << ',' << what.load << ',' << faultName(what.fault) << ','
        << what.seed << ',' << m.attainment << ',' << m.goodput << ',' << m.callsPerAnswer << ',' << m.asked << ','
        << m.answered << ',' << m.refused << ',' << m.failed << ',' << m.unknown << ',' << m.silent << ','
        << m.refusalMeanMs << ',' << m.lateRefusals << ',' << m.firstTokenMs.p50 << ',' << m.firstTokenMs.p95 << ','
        << m.firstTokenMs.p99 << ',' << m.tokenGapMs.p50 << ',' << m.tokenGapMs.p95 << ',' << m.tokenGapMs.p99 << ','
        << m.worstTeam << ',' << m.smallTeams << ',' << stagesOf(m) << '\n';
}

bool isWanted(const settings &chosen, const scenario &what)
{
    const bool isGoal = what.policy == routing::policy_kind::prefix_affinity
        && (what.fault == fault_kind::none
            || (what.load == 0.7 && what.fault != fault_kind::burst && what.fault != fault_kind::data_centre));
    if (chosen.quick && !isGoal) {
        return false;
    }
    return (chosen.only.empty() || chosen.only == what.where->name)
        && (chosen.policy.empty() || chosen.policy == policyName(what.policy))
        && (chosen.fault.empty() || chosen.fault == faultName(what.fault))
        && (chosen.load == 0 || chosen.load == what.load);
}

std::vector<scenario> allScenarios(const settings &chosen, const std::vector<deployment> &deployments)
{
    std::vector<scenario> all;
    for (const deployment &where : deployments) {
        for (const fault_kind fault : faults) {
            for (const double load : loads) {
                for (const routing::policy_kind policy : policies) {
                    scenario what{.where = &where, .policy = policy, .load = load, .fault = fault};
                    what.faultPool = chosen.pool;
                    what.seed = chosen.seed;
                    what.measured = std::chrono::seconds(chosen.seconds);
                    if (isWanted(chosen, what)) {
                        all.push_back(what);
                    }
                }
            }
        }
    }
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    const settings chosen = parse(argc, argv);
    const std::vector<deployment> deployments{slipperDeployment(chosen.hedging), quiltDeployment(chosen.hedging)};
    std::ofstream csv;
    if (!chosen.csv.empty()) {
        csv.open(chosen.csv);
        writeCsvHeader(csv);
    }
    printHeader();
    for (const scenario &what : allScenarios(chosen, deployments)) {
        const measurement result = runScenario(what);
        printRow(what, result);
        if (csv.is_open()) {
            writeCsv(csv, what, result);
        }
    }
    return 0;
}
