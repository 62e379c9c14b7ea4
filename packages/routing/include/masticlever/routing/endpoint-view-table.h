#pragma once

#include <masticlever/common/time.h>
#include <masticlever/routing/endpoint-view.h>
#include <masticlever/routing/load-messages.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// One instance's requests at endpoints, as it reports them to the reader, and the load of the other instances there,
/// as the reader sends it.

namespace masticlever::routing
{

struct request_tokens {
    std::uint64_t prompt = 0;
    std::uint64_t output = 0; ///< expected
    std::uint64_t uncached = 0; ///< of the prompt, that the endpoint has to process
};

enum class own_outcome {
    answered,
    failed, ///< a failure of the endpoint itself
    neither, ///< refused, or given up by the caller
};

struct endpoint_view_options {
    /// A view that the reader has not sent again for this time is unknown. Of 600 endpoints, it sends each in 5 s.
    common::duration retention = std::chrono::seconds(8);
    std::size_t maximumEndpoints = 4096; ///< updates of further ones are ignored
};

struct view_totals {
    std::size_t known = 0;
    double othersInFlight = 0;
};

class endpoint_view_table
{
public:
    explicit endpoint_view_table(endpoint_view_options options) : m_options(options) { }

    void onOwnBegin(std::string_view id, const request_tokens &tokens);
    /// The first bytes of an answer have arrived, so the prompt has been processed. \p firstEvent is the time since
    /// sending; nothing for an answer that is no stream, as its time depends on the length of the output.
    void onOwnFirstAnswer(std::string_view id, const request_tokens &tokens,
                          std::optional<common::duration> firstEvent);
    /// \p hasFirstAnswer tells whether onOwnFirstAnswer() was called for the request.
    void onOwnEnd(std::string_view id, const request_tokens &tokens, own_outcome outcome, bool hasFirstAnswer);

    /// Returns what has changed since the last report.
    std::vector<load_report_entry> takeReport();
    /// The next report is the first one to a new reader and states all requests.
    void restartReports();
    void onUpdate(std::span<const load_update_entry> entries, common::instant now);
    /// Removes entries without influence; called about once a second.
    void removeIdle(common::instant now);

    endpoint_view view(std::string_view id, common::instant now) const;
    /// Of all endpoints with a known view.
    view_totals totals(common::instant now) const;

private:
    struct own_load {
        std::uint32_t inFlight = 0;
        std::uint64_t tokens = 0;
        std::uint64_t pendingTokens = 0;

        bool operator==(const own_load &) const = default;
    };

    struct endpoint_state {
        own_load own;
        own_load reported;
        load_report_entry sinceReport; ///< only its counts of outcomes and first events
        std::optional<endpoint_view> received;
        common::instant receivedAt;
    };

    bool isKnown(const endpoint_state &state, common::instant now) const;

    endpoint_view_options m_options;
    std::unordered_map<endpoint_key, endpoint_state> m_states;
};

} // namespace masticlever::routing
