#include <masticlever/http/single-send.h>

#include <QIODevice>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <algorithm>
#include <cstring>
#include <utility>

namespace masticlever::http
{

namespace
{

/// A sequential device, so that the access manager cannot rewind it.
class single_pass_body final : public QIODevice
{
public:
    explicit single_pass_body(QByteArray body) : m_body(std::move(body)) { open(QIODevice::ReadOnly); }

    bool isSequential() const override { return true; }
    bool seek(qint64) override { return false; }
    bool atEnd() const override { return bytesAvailable() == 0; }
    qint64 bytesAvailable() const override { return m_body.size() - m_position + QIODevice::bytesAvailable(); }

protected:
    qint64 readData(char *data, qint64 maxSize) override
    {
        const qint64 left = m_body.size() - m_position;
        if (left == 0) {
            return -1;
        }
        const qint64 count = std::min(left, maxSize);
        std::memcpy(data, m_body.constData() + m_position, static_cast<std::size_t>(count));
        m_position += count;
        return count;
    }

    qint64 writeData(const char *, qint64) override { return -1; }

private:
    QByteArray m_body;
    qint64 m_position = 0;
};

} // namespace

QNetworkReply *postOnce(QNetworkAccessManager &manager, QNetworkRequest request, QByteArray body)
{
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    request.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
    auto *device = new single_pass_body(std::move(body));
    QNetworkReply *reply = manager.post(request, device);
    device->setParent(reply);
    return reply;
}

} // namespace masticlever::http
