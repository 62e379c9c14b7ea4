#include <masticlever/catalog/evacuation-table.h>

#include <algorithm>
#include <tuple>

namespace masticlever::catalog
{

namespace
{

auto order(const evacuation_record &record)
{
    return std::tuple(record.generation, record.offset);
}

} // namespace

bool evacuation_table::onRecord(const evacuation_record &record)
{
    const auto [known, isAdded] = m_records.try_emplace(record.dataCentre, record);
    if (!isAdded) {
        if (order(record) <= order(known->second)) {
            return false;
        }
        known->second = record;
    }
    removeOldestEnded();
    return true;
}

bool evacuation_table::onListing(const std::set<std::string, std::less<>> &dataCentres, std::uint64_t generation,
                                 std::uint64_t end)
{
    bool isChanged = false;
    for (const evacuation_record &known : records()) {
        const bool isListedBefore = known.generation == generation && known.offset < end;
        if (known.isEvacuated && isListedBefore && !dataCentres.contains(known.dataCentre)) {
            // Its record was removed by a later one, which is at the end of what was listed at the latest.
            isChanged
                = onRecord({known.dataCentre, false, generation, std::max(known.offset + 1, end - 1)}) || isChanged;
        }
    }
    return isChanged;
}

bool evacuation_table::isEvacuated(std::string_view dataCentre) const
{
    const auto found = m_records.find(dataCentre);
    return found != m_records.end() && found->second.isEvacuated;
}

std::set<std::string, std::less<>> evacuation_table::evacuated() const
{
    std::set<std::string, std::less<>> found;
    for (const auto &[dataCentre, record] : m_records) {
        if (record.isEvacuated) {
            found.insert(dataCentre);
        }
    }
    return found;
}

std::vector<evacuation_record> evacuation_table::records() const
{
    std::vector<evacuation_record> all;
    all.reserve(m_records.size());
    for (const auto &[dataCentre, record] : m_records) {
        all.push_back(record);
    }
    return all;
}

void evacuation_table::removeOldestEnded()
{
    std::size_t endedCount = 0;
    auto oldest = m_records.end();
    for (auto it = m_records.begin(); it != m_records.end(); ++it) {
        if (!it->second.isEvacuated) {
            ++endedCount;
            oldest = oldest == m_records.end() || order(it->second) < order(oldest->second) ? it : oldest;
        }
    }
    if (endedCount > maximumEnded) {
        m_records.erase(oldest);
    }
}

} // namespace masticlever::catalog
