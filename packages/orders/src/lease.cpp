#include <masticlever/common/errors.h>
#include <masticlever/orders/lease.h>

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <algorithm>

namespace masticlever::orders
{

namespace
{

QString text(std::string_view value)
{
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

// 64-bit numbers are written as text, since JSON numbers are exact to 53 bits only.
QString number(std::uint64_t value)
{
    return QString::number(value);
}

std::optional<std::uint64_t> readNumber(const QJsonValue &value)
{
    bool isNumber = false;
    const std::uint64_t parsed = value.toString().toULongLong(&isNumber);
    return isNumber ? std::optional(parsed) : std::nullopt;
}

} // namespace

std::string encodeLease(const lease_record &record)
{
    const QJsonObject object{
        {QStringLiteral("pool"), text(record.pool)},
        {QStringLiteral("holder"), text(record.holder)},
        {QStringLiteral("nonce"), number(record.nonce)},
        {QStringLiteral("follows"), number(record.follows)},
        {QStringLiteral("duration_ms"), static_cast<qint64>(record.duration.count())},
        {QStringLiteral("release"), record.release},
    };
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

common::result<lease_record> decodeLease(std::string_view payload)
{
    const auto bytes = QByteArray::fromRawData(payload.data(), static_cast<qsizetype>(payload.size()));
    const QJsonObject object = QJsonDocument::fromJson(bytes).object();
    const auto nonce = readNumber(object[QStringLiteral("nonce")]);
    const auto follows = readNumber(object[QStringLiteral("follows")]);
    lease_record record;
    record.pool = object[QStringLiteral("pool")].toString().toStdString();
    record.holder = object[QStringLiteral("holder")].toString().toStdString();
    record.duration = std::chrono::milliseconds(object[QStringLiteral("duration_ms")].toInteger());
    record.release = object[QStringLiteral("release")].toBool();
    const bool hasNames = !record.pool.empty() && !record.holder.empty();
    if (!nonce || !follows || !hasNames || record.duration.count() < 0) {
        return make_error_code(common::error::malformed);
    }
    record.nonce = *nonce;
    record.follows = *follows;
    return record;
}

void lease_table::onHead(platform::log_offset head)
{
    m_start = m_start.value_or(head);
    m_head = std::max(m_head, head);
}

bool lease_table::isSuccessor(const entry *known, const lease_record &record) const
{
    const bool followsUnseenRecord = record.follows < m_start.value_or(0);
    if (known == nullptr) {
        return record.follows == 0 || followsUnseenRecord;
    }
    if (record.follows == known->current.fencing) {
        return true;
    }
    // If the pool's last record has been removed from the log, an instance that started later knows of no record and
    // follows 0.
    const bool startsNewChain = record.follows == 0 && known->current.fencing < m_head;
    return startsNewChain || (followsUnseenRecord && record.follows > known->chainBase);
}

bool lease_table::onRecord(platform::log_offset offset, const lease_record &record, common::instant readAt)
{
    const auto found = m_leases.find(record.pool);
    entry *known = found == m_leases.end() ? nullptr : &found->second;
    const lease current = known == nullptr ? lease{} : known->current;
    const bool isReleaseByNonHolder = record.release && record.holder != current.holder;
    if (offset <= current.fencing || isReleaseByNonHolder || !isSuccessor(known, record)) {
        return false;
    }
    const bool continuesChain = known != nullptr && record.follows == current.fencing;
    const platform::log_offset base = continuesChain ? known->chainBase : record.follows;
    m_leases[record.pool] = {{record.holder, offset, record.release, readAt + record.duration}, base};
    return true;
}

lease lease_table::find(std::string_view pool) const
{
    const auto found = m_leases.find(pool);
    return found == m_leases.end() ? lease{} : found->second.current;
}

} // namespace masticlever::orders
