#include <masticlever/routing/load-messages.h>

#include <masticlever/common/errors.h>

#include <algorithm>
#include <cmath>

namespace masticlever::routing
{

namespace
{

// The first byte of each kind of message. A message with another first byte comes from a later version.
constexpr char reportFormat = 1;
constexpr char updateFormat = 2;

constexpr unsigned byteBits = 8;
constexpr unsigned groupBits = 7; ///< of a number, in each of its bytes
constexpr unsigned groupMask = 0x7f;
constexpr unsigned continues = 0x80;
constexpr unsigned longestNumber = 63;
constexpr double slownessSteps = 16; ///< per unit of the binary logarithm
constexpr double shareSteps = 255;
constexpr double paceSteps = 50; ///< per unit; a pace is 4 at most
constexpr common::duration ageStep = std::chrono::milliseconds(10);

void putKey(std::string &bytes, endpoint_key key)
{
    for (std::size_t i = 0; i < sizeof(key); ++i) {
        bytes += static_cast<char>(key >> (byteBits * i) & 0xff);
    }
}

void putNumber(std::string &bytes, std::uint64_t number)
{
    while (number > groupMask) {
        bytes += static_cast<char>((number & groupMask) | continues);
        number >>= groupBits;
    }
    bytes += static_cast<char>(number);
}

void putTokens(std::string &bytes, std::uint64_t tokens)
{
    putNumber(bytes, (tokens + tokenUnit / 2) / tokenUnit);
}

void putSigned(std::string &bytes, std::int64_t number)
{
    putNumber(bytes, static_cast<std::uint64_t>(number) << 1 ^ static_cast<std::uint64_t>(number >> 63));
}

class message_reader
{
public:
    explicit message_reader(std::string_view bytes) : m_bytes(bytes) { }

    bool hasMore() const { return m_isValid && !m_bytes.empty(); }
    bool isValid() const { return m_isValid; }

    unsigned char byte()
    {
        if (m_bytes.empty()) {
            m_isValid = false;
            return 0;
        }
        const auto first = static_cast<unsigned char>(m_bytes.front());
        m_bytes.remove_prefix(1);
        return first;
    }

    endpoint_key key()
    {
        endpoint_key value = 0;
        for (std::size_t i = 0; i < sizeof(value); ++i) {
            value |= static_cast<endpoint_key>(byte()) << (byteBits * i);
        }
        return value;
    }

    std::uint64_t number()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < longestNumber; shift += groupBits) {
            const unsigned char group = byte();
            value |= std::uint64_t{group & groupMask} << shift;
            if ((group & continues) == 0) {
                return value;
            }
        }
        m_isValid = false;
        return 0;
    }

    /// A number that is added up, so that a malformed message cannot make a sum overflow.
    std::uint64_t bounded()
    {
        constexpr std::uint64_t limit = 1u << 30;
        const std::uint64_t value = number();
        m_isValid = m_isValid && value <= limit;
        return value;
    }

    std::uint32_t count() { return static_cast<std::uint32_t>(bounded()); }
    std::uint64_t tokens() { return bounded() * tokenUnit; }

    std::int64_t signedNumber()
    {
        const std::uint64_t value = number();
        return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
    }

private:
    std::string_view m_bytes;
    bool m_isValid = true;
};

void put(std::string &bytes, const load_report_entry &entry)
{
    putKey(bytes, entry.endpoint);
    putNumber(bytes, entry.inFlight);
    putTokens(bytes, entry.tokens);
    putTokens(bytes, entry.pendingTokens);
    putNumber(bytes, entry.answered);
    putNumber(bytes, entry.failed);
    putNumber(bytes, entry.firstEvents);
    if (entry.firstEvents > 0) {
        putSigned(bytes, std::llround(entry.slownessSum * slownessSteps));
    }
}

void put(std::string &bytes, const load_update_entry &entry)
{
    putKey(bytes, entry.endpoint);
    putNumber(bytes, entry.inFlight);
    putTokens(bytes, entry.tokens);
    putTokens(bytes, entry.pendingTokens);
    bytes += static_cast<char>(std::lround(std::clamp(entry.failureShare, 0.0, 1.0) * shareSteps));
    putNumber(bytes, entry.evidence);
    bytes += static_cast<char>(std::lround(std::clamp(entry.pace * paceSteps, 1.0, shareSteps)));
    putNumber(bytes, static_cast<std::uint64_t>(std::max<std::int64_t>(0, entry.age / ageStep)));
}

} // namespace

endpoint_key endpointKey(std::string_view id)
{
    // FNV-1a, folded to 32 bits. It runs for each endpoint at each choice, where SHA-256 would be too slow.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : id) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
    }
    return static_cast<endpoint_key>(hash ^ hash >> 32);
}

std::string encodeLoadReport(std::span<const load_report_entry> entries)
{
    std::string bytes(1, reportFormat);
    for (const load_report_entry &entry : entries) {
        put(bytes, entry);
    }
    return bytes;
}

common::result<std::vector<load_report_entry>> decodeLoadReport(std::string_view bytes)
{
    message_reader reader(bytes);
    if (reader.byte() != reportFormat) {
        return make_error_code(common::error::malformed);
    }
    std::vector<load_report_entry> entries;
    while (reader.hasMore()) {
        load_report_entry &entry = entries.emplace_back();
        entry.endpoint = reader.key();
        entry.inFlight = reader.count();
        entry.tokens = reader.tokens();
        entry.pendingTokens = reader.tokens();
        entry.answered = reader.count();
        entry.failed = reader.count();
        entry.firstEvents = reader.count();
        if (entry.firstEvents > 0) {
            entry.slownessSum = static_cast<double>(reader.signedNumber()) / slownessSteps;
        }
    }
    if (!reader.isValid()) {
        return make_error_code(common::error::malformed);
    }
    return entries;
}

std::string encodeLoadUpdate(std::span<const load_update_entry> entries)
{
    std::string bytes(1, updateFormat);
    for (const load_update_entry &entry : entries) {
        put(bytes, entry);
    }
    return bytes;
}

common::result<std::vector<load_update_entry>> decodeLoadUpdate(std::string_view bytes)
{
    message_reader reader(bytes);
    if (reader.byte() != updateFormat) {
        return make_error_code(common::error::malformed);
    }
    std::vector<load_update_entry> entries;
    while (reader.hasMore()) {
        load_update_entry &entry = entries.emplace_back();
        entry.endpoint = reader.key();
        entry.inFlight = reader.count();
        entry.tokens = reader.tokens();
        entry.pendingTokens = reader.tokens();
        entry.failureShare = reader.byte() / shareSteps;
        entry.evidence = reader.count();
        entry.pace = reader.byte() / paceSteps;
        entry.age = ageStep * static_cast<std::int64_t>(reader.bounded());
    }
    if (!reader.isValid()) {
        return make_error_code(common::error::malformed);
    }
    return entries;
}

std::size_t encodedBytes(const load_update_entry &entry)
{
    std::string bytes;
    put(bytes, entry);
    return bytes.size();
}

} // namespace masticlever::routing
