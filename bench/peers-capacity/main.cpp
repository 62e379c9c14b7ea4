/// \file
/// What the peer protocol costs a daemon at a given fleet size, and how fast news spreads: the decision objects and
/// the real codec in one process on a virtual clock.
///
/// usage: peers-capacity [INSTANCES [WATCHERS]]   default: 4, 16, 64 and 340 instances, 3 watchers

#include <masticlever/membership/membership.h>
#include <masticlever/peers/codec.h>
#include <masticlever/peers/gossip.h>

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace masticlever;
using namespace std::chrono_literals;

constexpr std::size_t headerBytes = 28; // IPv4 and UDP
constexpr common::duration tick = 50ms;
constexpr common::duration warmUp = 30s;
constexpr common::duration steadyTime = 60s;
constexpr common::duration spreadLimit = 60s;
const std::string key(32, 'k');

double processorSeconds()
{
    std::timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

membership::instance_notice makeNotice(std::size_t number)
{
    membership::instance_notice notice;
    notice.name = "entry-" + std::to_string(number);
    notice.incarnation = "0192f0c1-2a3b-7cde-8f01-" + std::to_string(100000000000 + number);
    notice.dataCentre = "galashiels";
    // Stands for "IP:port": as long as one, read back as a number.
    notice.peerAddress = std::to_string(number) + "             ";
    notice.configurationOffset = 1000;
    return notice;
}

struct daemon_core {
    daemon_core(membership::membership_options options, std::size_t number)
        : table(options, makeNotice(number)), news({}, table)
    { }

    membership::membership_table table;
    peers::gossip news;
    bool isDown = false;
};

class fleet
{
public:
    fleet(std::size_t size, std::size_t watchers);

    void run(common::duration time);
    /// Time until \p holds for every running daemon.
    double secondsUntil(const std::function<bool(const daemon_core &)> &holds);

    std::vector<std::unique_ptr<daemon_core>> daemons;
    common::instant now = common::instant{} + 1h;
    std::size_t bytes = 0; ///< sent by all
    std::size_t datagrams = 0;
    double memoryPerEntry = 0; ///< bytes

private:
    void step(daemon_core &sender);

    std::mt19937_64 m_random{1};
};

fleet::fleet(std::size_t size, std::size_t watchers)
{
    membership::membership_options options;
    options.watchers = watchers;
    std::vector<platform::listed_instance> list;
    for (std::size_t i = 0; i < size; ++i) {
        const auto notice = makeNotice(i);
        list.push_back({notice.name, platform::instance_kind::entry, platform::instance_state::live, "",
                        notice.peerAddress, notice.dataCentre, notice.incarnation});
        daemons.push_back(std::make_unique<daemon_core>(options, i));
    }
    const std::size_t before = mallinfo2().uordblks;
    for (auto &member : daemons) {
        member->table.onList(list, now);
    }
    const double entries = static_cast<double>(size) * static_cast<double>(size - 1);
    memoryPerEntry = static_cast<double>(mallinfo2().uordblks - before) / entries;
}

void fleet::step(daemon_core &sender)
{
    const bool isTurn = m_random() % 4 != 0; // daemons do not run in step
    auto round = sender.isDown || !isTurn ? std::nullopt : sender.news.onTime(now);
    if (!round) {
        return;
    }
    const auto datagram = peers::encodeDatagram(round->message, key);
    for (const std::string &address : round->addresses) {
        bytes += datagram.value().size() + headerBytes;
        ++datagrams;
        daemon_core &receiver = *daemons[std::stoul(address)];
        if (!receiver.isDown) {
            receiver.news.onMessage(peers::decodeDatagram(datagram.value(), key).value(), now);
        }
    }
}

void fleet::run(common::duration time)
{
    for (const common::instant end = now + time; now < end; now += tick) {
        for (auto &member : daemons) {
            step(*member);
        }
    }
}

double fleet::secondsUntil(const std::function<bool(const daemon_core &)> &holds)
{
    const common::instant start = now;
    const auto isDone = [&] {
        return std::ranges::all_of(daemons, [&](const auto &member) { return member->isDown || holds(*member); });
    };
    while (!isDone() && now - start < spreadLimit) {
        run(tick);
    }
    return std::chrono::duration<double>(now - start).count();
}

void measure(std::size_t size, std::size_t watchers)
{
    fleet instances(size, watchers);
    instances.run(warmUp);
    instances.bytes = 0;
    instances.datagrams = 0;
    const double begin = processorSeconds();
    instances.run(steadyTime);
    const double seconds = std::chrono::duration<double>(steadyTime).count() * static_cast<double>(size);
    const double processor = (processorSeconds() - begin) / seconds;
    const double sent = static_cast<double>(instances.bytes) / seconds;
    const double datagrams = static_cast<double>(instances.datagrams) / seconds;

    daemon_core &reporter = *instances.daemons[1];
    reporter.table.onEndpointLeaving({"10.0.0.1:80", "e-1"}, instances.now);
    reporter.news.sendEarly(instances.now);
    const double leaving = instances.secondsUntil(
        [](const daemon_core &member) { return member.table.isEndpointLeaving("10.0.0.1:80"); });

    instances.daemons[0]->isDown = true;
    const std::string dead = makeNotice(0).incarnation;
    const double lost
        = instances.secondsUntil([&](const daemon_core &member) { return !member.table.isLive(dead, instances.now); });

    std::printf("%9zu %8zu %11.1f %10.0f %14.0f %14.4f %12.0f %12.1f %10.1f\n", size, watchers, datagrams, sent,
                2 * sent, processor * 100, instances.memoryPerEntry, leaving, lost);
}

} // namespace

int main(int argc, char **argv)
{
    std::printf("%9s %8s %11s %10s %14s %14s %12s %12s %10s\n", "instances", "watchers", "datagrams/s", "sent B/s",
                "both ways B/s", "processor %", "B per entry", "leaving s", "lost s");
    const std::size_t watchers = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 3;
    if (argc > 1) {
        measure(std::strtoul(argv[1], nullptr, 10), watchers);
        return 0;
    }
    for (const std::size_t size : {4, 16, 64, 340}) {
        measure(size, watchers);
    }
    return 0;
}
