#pragma once

#include <masticlever/peers/codec.h>
#include <masticlever/peers/messages.h>

#include "detail/bounded-archive.h"

#include <chrono>
#include <cmath>
#include <optional>

/// \file
/// Serialization of the message bodies, with a size limit for each field.

namespace masticlever::peers::detail
{

constexpr std::size_t maximumNameBytes = 64;
constexpr std::size_t maximumAddressBytes = maximumNameBytes;
constexpr std::size_t maximumListItems = 64;
constexpr std::size_t maximumRecords = 4096;
constexpr std::size_t maximumRecordBytes = maximumAnswerBytes;

template <typename Archive> void transferNotice(Archive &archive, membership::instance_notice &notice)
{
    transferText(archive, notice.name, maximumNameBytes);
    transferText(archive, notice.incarnation, maximumNameBytes);
    transferText(archive, notice.dataCentre, maximumNameBytes);
    transferText(archive, notice.peerAddress, maximumAddressBytes);
    archive(notice.heartbeat, notice.configurationOffset, notice.cpuMillicores, notice.linkMbps);
    transferFlag(archive, notice.leaving);
    transferFlag(archive, notice.logReachable);
}

template <typename Archive> void transferLoss(Archive &archive, membership::lost_notice &notice)
{
    transferText(archive, notice.incarnation, maximumNameBytes);
    archive(notice.heartbeat);
}

template <typename Archive> void transferEndpoint(Archive &archive, membership::endpoint_notice &notice)
{
    transferText(archive, notice.address, maximumAddressBytes);
    transferText(archive, notice.incarnation, maximumNameBytes);
}

template <typename Archive> void transferRateLimit(Archive &archive, membership::rate_limit_notice &notice)
{
    transferText(archive, notice.endpoint, maximumNameBytes);
    bool hasRate = notice.rate.has_value();
    double rate = notice.rate.value_or(0);
    archive(notice.startedAtMs, notice.version, notice.confirmations, notice.ageMs, rate);
    transferFlag(archive, hasRate);
    if (!std::isfinite(rate) || rate < 0) {
        throw cereal::Exception("rate out of range");
    }
    notice.rate = hasRate ? std::optional(rate) : std::nullopt;
}

template <typename Archive> void transferPartCrash(Archive &archive, membership::part_crash_notice &notice)
{
    archive(notice.incarnation, notice.ageUs, notice.callUs);
}

template <typename Archive> void transferPromptFault(Archive &archive, membership::prompt_fault_notice &notice)
{
    bool isAnswered = notice.answeredAgeUs.has_value();
    std::uint64_t answeredAgeUs = notice.answeredAgeUs.value_or(0);
    archive(notice.part, answeredAgeUs);
    transferFlag(archive, isAnswered);
    transferList(archive, notice.crashes, maximumListItems, transferPartCrash<Archive>);
    notice.answeredAgeUs = isAnswered ? std::optional(answeredAgeUs) : std::nullopt;
}

template <typename Archive> void transferName(Archive &archive, std::string &name)
{
    transferText(archive, name, maximumNameBytes);
}

template <typename Archive> void transferBody(Archive &archive, gossip_message &message)
{
    transferNotice(archive, message.sender);
    transferList(archive, message.notices, maximumListItems, transferNotice<Archive>);
    transferList(archive, message.losses, maximumListItems, transferLoss<Archive>);
    transferList(archive, message.leavingEndpoints, maximumListItems, transferEndpoint<Archive>);
    transferList(archive, message.rateLimits, maximumListItems, transferRateLimit<Archive>);
    transferList(archive, message.suspects, maximumListItems, transferName<Archive>);
    transferChoice(archive, message.requested, introduction::heartbeats);
}

/// Follows the body of a gossip_message that has prompt faults.
template <typename Archive> void transferPromptFaults(Archive &archive, gossip_message &message)
{
    transferList(archive, message.promptFaults, maximumListItems, transferPromptFault<Archive>);
}

template <typename Archive> void transferBody(Archive &archive, records_request &request)
{
    archive(request.from, request.limit);
}

template <typename Archive> void transferRecord(Archive &archive, platform::log_record &record)
{
    auto milliseconds = static_cast<std::int64_t>(record.appendedAt.time_since_epoch().count());
    archive(record.offset, milliseconds);
    record.appendedAt = common::wall_time(std::chrono::milliseconds(milliseconds));
    transferText<std::uint32_t>(archive, record.payload, maximumRecordBytes);
}

template <typename Archive> void transferBody(Archive &archive, records_answer &answer)
{
    transferFlag(archive, answer.available);
    archive(answer.batch.head, answer.batch.end);
    transferList<std::uint32_t>(archive, answer.batch.records, maximumRecords, transferRecord<Archive>);
}

} // namespace masticlever::peers::detail
