#include <masticlever/net/memory-account.h>

#include <algorithm>

namespace masticlever::net
{

std::string_view nameOf(shed_cause cause)
{
    switch (cause) {
    case shed_cause::closing:
        return "memory_closing";
    case shed_cause::stalled_body:
        return "memory_stalled_body";
    case shed_cause::largest:
        return "memory_largest";
    case shed_cause::newest:
        break;
    }
    return "memory_newest";
}

std::size_t memory_use::total() const
{
    return std::max({declaredBody, receivedBody, allocatedBody}) + receiveBuffer + copies + readAhead + unsent + spare;
}

std::vector<shed_decision> memory_account::update(std::uint64_t connection, const memory_use &use, common::instant now)
{
    entry &changed = m_entries.try_emplace(connection, entry{{}, now}).first->second;
    const std::size_t former = changed.use.total();
    const std::size_t bytes = use.total();
    if (use.receivedBody != changed.use.receivedBody || !changed.use.isReadingBody) {
        changed.grownAt = now;
    }
    changed.use = use;
    m_held += bytes - former;
    std::vector<shed_decision> shed;
    while (bytes > former && !isWithinLimit(bytes)) {
        shed.push_back(chooseVictim(now));
        remove(shed.back().connection);
        if (shed.back().connection == connection) {
            break;
        }
    }
    return shed;
}

void memory_account::remove(std::uint64_t connection)
{
    const auto found = m_entries.find(connection);
    if (found != m_entries.end()) {
        m_held -= found->second.use.total();
        m_entries.erase(found);
    }
}

/// Whether a connection that now holds \p bytes may keep them.
bool memory_account::isWithinLimit(std::size_t bytes) const
{
    const std::size_t reserve = bytes <= m_options.smallUse ? m_options.limit / m_options.reserveDivisor : 0;
    return m_held <= m_options.limit + reserve;
}

shed_decision memory_account::chooseVictim(common::instant now) const
{
    shed_decision stalled;
    common::instant stalledSince = now - m_options.stallTime;
    shed_decision largest;
    for (const auto &[connection, held] : m_entries) {
        const std::size_t bytes = held.use.total();
        if (held.use.isClosing && bytes > m_options.smallUse) {
            return {connection, shed_cause::closing, bytes};
        }
        if (held.use.isReadingBody && bytes > m_options.smallUse && held.grownAt <= stalledSince) {
            stalledSince = held.grownAt;
            stalled = {connection, shed_cause::stalled_body, bytes};
        }
        if (bytes >= largest.bytes) {
            const bool isTie = bytes == largest.bytes && largest.connection != 0;
            largest = {connection, isTie ? shed_cause::newest : shed_cause::largest, bytes};
        }
    }
    return stalled.connection != 0 ? stalled : largest;
}

} // namespace masticlever::net
