#include "misbehaving-callers.h"

namespace masticlever::soak
{

void addMisbehavingCallers(crowds::crowd &crowd, const std::string &address)
{
    constexpr std::size_t callers = 4; // of each kind
    constexpr std::size_t bodyLimit = 65536; // of the configuration in the soak
    constexpr std::size_t bytesPerTurn = 16384; // leaves time for the stand-ins in this process
    const std::string block(bodyLimit, 'x');
    const std::string head = "POST /safe/ HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key-1\r\n";
    const std::string declared = head + "Content-Length: " + std::to_string(bodyLimit) + "\r\n\r\n";
    const std::string unknown = "GET /none/ HTTP/1.1\r\nHost: site.example\r\n\r\n";
    crowd.add(callers, address, {.opening = declared, .repeated = block, .repeatedBytes = bodyLimit - 1}); // stays open
    crowd.add(callers, address,
              {.opening = declared,
               .repeated = block,
               .repeatedBytes = bodyLimit / 2,
               .bytesPerTurn = bytesPerTurn,
               .isReconnecting = true});
    crowd.add(callers, address,
              {.opening = head + "Transfer-Encoding: chunked\r\n\r\n",
               .repeated = "10000\r\n" + block + "\r\n",
               .repeatedBytes = 1u << 30,
               .bytesPerTurn = bytesPerTurn,
               .isReconnecting = true});
    crowd.add(callers, address,
              {.repeated = unknown,
               .repeatedBytes = 20000 * unknown.size(),
               .bytesPerTurn = bytesPerTurn,
               .isReconnecting = true});
    crowd.add(callers, address, {.opening = head});
}

} // namespace masticlever::soak
