#include "message_grammar.h"

#include "chestnutstand/support/str_cat.h"
#include "chestnutstand/transport/headers.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>

namespace chestnutstand {
namespace {

constexpr int first_status = 100;
constexpr int last_status = 599;

bool is_digit(char c)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(c));
}

bool is_all_digits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

bool is_field_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) {
        return c != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(c));
    });
}

/// Value of the header with that name; empty if there is none.
absl::StatusOr<std::optional<std::string_view>>
find_single_header(const std::vector<http_header>& headers, std::string_view name)
{
    const auto has_name = [&](const auto& field) { return header_name_equal(field.name, name); };
    if (std::count_if(headers.begin(), headers.end(), has_name) > 1) {
        return absl::InvalidArgumentError(str_cat(name, " must be given once"));
    }
    return find_header(headers, name);
}

std::uint64_t parse_length(std::string_view digits)
{
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    return parsed.ec == std::errc{} ? length : std::numeric_limits<std::uint64_t>::max();
}

} // namespace

bool is_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
               marks.find(c) != std::string_view::npos;
    });
}

absl::StatusOr<http_header> parse_field_line(std::string_view line)
{
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    // A folded line and a space before the colon give a name that begins or ends with a space.
    if (colon == std::string_view::npos || !is_token(name)) {
        return absl::InvalidArgumentError("a header line must be NAME: VALUE");
    }
    const std::string_view value = line.substr(colon + 1);
    if (!is_field_value(value)) {
        return absl::InvalidArgumentError(str_cat("header ", name, " has a control character"));
    }
    return http_header{std::string{name}, std::string{trim_whitespace(value)}};
}

absl::StatusOr<status_line> parse_status_line(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_digits = 3;
    const std::size_t status_at = version.size() + 2;
    const std::size_t status_end = status_at + status_digits;
    const std::string_view digits =
        line.size() < status_end ? std::string_view{} : line.substr(status_at, status_digits);
    if (line.rfind(version, 0) != 0 || !is_all_digits(digits) || !is_digit(line[version.size()]) ||
        line[status_at - 1] != ' ' || (line.size() > status_end && line[status_end] != ' ') ||
        !is_field_value(line)) {
        return absl::InvalidArgumentError("the status line must be HTTP/1.x STATUS REASON");
    }
    const auto status = static_cast<int>(parse_length(digits));
    if (status < first_status || status > last_status) {
        return absl::InvalidArgumentError("the status must be from 100 to 599");
    }
    return status_line{status, line[version.size()] != '0'};
}

absl::StatusOr<body_framing> read_body_framing(const std::vector<http_header>& headers)
{
    const auto coding = find_single_header(headers, "transfer-encoding");
    if (!coding.ok()) {
        return coding.status();
    }
    const auto length = find_single_header(headers, "content-length");
    if (!length.ok()) {
        return length.status();
    }
    if (*coding && *length) {
        return absl::InvalidArgumentError(
            "Content-Length and Transfer-Encoding exclude each other");
    }
    if (*coding && !header_name_equal(**coding, "chunked")) {
        return absl::InvalidArgumentError("the only transfer encoding that is read is chunked");
    }
    if (*length && !is_all_digits(**length)) {
        return absl::InvalidArgumentError("Content-Length must be one non-negative integer");
    }
    body_framing framing;
    framing.chunked = coding->has_value();
    if (*length) {
        framing.length = parse_length(**length);
    }
    return framing;
}

} // namespace chestnutstand
