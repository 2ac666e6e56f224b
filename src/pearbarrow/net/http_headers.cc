#include "pearbarrow/net/http.h"

#include <strings.h>
#include <utility>

namespace pearbarrow::net {
namespace {

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

int hex_digit(char character) {
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const char lower = static_cast<char>(character | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Percent-decodes a part of the query. A "%" without two hexadecimal digits stays unchanged.
std::string decode_query_part(std::string_view text) {
    std::string out;
    out.reserve(text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool escaped = text[at] == '%' && at + 2 < text.size() &&
                             hex_digit(text[at + 1]) >= 0 && hex_digit(text[at + 2]) >= 0;
        if (escaped) {
            out.push_back(
                static_cast<char>(hex_digit(text[at + 1]) * 16 + hex_digit(text[at + 2])));
            at += 2;
        } else {
            out.push_back(text[at] == '+' ? ' ' : text[at]);
        }
    }
    return out;
}

}  // namespace

void http_headers::add(std::string name, std::string value) {
    headers_.push_back({std::move(name), std::move(value)});
}

std::optional<std::string> http_headers::find(std::string_view name) const {
    for (const http_header& header : headers_) {
        if (same_name(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

std::string_view http_request::path() const {
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
}

std::optional<std::string> http_request::query(std::string_view name) const {
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return std::nullopt;
    }
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view part = rest.substr(0, end);
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
        const auto equals = part.find('=');
        if (decode_query_part(part.substr(0, equals)) == name) {
            return decode_query_part(equals == std::string_view::npos ? ""
                                                                      : part.substr(equals + 1));
        }
    }
    return std::nullopt;
}

}  // namespace pearbarrow::net
