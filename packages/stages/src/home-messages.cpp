#include <masticlever/common/errors.h>
#include <masticlever/stages/home-messages.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace masticlever::stages
{

namespace
{

constexpr std::size_t lengthBytes = 4;

} // namespace

template <typename Archive> void serializeRecord(Archive &archive, catalog::endpoint_record &record)
{
    std::uint64_t slots = record.slots;
    auto state = static_cast<std::uint8_t>(record.state);
    std::int64_t warmUpLeft = record.warmUpLeft.count();
    archive(record.id, record.startedAtMs, record.sequence, record.service, record.address, record.dataCentre, slots,
            state, warmUpLeft);
    record.slots = slots;
    record.state = state == 0 ? catalog::endpoint_state::ready : catalog::endpoint_state::draining;
    record.warmUpLeft = common::duration(warmUpLeft);
}

} // namespace masticlever::stages

namespace masticlever::catalog
{

// Must be in the namespace of the type for argument-dependent lookup.
template <typename Archive> void serialize(Archive &archive, endpoint_record &record)
{
    stages::serializeRecord(archive, record);
}

template <typename Archive> void serialize(Archive &archive, evacuation_record &record)
{
    archive(record.dataCentre, record.isEvacuated, record.generation, record.offset);
}

} // namespace masticlever::catalog

namespace masticlever::stages
{

template <typename Archive> void serialize(Archive &archive, piece_request_message &message)
{
    piece_request &request = message.request;
    std::vector<std::uint64_t> pieces(request.pieces.begin(), request.pieces.end());
    std::uint64_t stage = request.stage;
    std::int64_t downstreamTime = request.downstreamTime.count();
    std::int32_t priority = request.priority;
    std::vector<std::string> inputs(request.inputs.view().begin(), request.inputs.view().end());
    archive(message.service, request.job, request.requestId, stage, pieces, request.key, inputs, request.dataCentre,
            priority, request.resultBytes, request.transferBytes, downstreamTime, message.objectiveLeft,
            message.deadlineLeft);
    request.stage = stage;
    request.inputs = protocol::handle_list(std::move(inputs));
    request.pieces.assign(pieces.begin(), pieces.end());
    request.downstreamTime = common::duration(downstreamTime);
    request.priority = priority;
}

template <typename Archive> void serialize(Archive &archive, cancel_message &message)
{
    archive(message.job);
}

template <typename Archive> void serialize(Archive &archive, release_message &message)
{
    archive(message.service, message.handles);
}

template <typename Archive> void serialize(Archive &archive, result_entry &entry)
{
    archive(entry.piece, entry.handle, entry.failure);
}

template <typename Archive> void serialize(Archive &archive, results_message &message)
{
    archive(message.job, message.stage, message.results);
}

template <typename Archive> void serialize(Archive &archive, service_delay &delay)
{
    archive(delay.service, delay.delays);
}

template <typename Archive> void serialize(Archive &archive, status_message &message)
{
    archive(message.services);
}

template <typename Archive> void serialize(Archive &archive, subscribe_message &message)
{
    archive(message.configurationVersion);
}

template <typename Archive> void serialize(Archive &archive, directory_message &message)
{
    archive(message.configurationVersion, message.configuration, message.hasRegistrations, message.isWhole,
            message.changed, message.removed);
}

std::string encodeHomeMessage(const home_message &message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
        // These fields follow the message, so that receivers of earlier versions ignore them.
        if (const auto *update = std::get_if<directory_message>(&message)) {
            archive(update->storeGeneration);
            if (!update->evacuations.empty()) {
                archive(update->evacuations);
            }
        } else if (const auto *subscription = std::get_if<subscribe_message>(&message)) {
            if (!subscription->evacuations.empty()) {
                archive(subscription->evacuations);
            }
        }
        const auto *status = std::get_if<status_message>(&message);
        if (status != nullptr && !status->endpointLoad.empty()) {
            archive(status->endpointLoad);
        }
    }
    const std::string body = std::move(stream).str();
    std::string frame;
    frame.reserve(lengthBytes + body.size());
    for (std::size_t i = lengthBytes; i > 0; --i) {
        frame += static_cast<char>(body.size() >> (8 * (i - 1)) & 0xff);
    }
    return frame + body;
}

common::result<std::optional<home_message>> takeHomeMessage(std::string &bytes)
{
    std::optional<home_message> message;
    if (bytes.size() < lengthBytes) {
        return message;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length = length << 8 | static_cast<unsigned char>(bytes[i]);
    }
    if (length > maximumHomeMessageBytes) {
        return make_error_code(common::error::too_large);
    }
    if (bytes.size() < lengthBytes + length) {
        return message;
    }
    std::istringstream stream(bytes.substr(lengthBytes, length));
    bytes.erase(0, lengthBytes + length);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message.emplace());
        const auto hasMore = [&] { return stream.peek() != std::istringstream::traits_type::eof(); };
        if (auto *update = std::get_if<directory_message>(&*message)) {
            if (hasMore()) {
                archive(update->storeGeneration);
            }
            if (hasMore()) {
                archive(update->evacuations);
            }
        } else if (auto *subscription = std::get_if<subscribe_message>(&*message)) {
            if (hasMore()) {
                archive(subscription->evacuations);
            }
        } else if (auto *status = std::get_if<status_message>(&*message)) {
            if (hasMore()) {
                archive(status->endpointLoad);
            }
        }
    } catch (const std::exception &) {
        return make_error_code(common::error::malformed); // cereal reports invalid input only by exceptions
    }
    return message;
}

} // namespace masticlever::stages
