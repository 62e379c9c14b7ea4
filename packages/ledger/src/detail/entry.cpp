#include "detail/entry.h"

#include <masticlever/common/errors.h>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <QStringDecoder>

#include <limits>

namespace masticlever::ledger::detail
{

namespace
{

constexpr std::size_t maxPayloadBytes = 16777216;
constexpr qsizetype maxEntries = 4096;
constexpr int formatVersion = 1;

class writer
{
public:
    explicit writer(const char *kind) { m_object.insert(QLatin1StringView("kind"), QLatin1StringView(kind)); }

    /// Writes a value that is not valid UTF-8 as base64, under the name with ".base64" appended.
    void text(const char *name, const std::string &value)
    {
        if (value.empty()) {
            return;
        }
        QStringDecoder decoder(QStringDecoder::Utf8);
        const QString decoded = decoder.decode(QByteArrayView(value.data(), static_cast<qsizetype>(value.size())));
        if (!decoder.hasError()) {
            m_object.insert(QLatin1StringView(name), decoded);
            return;
        }
        const QByteArray encoded = QByteArray::fromStdString(value).toBase64();
        m_object.insert(QLatin1StringView(name) + QLatin1StringView(".base64"), QString::fromLatin1(encoded));
    }
    void number(const char *name, std::uint64_t value)
    {
        m_object.insert(QLatin1StringView(name), static_cast<qint64>(value));
    }
    void time(const char *name, wall_time value)
    {
        m_object.insert(QLatin1StringView(name), static_cast<qint64>(value.time_since_epoch().count()));
    }
    void run(const run_key &value)
    {
        text("team", value.team);
        text("key", value.key);
    }
    std::string take() const { return QJsonDocument(m_object).toJson(QJsonDocument::Compact).toStdString(); }

private:
    QJsonObject m_object;
};

class reader
{
public:
    explicit reader(QJsonObject object) : m_object(std::move(object)) { }

    std::string text(const char *name)
    {
        const QJsonValue plain = m_object.value(QLatin1StringView(name));
        if (plain.isString()) {
            return plain.toString().toStdString();
        }
        const QJsonValue encoded = m_object.value(QLatin1StringView(name) + QLatin1StringView(".base64"));
        return QByteArray::fromBase64(encoded.toString().toLatin1()).toStdString();
    }
    std::uint64_t number(const char *name)
    {
        const qint64 value = m_object.value(QLatin1StringView(name)).toInteger(-1);
        m_valid = m_valid && value >= 0;
        return static_cast<std::uint64_t>(value);
    }
    std::uint32_t stage(const char *name)
    {
        const std::uint64_t value = number(name);
        m_valid = m_valid && value <= std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(value);
    }
    std::optional<std::uint32_t> optionalStage(const char *name)
    {
        return m_object.contains(QLatin1StringView(name)) ? std::optional(stage(name)) : std::nullopt;
    }
    wall_time time(const char *name) { return wall_time(std::chrono::milliseconds(number(name))); }
    bool flag(const char *name) { return m_object.value(QLatin1StringView(name)).toBool(); }
    run_key run()
    {
        run_key value{text("team"), text("key")};
        const auto parsed = common::parseKey(value.key);
        m_valid = m_valid && parsed.has_value() && parsed.value() == value.key;
        return value;
    }
    QString kind() const { return m_object.value(QLatin1StringView("kind")).toString(); }
    bool isValid() const { return m_valid; }

private:
    QJsonObject m_object;
    bool m_valid = true;
};

struct encoder {
    std::string operator()(const claim_entry &e) const
    {
        writer w("claim");
        w.run(e.run);
        w.text("digest", e.digest);
        w.text("pipeline", e.pipeline);
        w.text("position", e.position);
        w.text("owner", e.owner);
        w.text("nonce", e.nonce);
        w.number("stage", e.stage);
        w.number("expected", e.expected);
        w.time("until", e.until);
        w.number("waited_ms", static_cast<std::uint64_t>(e.waited.count()));
        return w.take();
    }
    std::string operator()(const finish_entry &e) const
    {
        writer w("finish");
        w.run(e.run);
        w.number("stage", e.stage);
        w.text("nonce", e.nonce);
        w.text("result", e.result);
        w.text("answer", e.answer);
        return w.take();
    }
    std::string operator()(const answer_entry &e) const
    {
        writer w("answer");
        w.run(e.run);
        w.number("expected", e.expected);
        w.text("answer", e.answer);
        return w.take();
    }
    std::string operator()(const refuse_entry &e) const
    {
        writer w("refuse");
        w.run(e.run);
        w.text("owner", e.owner);
        w.text("nonce", e.nonce);
        w.number("expected", e.expected);
        w.number("token", e.token);
        w.time("until", e.until);
        w.number("hold_ms", static_cast<std::uint64_t>(e.hold.count()));
        return w.take();
    }
    std::string operator()(const take_entry &e) const
    {
        writer w("take");
        w.run(e.run);
        w.number("expected", e.expected);
        w.text("owner", e.owner);
        return w.take();
    }
    std::string operator()(const unknown_entry &e) const
    {
        writer w("unknown");
        w.run(e.run);
        w.number("stage", e.stage);
        w.text("nonce", e.nonce);
        return w.take();
    }
    std::string operator()(const settle_entry &e) const
    {
        writer w("settle");
        w.run(e.run);
        w.number("stage", e.stage);
        w.text("nonce", e.nonce);
        w.text("result", e.result);
        return w.take();
    }
    std::string operator()(const checkpoint_entry &e) const
    {
        writer w("carry");
        w.run(e.run);
        w.number("as_of", e.asOf);
        w.number("at", e.at);
        w.text("digest", e.digest);
        w.text("pipeline", e.pipeline);
        w.text("position", e.open.position);
        w.text("owner", e.open.owner);
        w.text("nonce", e.open.nonce);
        w.text("done_result", e.open.doneResult);
        if (e.open.claimed) {
            w.number("claimed", *e.open.claimed);
        }
        if (e.open.done) {
            w.number("done", *e.open.done);
        }
        w.number("unknown", e.open.unknown ? 1 : 0);
        w.time("until", e.until);
        w.time("changed", e.changedAt);
        return w.take();
    }
};

entry readCheckpoint(reader &r)
{
    checkpoint_entry e;
    e.run = r.run();
    e.asOf = r.number("as_of");
    e.at = r.number("at");
    e.digest = r.text("digest");
    e.pipeline = r.text("pipeline");
    e.open.position = r.text("position");
    e.open.owner = r.text("owner");
    e.open.nonce = r.text("nonce");
    e.open.doneResult = r.text("done_result");
    e.open.claimed = r.optionalStage("claimed");
    e.open.done = r.optionalStage("done");
    e.open.unknown = r.number("unknown") != 0;
    e.until = r.time("until");
    e.changedAt = r.time("changed");
    return e;
}

entry readRefusal(reader &r)
{
    refuse_entry e;
    e.run = r.run();
    e.owner = r.text("owner");
    e.nonce = r.text("nonce");
    e.expected = r.number("expected");
    e.token = r.number("token");
    e.until = r.time("until");
    e.hold = std::chrono::milliseconds(r.number("hold_ms"));
    return e;
}

entry readClaim(reader &r)
{
    claim_entry e;
    e.run = r.run();
    e.digest = r.text("digest");
    e.pipeline = r.text("pipeline");
    e.position = r.text("position");
    e.owner = r.text("owner");
    e.nonce = r.text("nonce");
    e.stage = r.stage("stage");
    e.expected = r.number("expected");
    e.until = r.time("until");
    e.waited = std::chrono::milliseconds(r.number("waited_ms"));
    return e;
}

std::optional<entry> readEntry(reader &r)
{
    const QString kind = r.kind();
    if (kind == QLatin1StringView("claim")) {
        return readClaim(r);
    }
    if (kind == QLatin1StringView("finish")) {
        return finish_entry{r.run(), r.stage("stage"), r.text("nonce"), r.text("result"), r.text("answer")};
    }
    if (kind == QLatin1StringView("answer")) {
        return answer_entry{r.run(), r.number("expected"), r.text("answer")};
    }
    if (kind == QLatin1StringView("refuse")) {
        return readRefusal(r);
    }
    if (kind == QLatin1StringView("take")) {
        return take_entry{r.run(), r.number("expected"), r.text("owner")};
    }
    if (kind == QLatin1StringView("unknown")) {
        return unknown_entry{r.run(), r.stage("stage"), r.text("nonce")};
    }
    if (kind == QLatin1StringView("settle")) {
        return settle_entry{r.run(), r.stage("stage"), r.text("nonce"), r.text("result")};
    }
    if (kind == QLatin1StringView("carry")) {
        return readCheckpoint(r);
    }
    return std::nullopt;
}

} // namespace

const run_key &runOf(const entry &e)
{
    return std::visit([](const auto &typed) -> const run_key & { return typed.run; }, e);
}

std::string encodeEntry(const entry &e)
{
    return std::visit(encoder{}, e);
}

std::string encodeRecord(const std::vector<std::string> &entries)
{
    std::string payload = R"({"version":)" + std::to_string(formatVersion) + R"(,"entries":[)";
    for (std::size_t i = 0; i < entries.size(); ++i) {
        payload += i == 0 ? "" : ",";
        payload += entries[i];
    }
    return payload + "]}";
}

common::result<std::vector<entry>> decodeRecord(std::string_view payload)
{
    if (payload.size() > maxPayloadBytes) {
        return make_error_code(common::error::too_large);
    }
    const auto bytes = QByteArray::fromRawData(payload.data(), static_cast<qsizetype>(payload.size()));
    const QJsonDocument document = QJsonDocument::fromJson(bytes);
    const QJsonObject root = document.object();
    const QJsonArray list = root.value(QLatin1StringView("entries")).toArray();
    const bool isKnown = root.value(QLatin1StringView("version")).toInt() == formatVersion;
    if (!isKnown || list.isEmpty() || list.size() > maxEntries) {
        return make_error_code(common::error::malformed);
    }
    std::vector<entry> entries;
    entries.reserve(static_cast<std::size_t>(list.size()));
    for (const auto &value : list) {
        reader r(value.toObject());
        std::optional<entry> e = readEntry(r);
        if (!e || !r.isValid()) {
            return make_error_code(common::error::malformed);
        }
        entries.push_back(*std::move(e));
    }
    return entries;
}

} // namespace masticlever::ledger::detail
