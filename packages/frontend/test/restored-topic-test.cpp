#include <masticlever/frontend/topic-follower.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace masticlever;
using namespace masticlever::frontend;
using namespace std::chrono_literals;

namespace
{

using key_values = std::map<std::string, std::string>;

/// A topic of the store as a log that can return to an earlier copy of itself.
class model_topic
{
public:
    struct log {
        std::uint64_t first = 0;
        std::vector<protocol::store_record> records;
        std::map<std::string, protocol::store_record> newest;

        std::uint64_t end() const { return first + records.size(); }
    };

    void write(const std::string &key, const std::optional<std::string> &value)
    {
        const protocol::store_record record{m_log.end(), key, value};
        m_log.records.push_back(record);
        if (value) {
            m_log.newest[key] = record;
        } else {
            m_log.newest.erase(key);
        }
    }

    void forgetHistory()
    {
        m_log.first = m_log.end();
        m_log.records.clear();
    }

    void saveCopy() { m_copy = m_log; }

    void restore()
    {
        m_log = m_copy;
        ++m_generation;
    }

    std::uint64_t generation() const { return m_generation; }

    protocol::listing_page list(const std::string &afterKey, std::size_t limit) const
    {
        protocol::listing_page page;
        page.end = m_log.end();
        for (auto it = m_log.newest.upper_bound(afterKey); it != m_log.newest.end(); ++it) {
            if (page.records.size() == limit) {
                page.hasMore = true;
                break;
            }
            page.records.push_back(it->second);
        }
        return page;
    }

    /// Nothing if the records at \p from are not available.
    std::optional<protocol::record_page> read(std::uint64_t from) const
    {
        if (from < m_log.first || from > m_log.end()) {
            return std::nullopt;
        }
        protocol::record_page page;
        page.end = m_log.end();
        for (std::uint64_t offset = from; offset < m_log.end(); ++offset) {
            page.records.push_back(m_log.records[offset - m_log.first]);
        }
        return page;
    }

    key_values state() const
    {
        key_values all;
        for (const auto &[key, record] : m_log.newest) {
            all[key] = *record.value;
        }
        return all;
    }

private:
    log m_log;
    log m_copy;
    std::uint64_t m_generation = 1;
};

/// The store's answer to a call, made when the call arrives; it may be delivered later.
struct model_answer {
    std::uint64_t generation = 0;
    std::optional<protocol::listing_page> listing;
    std::optional<protocol::record_page> records;
};

model_answer answerTo(const topic_call &call, const model_topic &topic)
{
    constexpr std::size_t pageSize = 2;
    model_answer answer{topic.generation(), std::nullopt, std::nullopt};
    if (call.isListing) {
        answer.listing = topic.list(call.afterKey, pageSize);
    } else {
        answer.records = topic.read(call.from);
    }
    return answer;
}

void applyUpdate(const topic_update &update, key_values &state)
{
    for (const protocol::store_record &record : update.records) {
        if (record.value) {
            state[record.key] = *record.value;
        } else {
            state.erase(record.key);
        }
    }
    if (update.isCompleteListing) {
        std::erase_if(state, [&](const auto &item) {
            return std::ranges::find(update.listedKeys, item.first) == update.listedKeys.end();
        });
    }
}

void deliver(topic_follower &follower, const model_answer &answer, key_values &state, common::instant now)
{
    if (!follower.acceptGeneration(answer.generation, now)) {
        return;
    }
    if (answer.listing) {
        applyUpdate(follower.onListing(*answer.listing, now), state);
    } else if (answer.records) {
        applyUpdate(follower.onRecords(*answer.records, now), state);
    } else {
        follower.onTruncated(now);
    }
}

} // namespace

TEST_CASE("Whatever the order of writes, restores and answers, a follower ends with the state of the store")
{
    constexpr int seeds = 400;
    constexpr int steps = 120;
    for (int seed = 0; seed < seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
        const auto draw = [&](unsigned limit) { return static_cast<unsigned>(random() % limit); };
        model_topic topic;
        topic_follower follower({});
        key_values state;
        std::optional<model_answer> answer;
        std::uint64_t values = 0;
        common::instant now{1000s};

        for (int step = 0; step < steps; ++step) {
            now += 400ms;
            const std::string key(1, static_cast<char>('a' + draw(5)));
            switch (draw(12)) {
            case 0:
                topic.saveCopy();
                break;
            case 1:
                topic.restore();
                break;
            case 2:
                topic.forgetHistory();
                break;
            case 3:
                topic.write(key, std::nullopt);
                break;
            case 4:
            case 5:
            case 6:
                topic.write(key, std::to_string(++values));
                break;
            case 7:
                if (answer) { // the answer is lost
                    follower.onFailure(now);
                    answer.reset();
                }
                break;
            case 8:
                if (!answer) { // another call has shown the generation
                    follower.onStoreRestored(topic.generation(), now);
                }
                break;
            default:
                if (answer) {
                    deliver(follower, *answer, state, now);
                    answer.reset();
                } else if (const auto call = follower.next(now)) {
                    answer = answerTo(*call, topic);
                }
                break;
            }
        }
        if (answer) {
            deliver(follower, *answer, state, now);
        }
        for (int step = 0; step < 20; ++step) {
            now += 2s;
            if (const auto call = follower.next(now)) {
                deliver(follower, answerTo(*call, topic), state, now);
            }
        }
        REQUIRE(state == topic.state());
    }
}
