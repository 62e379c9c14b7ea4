#include <masticlever/membership/instance-observer.h>

#include <utility>

namespace masticlever::membership
{

std::vector<observed_change> instance_observer::update(std::span<const instance_notice> live)
{
    std::vector<observed_change> changes;
    std::map<std::string, known_instance> current;
    for (const instance_notice &notice : live) {
        const auto previous = m_known.find(notice.incarnation);
        const bool isNew = previous == m_known.end();
        if (isNew) {
            changes.push_back({instance_change::live, notice.name, notice.incarnation});
        }
        if (notice.leaving && (isNew || !previous->second.leaving)) {
            changes.push_back({instance_change::leaving, notice.name, notice.incarnation});
        }
        current[notice.incarnation] = {notice.name, notice.leaving};
    }
    for (const auto &[incarnation, known] : m_known) {
        if (!known.leaving && !current.contains(incarnation)) {
            changes.push_back({instance_change::lost, known.name, incarnation});
        }
    }
    m_known = std::move(current);
    return changes;
}

} // namespace masticlever::membership
