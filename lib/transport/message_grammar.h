#pragma once

#include "chestnutstand/transport/call.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chestnutstand {

// The parts of the grammar of HTTP/1.1 that requests and responses share. A message that another
// implementation could read differently is refused, not repaired.

/// Whether the text can be a method or a field name (RFC 9110, 5.6.2).
bool is_token(std::string_view text);

/// Parses a header line without its line end (RFC 9112, 5). Refuses a folded line, a space before
/// the colon and control characters.
absl::StatusOr<http_header> parse_field_line(std::string_view line);

struct status_line {
    /// 100 to 599.
    int status = 0;
    /// Whether the version is HTTP/1.1 or a later minor version.
    bool is_http11 = false;
};

/// Parses the first line of a response without its line end (RFC 9112, 4). The space before an
/// empty reason phrase may be missing.
absl::StatusOr<status_line> parse_status_line(std::string_view line);

/// How the headers delimit a body.
struct body_framing {
    bool chunked = false;
    /// Content-Length; a number beyond 64 bits is reported as the largest one.
    std::optional<std::uint64_t> length;
};

/// Reads Transfer-Encoding and Content-Length (RFC 9112, 6). Refuses both together, a repeated
/// header, a transfer coding other than chunked, and a length that is not all digits.
absl::StatusOr<body_framing> read_body_framing(const std::vector<http_header>& headers);

} // namespace chestnutstand
