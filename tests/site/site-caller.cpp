#include "site-caller.h"

#include <utility>

namespace masticlever::site
{

site_caller::site_caller(const std::string &address)
    : m_socket(net::stream_socket::connectTo(net::parseAddress(address).value(), {}, *this)),
      m_reader(http1::message_kind::answer, {65536, 16u << 20}, *this)
{ }

void site_caller::onBytes(std::string_view bytes)
{
    received += bytes;
    std::error_code failure = m_reader.feed(bytes);
    while (!failure && m_reader.isEnded()) {
        failure = m_reader.next();
    }
}

void site_caller::onClosed(net::close_reason reason)
{
    isClosed = true;
    const bool isEnded = reason == net::close_reason::orderly && !m_reader.finish();
    isTruncated = !isEnded && completeAnswers < heads.size();
}

void site_caller::onHead(http1::message_head head)
{
    heads.push_back(std::move(head));
    bodies.emplace_back();
}

} // namespace masticlever::site
