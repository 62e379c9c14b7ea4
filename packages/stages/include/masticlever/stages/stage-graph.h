#pragma once

#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>
#include <masticlever/protocol/requests.h>

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Dependency graph of the stage results that one request needs. Tracks which pieces can be ordered, which results are
/// available and which are no longer needed.

namespace masticlever::stages
{

struct piece_ref {
    std::size_t stage = 0;
    std::size_t piece = 0;

    auto operator<=>(const piece_ref &) const = default;
};

struct piece_outcome {
    piece_ref piece;
    protocol::piece_result result;
};

/// A piece to order. It names its inputs, as the graph may have lost them by the time the order is sent.
struct piece_order {
    piece_ref piece;
    protocol::handle_list inputs; ///< empty if no stage before it has pieces
};

class stage_graph
{
public:
    /// \p counts holds the number of pieces of each stage. Missing entries count as 0, and stages without pieces are
    /// skipped.
    stage_graph(std::span<const catalog::stage_spec> stages, std::span<const std::size_t> counts);

    /// Returns the waiting pieces whose inputs are available, and marks them as in flight.
    std::vector<piece_order> takeReady();
    /// A result is available. Returns the handles that are no longer needed: a duplicate result, or inputs.
    std::vector<std::string> onResult(piece_ref piece, std::string handle);
    /// The piece failed; it becomes ready again.
    void onFailed(piece_ref piece);
    /// An input of \p piece, in flight, is lost. Inputs whose producer is gone according to \p isProducerGone are
    /// computed again. If that holds for none and its order named the current inputs, all of them are; if they have
    /// changed since its order, the loss is known already. takeDiscarded() returns the handles.
    void onInputGone(piece_ref piece, const std::function<bool(std::string_view handle)> &isProducerGone);
    /// An input of the request itself is lost. Inputs whose producer is gone are computed again, or all of them if that
    /// holds for none.
    void onFinalInputGone(const std::function<bool(std::string_view handle)> &isProducerGone);
    /// Takes the handles of results that were computed again and may still be stored, except those that an order in
    /// flight reads and whose loss is not certain.
    std::vector<std::string> takeDiscarded();

    /// The request itself has read its inputs, which are only needed again if it is retried. Returns their handles.
    std::vector<std::string> releaseFinalInputs();
    /// The request is retried: inputs that were released become ready to be computed again.
    void recomputeFinalInputs();

    bool isComplete() const;
    /// Handles of the available results of stage \p index.
    std::vector<std::string> handlesOf(std::size_t index) const;
    /// Handles of the results that the request itself reads.
    std::vector<std::string> finalInputs() const;
    /// Handles of all results that have not been released, with those that takeDiscarded() would return later.
    std::vector<std::string> heldHandles() const;

    /// Number of pieces without a result.
    std::size_t missingPieces() const;
    std::size_t missingPieces(std::size_t index) const;

private:
    enum class piece_state { waiting, in_flight, available, released };

    struct piece_entry {
        piece_state state = piece_state::waiting;
        std::string handle;
        protocol::handle_list inputs; ///< named by the order in flight
    };

    struct stage_entry {
        const catalog::stage_spec *spec = nullptr;
        std::vector<piece_entry> pieces;
        protocol::handle_list orderedInputs; ///< of its last order
        bool isFinal = true; ///< no other stage reads its results
    };

    bool isStageComplete(std::size_t index) const;
    bool hasWaitingPieces(std::size_t index) const;
    bool areInputsComplete(std::size_t index) const;
    std::vector<std::string> inputsOf(std::size_t index) const;
    const protocol::handle_list &completeInputs(std::size_t index);
    bool isStageNeeded(std::size_t index) const;
    std::vector<std::string> releaseUnneeded();
    bool hasCurrentInputs(piece_ref piece) const;
    bool discardLost(std::span<const std::size_t> stages, const std::function<bool(std::string_view)> &isProducerGone);
    void discardAll(std::span<const std::size_t> stages);
    void recomputeReleased(std::size_t index);
    void recomputeReleasedInputs();
    std::vector<std::string> releaseStage(stage_entry &stage);

    std::vector<stage_entry> m_stages;
    std::vector<std::string> m_lost; ///< discarded results whose producer is gone
    std::vector<std::string> m_doubtful; ///< other discarded results, which orders in flight may still read
};

} // namespace masticlever::stages
