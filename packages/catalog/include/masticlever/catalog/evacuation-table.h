#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Which data centres are evacuated, according to records that operators write to the store. Instances exchange what
/// they know; whatever order it arrives in, all of them conclude the same.

namespace masticlever::catalog
{

/// What is known of one data centre. The newest record counts; offsets are comparable only within one generation of the
/// store.
struct evacuation_record {
    std::string dataCentre;
    bool isEvacuated = false; ///< otherwise the evacuation has ended
    std::uint64_t generation = 0; ///< of the store that the record was read from
    std::uint64_t offset = 0;

    bool operator==(const evacuation_record &) const = default;
};

class evacuation_table
{
public:
    /// Applies a record that was read here or that another instance sent. Returns whether anything is new.
    bool onRecord(const evacuation_record &record);
    /// Applies a complete listing, of which \p dataCentres are the evacuated ones and \p end is the offset of the next
    /// record: other evacuations have ended. A listing of a store that was restored from a copy does not end those of
    /// earlier generations, because the copy may be older than they are. Returns whether anything is new.
    bool onListing(const std::set<std::string, std::less<>> &dataCentres, std::uint64_t generation, std::uint64_t end);

    bool isEvacuated(std::string_view dataCentre) const;
    std::set<std::string, std::less<>> evacuated() const;
    /// All records, with those of evacuations that have ended; sorted by data centre.
    std::vector<evacuation_record> records() const;

private:
    /// Limit on evacuations that have ended. They are kept so that an instance that still believes in one is corrected.
    static constexpr std::size_t maximumEnded = 64;

    void removeOldestEnded();

    std::map<std::string, evacuation_record, std::less<>> m_records; ///< by data centre
};

} // namespace masticlever::catalog
