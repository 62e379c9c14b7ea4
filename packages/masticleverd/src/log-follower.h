#pragma once

#include <masticlever/platform/log-service.h>

#include <QObject>

#include <chrono>
#include <functional>
#include <string>

/// \file
/// Reads a log continuously with long polls, starting at the offset that the consumer asks for.

namespace masticlever::masticleverd
{

struct follower_options {
    std::string log;
    std::chrono::milliseconds pollTimeout{500}; ///< longest wait for new records in one read
    std::chrono::milliseconds retryDelay{200}; ///< after a failed read
    std::size_t maxRecords = 1000; ///< per read
};

class log_follower : public QObject
{
public:
    using next_offset = std::function<platform::log_offset()>;
    using batch_handler = std::function<void(const platform::log_batch &)>;
    using failure_handler = std::function<void()>;

    log_follower(platform::log_service &service, follower_options options, next_offset next, batch_handler onBatch,
                 failure_handler onFailure);

    void start() { read(); }
    bool isReachable() const { return m_reachable; }

private:
    void read();
    void onRead(const common::result<platform::log_batch> &outcome);

    platform::log_service &m_service;
    follower_options m_options;
    next_offset m_nextOffset;
    batch_handler m_onBatch;
    failure_handler m_onFailure;
    bool m_reachable = false;
    bool m_hasLoggedState = false; ///< log_reachable or log_unreachable was logged at least once
};

} // namespace masticlever::masticleverd
