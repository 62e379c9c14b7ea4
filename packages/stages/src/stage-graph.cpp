#include <masticlever/stages/stage-graph.h>

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace masticlever::stages
{

stage_graph::stage_graph(std::span<const catalog::stage_spec> stages, std::span<const std::size_t> counts)
{
    for (std::size_t i = 0; i < stages.size(); ++i) {
        stage_entry entry;
        entry.spec = &stages[i];
        entry.pieces.resize(i < counts.size() ? counts[i] : 0);
        m_stages.push_back(std::move(entry));
    }
    for (const stage_entry &entry : m_stages) {
        for (const std::size_t predecessor : entry.spec->after) {
            m_stages[predecessor].isFinal = false;
        }
    }
}

bool stage_graph::isStageComplete(std::size_t index) const
{
    return std::ranges::all_of(m_stages[index].pieces, [](const piece_entry &piece) {
        return piece.state == piece_state::available || piece.state == piece_state::released;
    });
}

bool stage_graph::hasWaitingPieces(std::size_t index) const
{
    return std::ranges::any_of(m_stages[index].pieces,
                               [](const piece_entry &piece) { return piece.state == piece_state::waiting; });
}

bool stage_graph::areInputsComplete(std::size_t index) const
{
    return std::ranges::all_of(m_stages[index].spec->after, [&](std::size_t predecessor) {
        return std::ranges::all_of(m_stages[predecessor].pieces,
                                   [](const piece_entry &piece) { return piece.state == piece_state::available; });
    });
}

/// Handles of all results that the stage reads, ordered by stage and piece; blank if they are not available.
std::vector<std::string> stage_graph::inputsOf(std::size_t index) const
{
    std::vector<std::string> handles;
    for (const std::size_t predecessor : m_stages[index].spec->after) {
        for (const piece_entry &piece : m_stages[predecessor].pieces) {
            handles.push_back(piece.handle);
        }
    }
    return handles;
}

/// Inputs of the stage, in the same memory as for its last order if they have not changed. Requires that
/// areInputsComplete().
const protocol::handle_list &stage_graph::completeInputs(std::size_t index)
{
    protocol::handle_list current(inputsOf(index));
    protocol::handle_list &ordered = m_stages[index].orderedInputs;
    if (current != ordered) {
        ordered = std::move(current);
    }
    return ordered;
}

std::vector<piece_order> stage_graph::takeReady()
{
    std::vector<piece_order> ready;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (!hasWaitingPieces(i) || !areInputsComplete(i)) {
            continue;
        }
        const protocol::handle_list &inputs = completeInputs(i);
        for (std::size_t j = 0; j < m_stages[i].pieces.size(); ++j) {
            piece_entry &piece = m_stages[i].pieces[j];
            if (piece.state == piece_state::waiting) {
                piece.state = piece_state::in_flight;
                piece.inputs = inputs;
                ready.push_back({{i, j}, inputs});
            }
        }
    }
    return ready;
}

std::vector<std::string> stage_graph::onResult(piece_ref ref, std::string handle)
{
    piece_entry &piece = m_stages[ref.stage].pieces[ref.piece];
    if (piece.state == piece_state::available || piece.state == piece_state::released) {
        return piece.handle == handle ? std::vector<std::string>{} : std::vector<std::string>{std::move(handle)};
    }
    piece = {piece_state::available, std::move(handle), {}};
    return releaseUnneeded();
}

/// Results of the final stages are always needed, others until all stages that read them are complete.
bool stage_graph::isStageNeeded(std::size_t index) const
{
    if (m_stages[index].isFinal) {
        return true;
    }
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const auto &after = m_stages[i].spec->after;
        const bool isReader = std::ranges::find(after, index) != after.end();
        if (isReader && !isStageComplete(i)) {
            return true;
        }
    }
    return false;
}

std::vector<std::string> stage_graph::releaseUnneeded()
{
    std::vector<std::string> released;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (!isStageNeeded(i)) {
            std::ranges::move(releaseStage(m_stages[i]), std::back_inserter(released));
        }
    }
    return released;
}

std::vector<std::string> stage_graph::releaseStage(stage_entry &stage)
{
    std::vector<std::string> released;
    for (piece_entry &piece : stage.pieces) {
        if (piece.state == piece_state::available) {
            piece.state = piece_state::released;
            released.push_back(std::exchange(piece.handle, {}));
        }
    }
    return released;
}

std::vector<std::string> stage_graph::releaseFinalInputs()
{
    std::vector<std::string> released;
    for (stage_entry &stage : m_stages) {
        if (stage.isFinal) {
            std::ranges::move(releaseStage(stage), std::back_inserter(released));
        }
    }
    return released;
}

void stage_graph::recomputeFinalInputs()
{
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (m_stages[i].isFinal) {
            recomputeReleased(i);
        }
    }
    recomputeReleasedInputs();
}

void stage_graph::onFailed(piece_ref ref)
{
    piece_entry &piece = m_stages[ref.stage].pieces[ref.piece];
    if (piece.state == piece_state::in_flight) {
        piece = {};
    }
}

/// Released results of the stage must be computed again. Their own inputs are left to recomputeReleasedInputs().
void stage_graph::recomputeReleased(std::size_t index)
{
    for (piece_entry &piece : m_stages[index].pieces) {
        if (piece.state == piece_state::released) {
            piece.state = piece_state::waiting;
        }
    }
}

/// Discards the available results whose producer is gone. Returns whether there are any.
bool stage_graph::discardLost(std::span<const std::size_t> stages,
                              const std::function<bool(std::string_view)> &isProducerGone)
{
    const std::size_t before = m_lost.size();
    for (const std::size_t index : stages) {
        for (piece_entry &piece : m_stages[index].pieces) {
            if (piece.state == piece_state::available && isProducerGone(piece.handle)) {
                m_lost.push_back(std::exchange(piece, {}).handle);
            }
        }
    }
    return m_lost.size() > before;
}

void stage_graph::discardAll(std::span<const std::size_t> stages)
{
    for (const std::size_t index : stages) {
        for (piece_entry &piece : m_stages[index].pieces) {
            if (piece.state == piece_state::available) {
                m_doubtful.push_back(std::exchange(piece, {}).handle);
            }
        }
    }
}

/// Waiting pieces need their inputs: released ones are computed again, transitively up to the first stages.
void stage_graph::recomputeReleasedInputs()
{
    for (bool hasChanged = true; hasChanged;) {
        hasChanged = false;
        for (std::size_t i = 0; i < m_stages.size(); ++i) {
            const bool isWaiting = hasWaitingPieces(i);
            for (const std::size_t predecessor : m_stages[i].spec->after) {
                const auto isReleased = [](const piece_entry &piece) { return piece.state == piece_state::released; };
                if (isWaiting && std::ranges::any_of(m_stages[predecessor].pieces, isReleased)) {
                    recomputeReleased(predecessor);
                    hasChanged = true;
                }
            }
        }
    }
}

/// Whether the inputs that the piece's order named are still those of its stage.
bool stage_graph::hasCurrentInputs(piece_ref ref) const
{
    const piece_entry &piece = m_stages[ref.stage].pieces[ref.piece];
    return areInputsComplete(ref.stage) && std::ranges::equal(piece.inputs.view(), inputsOf(ref.stage));
}

void stage_graph::onInputGone(piece_ref ref, const std::function<bool(std::string_view)> &isProducerGone)
{
    const bool isCurrent = hasCurrentInputs(ref);
    onFailed(ref);
    const auto &after = m_stages[ref.stage].spec->after;
    if (!discardLost(after, isProducerGone) && isCurrent) {
        discardAll(after);
    }
    recomputeReleasedInputs();
}

void stage_graph::onFinalInputGone(const std::function<bool(std::string_view)> &isProducerGone)
{
    std::vector<std::size_t> finalStages;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (m_stages[i].isFinal) {
            finalStages.push_back(i);
        }
    }
    if (!discardLost(finalStages, isProducerGone)) {
        discardAll(finalStages);
    }
    recomputeReleasedInputs();
}

std::vector<std::string> stage_graph::takeDiscarded()
{
    std::vector<std::string> discarded = std::exchange(m_lost, {});
    if (m_doubtful.empty()) {
        return discarded;
    }
    std::unordered_set<std::string_view> read;
    for (const stage_entry &stage : m_stages) {
        const protocol::handle_list *last = nullptr; // the pieces of a stage share few lists
        for (const piece_entry &piece : stage.pieces) {
            if (last == nullptr || !piece.inputs.sharesWith(*last)) {
                read.insert(piece.inputs.view().begin(), piece.inputs.view().end());
                last = &piece.inputs;
            }
        }
    }
    const auto isRead = [&](const std::string &handle) { return read.contains(handle); };
    const auto unread = std::stable_partition(m_doubtful.begin(), m_doubtful.end(), isRead);
    std::move(unread, m_doubtful.end(), std::back_inserter(discarded));
    m_doubtful.erase(unread, m_doubtful.end());
    return discarded;
}

bool stage_graph::isComplete() const
{
    return missingPieces() == 0;
}

std::size_t stage_graph::missingPieces(std::size_t index) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_stages[index].pieces, [](const piece_entry &piece) {
        return piece.state == piece_state::waiting || piece.state == piece_state::in_flight;
    }));
}

std::size_t stage_graph::missingPieces() const
{
    std::size_t missing = 0;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        missing += missingPieces(i);
    }
    return missing;
}

std::vector<std::string> stage_graph::finalInputs() const
{
    std::vector<std::string> handles;
    for (const stage_entry &entry : m_stages) {
        for (const piece_entry &piece : entry.pieces) {
            if (entry.isFinal) {
                handles.push_back(piece.handle);
            }
        }
    }
    return handles;
}

std::vector<std::string> stage_graph::handlesOf(std::size_t index) const
{
    std::vector<std::string> handles;
    for (const piece_entry &piece : m_stages[index].pieces) {
        if (piece.state == piece_state::available) {
            handles.push_back(piece.handle);
        }
    }
    return handles;
}

std::vector<std::string> stage_graph::heldHandles() const
{
    std::vector<std::string> handles;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        std::ranges::move(handlesOf(i), std::back_inserter(handles));
    }
    handles.insert(handles.end(), m_doubtful.begin(), m_doubtful.end());
    return handles;
}

} // namespace masticlever::stages
