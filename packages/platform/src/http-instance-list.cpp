#include "detail/http-exchange.h"

#include <masticlever/common/errors.h>
#include <masticlever/platform/http-platform.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace masticlever::platform
{

namespace
{

constexpr std::chrono::milliseconds listTimeout{5'000};
constexpr qint64 maxListAnswerBytes = 4LL * 1024 * 1024;
constexpr int statusOk = 200;

QString kindName(instance_kind kind)
{
    return kind == instance_kind::entry ? QStringLiteral("entry") : QStringLiteral("endpoint");
}

QString stateName(instance_state state)
{
    return state == instance_state::live ? QStringLiteral("live") : QStringLiteral("leaving");
}

QByteArray serialize(const listed_instance &self)
{
    const QJsonObject object{
        {QStringLiteral("name"), QString::fromStdString(self.name)},
        {QStringLiteral("kind"), kindName(self.kind)},
        {QStringLiteral("state"), stateName(self.state)},
        {QStringLiteral("address"), QString::fromStdString(self.address)},
        {QStringLiteral("peer_address"), QString::fromStdString(self.peerAddress)},
        {QStringLiteral("data_centre"), QString::fromStdString(self.dataCentre)},
        {QStringLiteral("incarnation"), QString::fromStdString(self.incarnation)},
    };
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

std::string text(const QJsonObject &object, QStringView name)
{
    return object.value(name).toString().toStdString();
}

common::result<listed_instance> parseInstance(const QJsonObject &object)
{
    listed_instance instance;
    instance.name = text(object, u"name");
    instance.address = text(object, u"address");
    instance.peerAddress = text(object, u"peer_address");
    instance.dataCentre = text(object, u"data_centre");
    instance.incarnation = text(object, u"incarnation");
    const std::string kind = text(object, u"kind");
    const std::string state = text(object, u"state");
    const bool isKnown = (kind == "entry" || kind == "endpoint") && (state == "live" || state == "leaving");
    if (instance.name.empty() || instance.address.empty() || !isKnown) {
        return make_error_code(common::error::malformed);
    }
    instance.kind = kind == "entry" ? instance_kind::entry : instance_kind::endpoint;
    instance.state = state == "live" ? instance_state::live : instance_state::leaving;
    return instance;
}

common::result<std::vector<listed_instance>> parseList(const common::result<detail::http_answer> &answer)
{
    if (!answer || answer.value().status != statusOk) {
        return make_error_code(common::error::unavailable);
    }
    const QJsonDocument document = QJsonDocument::fromJson(answer.value().body);
    if (!document.isObject() || !document.object().value(u"instances").isArray()) {
        return make_error_code(common::error::malformed);
    }
    std::vector<listed_instance> list;
    for (const auto &item : document.object().value(u"instances").toArray()) {
        auto instance = parseInstance(item.toObject());
        if (!instance) {
            return instance.error();
        }
        list.push_back(std::move(instance).value());
    }
    return list;
}

class http_instance_list final : public instance_list
{
public:
    http_instance_list(std::string_view url, std::string_view name) : m_client(detail::makeClient(url, name)) { }

    void fetch(handler done) override
    {
        const QNetworkRequest request = m_client.request(QStringLiteral("/v1/instances"), {}, listTimeout);
        detail::receiveAnswer(m_pool.get(request), maxListAnswerBytes, &m_pool,
                              [done = std::move(done)](const auto &answer) { done(parseList(answer)); });
    }

    void announce(const listed_instance &self) override
    {
        const QString path = QStringLiteral("/v1/instances/") + QString::fromStdString(self.incarnation);
        const QNetworkRequest request = m_client.request(path, {}, listTimeout);
        // Failures are ignored: the caller repeats its announcement periodically.
        detail::receiveAnswer(m_pool.put(request, serialize(self)), maxListAnswerBytes, &m_pool, [](const auto &) {});
    }

private:
    detail::http_client m_client;
    http::manager_pool m_pool;
};

} // namespace

std::unique_ptr<instance_list> makeHttpInstanceList(std::string_view url, std::string_view client)
{
    return std::make_unique<http_instance_list>(url, client);
}

} // namespace masticlever::platform
