#pragma once

#include <masticlever/common/result.h>
#include <masticlever/common/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Abstract interface of the platform's append-only log service.

namespace masticlever::platform
{

/// Offsets start at 1; 0 means "before the first record".
using log_offset = std::uint64_t;

struct log_record {
    log_offset offset = 0;
    common::wall_time appendedAt; ///< by the clock of the log service
    std::string payload;
};

/// Consecutive records from one read.
struct log_batch {
    log_offset head = 1; ///< lowest retained offset
    log_offset end = 1; ///< offset of the next append
    std::vector<log_record> records;
};

/// Handlers are called from the caller's event loop, never from within a method of the service.
class log_service
{
public:
    using append_handler = std::function<void(common::result<log_offset>)>;
    using read_handler = std::function<void(common::result<log_batch>)>;

    virtual ~log_service() = default;

    /// Fails with error::unavailable if nothing was appended, or error::lost_answer if the record may have been
    /// appended.
    virtual void append(std::string_view log, std::string payload, append_handler handler) = 0;

    /// Reads up to \p limit records from offset \p from (inclusive), waiting up to \p wait for the first one.
    /// If \p from is below the head, the batch starts at the head.
    virtual void read(std::string_view log, log_offset from, std::size_t limit, std::chrono::milliseconds wait,
                      read_handler handler)
        = 0;
};

} // namespace masticlever::platform
