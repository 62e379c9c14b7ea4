#include "crash-monitor.h"

#include <masticlever/common/digest.h>

#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

namespace masticlever::frontend
{

using common::instant;

/// Connects to an endpoint without sending anything.
class crash_monitor::connection_check : private net::socket_handler
{
public:
    explicit connection_check(const net::socket_address &address)
        : m_socket(net::stream_socket::connectTo(address, {}, *this))
    { }

    bool isAccepted() const { return m_isAccepted; }
    bool isRefused() const { return m_closed == net::close_reason::refused; }
    bool isClosed() const { return m_closed.has_value(); }

private:
    void onConnected() override { m_isAccepted = true; }
    void onBytes(std::string_view /*bytes*/) override { }
    void onClosed(net::close_reason reason) override { m_closed = reason; }

    net::stream_socket::pointer m_socket;
    bool m_isAccepted = false;
    std::optional<net::close_reason> m_closed;
};

crash_monitor::crash_monitor(crash_monitor_options options, crash_handler onCrash)
    : m_options(options), m_onCrash(std::move(onCrash))
{ }

crash_monitor::~crash_monitor() = default;

std::uint64_t crash_monitor::incarnationOf(const std::string &endpointId, std::uint64_t startedAtMs)
{
    return common::stableHash(endpointId + '\n' + std::to_string(startedAtMs));
}

void crash_monitor::beginCheck(suspect &item, instant now)
{
    item.check = std::make_unique<connection_check>(item.address);
    item.since = now;
    ++item.attempts;
}

void crash_monitor::onInterrupted(const std::string &endpointId, std::uint64_t startedAtMs, const std::string &address,
                                  interrupted_call call)
{
    const auto target = net::parseAddress(address);
    if (!target || call.parts.empty()) {
        return;
    }
    const auto [found, isNew] = m_suspects.try_emplace(incarnationOf(endpointId, startedAtMs));
    suspect &item = found->second;
    if (isNew) {
        item.endpointId = endpointId;
        item.address = target.value();
        beginCheck(item, call.endedAt);
    }
    if (item.calls.size() < m_options.maximumCalls) {
        item.calls.push_back(std::move(call));
    }
}

bool crash_monitor::advance(std::uint64_t incarnation, suspect &item, instant now)
{
    if (item.check && item.check->isAccepted()) {
        return false;
    }
    if (item.check && item.check->isRefused()) {
        item.check.reset();
        item.since = now;
    }
    if (!item.check) {
        if (!item.calls.empty()) {
            const bool isNew = !std::exchange(item.isReported, true);
            m_onCrash({item.endpointId, incarnation, std::exchange(item.calls, {}), isNew});
        }
        return now - item.since < m_options.crashRetention;
    }
    if (item.check->isClosed() || now - item.since >= m_options.connectTimeout) {
        if (item.attempts >= m_options.connectAttempts) {
            return false;
        }
        beginCheck(item, now);
    }
    return true;
}

void crash_monitor::onTick(instant now)
{
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        it = advance(it->first, it->second, now) ? std::next(it) : m_suspects.erase(it);
    }
}

} // namespace masticlever::frontend
