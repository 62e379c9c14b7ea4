#pragma once

#include "deployment.h"

/// \file
/// Consumers that keep the pages' rules: each attempt has an id and a connection of its own.

namespace review
{

/// One attempt of a consumer.
struct attempt {
    std::string id;
    std::string order; ///< what the request asks for; attempts that repeat it have the same
    std::size_t daemon = 0;
    std::unique_ptr<site_caller> caller;
    clock::time_point sentAt;
    clock::time_point givesUpAt;

    bool isEnded() const { return caller->completeAnswers > 0 || caller->isClosed; }
    /// Status of the answer; 0 if the connection ended without one.
    int status() const { return caller->heads.empty() ? 0 : caller->heads[0].status; }
};

/// Sends attempts and collects those that have ended.
class attempt_list
{
public:
    explicit attempt_list(deployment &site) : m_site(site) { }

    void send(const std::string &id, const std::string &order, std::size_t daemon, const std::string &text,
              milliseconds limit)
    {
        attempt added{id,           order,
                      daemon,       std::make_unique<site_caller>(m_site.frontOf(daemon)),
                      clock::now(), clock::now() + limit};
        added.caller->send(text);
        m_site.record.add("consumer sends " + id + " to daemon " + std::to_string(daemon + 1));
        m_open.push_back(std::move(added));
    }

    /// Passes each attempt that has ended, or that its consumer gives up, to \p onEnd.
    void collect(const std::function<void(const attempt &)> &onEnd)
    {
        for (auto it = m_open.begin(); it != m_open.end();) {
            if (it->isEnded() || clock::now() >= it->givesUpAt) {
                const attempt ended = std::move(*it);
                it = m_open.erase(it);
                onEnd(ended);
            } else {
                ++it;
            }
        }
    }
    std::size_t size() const { return m_open.size(); }

private:
    deployment &m_site;
    std::list<attempt> m_open;
};

} // namespace review
