#include <masticlever/forwarding/answer-owner.h>

namespace masticlever::forwarding
{

answer_owner ownerOf(const std::optional<std::string> &answerId, std::string_view requestId, bool isFirstExchange)
{
    if (answerId) {
        return *answerId == requestId ? answer_owner::this_exchange : answer_owner::other_exchange;
    }
    return isFirstExchange ? answer_owner::this_exchange : answer_owner::unknown;
}

} // namespace masticlever::forwarding
