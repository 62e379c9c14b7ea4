#include <masticlever/http1/message.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace masticlever::http1
{

namespace
{

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
            item.remove_prefix(1);
        }
        while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
            item.remove_suffix(1);
        }
        if (equalNames(item, name)) {
            return true;
        }
    }
    return false;
}

void appendFields(std::string &text, const message_head &head)
{
    for (const header_field &field : head.fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    text += "\r\n";
}

} // namespace

bool equalNames(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, toLower, toLower);
}

const std::string *message_head::find(std::string_view name) const
{
    const auto found
        = std::ranges::find_if(fields, [&](const header_field &field) { return equalNames(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

bool isConnectionField(const message_head &head, std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names{
        "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
        "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};
    if (std::ranges::any_of(names, [&](std::string_view known) { return equalNames(known, name); })) {
        return true;
    }
    return std::ranges::any_of(head.fields, [&](const header_field &field) {
        return equalNames(field.name, "Connection") && listContains(field.value, name);
    });
}

std::string requestText(const message_head &head)
{
    std::string text = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    appendFields(text, head);
    return text;
}

std::string answerText(const message_head &head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    text += head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason);
    text += "\r\n";
    appendFields(text, head);
    return text;
}

std::string_view reasonPhrase(int status)
{
    static constexpr std::array<std::pair<int, std::string_view>, 14> phrases{{{200, "OK"},
                                                                               {400, "Bad Request"},
                                                                               {401, "Unauthorized"},
                                                                               {404, "Not Found"},
                                                                               {405, "Method Not Allowed"},
                                                                               {408, "Request Timeout"},
                                                                               {413, "Content Too Large"},
                                                                               {421, "Misdirected Request"},
                                                                               {429, "Too Many Requests"},
                                                                               {431, "Request Header Fields Too Large"},
                                                                               {500, "Internal Server Error"},
                                                                               {502, "Bad Gateway"},
                                                                               {503, "Service Unavailable"},
                                                                               {504, "Gateway Timeout"}}};
    const auto *const found = std::ranges::find(phrases, status, &std::pair<int, std::string_view>::first);
    return found == phrases.end() ? std::string_view("Status") : found->second;
}

std::string chunkText(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
    std::string text(digits.data(), end);
    text.append("\r\n").append(bytes).append("\r\n");
    return text;
}

} // namespace masticlever::http1
