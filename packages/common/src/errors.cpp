#include <masticlever/common/errors.h>

#include <string>

namespace masticlever::common
{

namespace
{

class category : public std::error_category
{
public:
    const char *name() const noexcept override { return "masticlever"; }

    std::string message(int value) const override
    {
        switch (static_cast<error>(value)) {
        case error::malformed:
            return "malformed input";
        case error::too_large:
            return "input over its size limit";
        case error::unavailable:
            return "service unavailable";
        case error::lost_answer:
            return "answer lost; the effect may have taken place";
        case error::truncated:
            return "records are no longer retained";
        case error::unauthenticated:
            return "message is not authenticated";
        case error::timed_out:
            return "timed out";
        case error::cancelled:
            return "cancelled";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &errorCategory() noexcept
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(error code) noexcept
{
    return {static_cast<int>(code), errorCategory()};
}

} // namespace masticlever::common
