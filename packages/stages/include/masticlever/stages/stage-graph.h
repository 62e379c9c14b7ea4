#pragma once

#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The stage results that one request needs: which can be ordered, which are there, which are no longer needed.

namespace masticlever::stages
{

struct piece_ref {
    std::size_t stage = 0;
    std::size_t piece = 0;

    auto operator<=>(const piece_ref &) const = default;
};

class stage_graph
{
public:
    /// \p counts holds the number of pieces of each stage; missing ones are 0, which leaves the stage out.
    stage_graph(std::span<const catalog::stage_spec> stages, std::span<const std::size_t> counts);

    /// Pieces whose inputs are there and that are not under way; they count as under way from now on.
    std::vector<piece_ref> takeReady();
    /// A result is there. Returns handles that nothing needs any more: of a second copy, or of inputs.
    std::vector<std::string> onResult(piece_ref piece, std::string handle);
    /// The piece was not made; it becomes ready again.
    void onFailed(piece_ref piece);
    /// An input of \p piece is gone. Results whose maker \p isMakerGone are made again; all inputs when none is known.
    /// Returns the handles of the former results, which may still be held.
    std::vector<std::string> onInputGone(piece_ref piece,
                                         const std::function<bool(std::string_view handle)> &isMakerGone);
    /// As onInputGone(), for the inputs of the request itself.
    std::vector<std::string> onFinalInputGone(const std::function<bool(std::string_view handle)> &isMakerGone);

    /// The request itself has read its inputs: nothing needs them unless it is called again. Returns their handles.
    std::vector<std::string> releaseFinal();
    /// The request is called again: released results that it reads become ready to be made once more.
    void reopenFinal();

    bool isComplete() const;
    /// Handles of all results that stage \p index reads, in the order of stages and pieces.
    std::vector<std::string> inputsOf(std::size_t index) const;
    /// Handles of the results of stage \p index that are there.
    std::vector<std::string> handlesOf(std::size_t index) const;
    /// Handles that the request itself reads.
    std::vector<std::string> finalInputs() const;
    /// All handles that are still held.
    std::vector<std::string> heldHandles() const;

    /// Pieces that have no result yet.
    std::size_t missingPieces() const;
    std::size_t missingPieces(std::size_t index) const;

private:
    enum class piece_state { waiting, under_way, made, released };

    struct piece_entry {
        piece_state state = piece_state::waiting;
        std::string handle;
    };

    struct stage_entry {
        const catalog::stage_spec *spec = nullptr;
        std::vector<piece_entry> pieces;
        bool isFinal = true;
    };

    bool isStageComplete(std::size_t index) const;
    bool areInputsComplete(std::size_t index) const;
    bool isStageNeeded(std::size_t index) const;
    std::vector<std::string> releaseUnneeded();
    std::vector<std::string> redo(std::span<const std::size_t> stages,
                                  const std::function<bool(std::string_view)> &isMakerGone);
    void reopen(std::size_t index);
    void reopenReleasedInputs();
    std::vector<std::string> releaseStage(stage_entry &stage);

    std::vector<stage_entry> m_stages;
};

} // namespace masticlever::stages
