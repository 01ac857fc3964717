#pragma once

#include "chestnutstand/support/reason.h"
#include "chestnutstand/transport/call.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace chestnutstand {

struct framed_request {
    http_request request;
    /// Whether the client wants to use the connection again.
    bool keep_alive = true;
};

/// Why a request is refused. The connection cannot be used after that.
struct framing_refusal {
    int status = 400;
    reason why = reason::malformed_request;
    std::string detail;
};

/// Nothing when the request is not complete yet.
using framing_result = std::variant<std::monostate, framed_request, framing_refusal>;

/// Cuts the bytes of one client connection into requests. Pistache's own framing loses pipelined
/// requests and repeated header lines, and accepts ambiguous lengths.
class request_framer {
public:
    request_framer(std::size_t max_header_bytes, std::size_t max_body_bytes);

    void add(std::string_view bytes) { buffer_.append(bytes); }

    /// Takes the next complete request out of the buffer.
    framing_result next();

    /// Whether the client waits for 100 Continue before it sends the body; true once per request.
    bool take_continue();

    /// Whether no byte of a further request has arrived.
    bool empty() const { return buffer_.empty() && !head_; }

    std::size_t buffered() const { return buffer_.size(); }
    void discard() { buffer_.clear(); }

private:
    struct head {
        framed_request parsed;
        std::size_t body_bytes = 0;
        bool continue_wanted = false;
    };

    std::optional<framing_refusal> read_head();
    std::variant<head, framing_refusal> parse_head(std::string_view block) const;
    std::optional<framing_refusal> read_body_length(head& into) const;

    const std::size_t max_header_bytes_;
    const std::size_t max_body_bytes_;
    std::string buffer_;
    /// Bytes of the buffer that are known not to contain the end of the header block.
    std::size_t scanned_ = 0;
    /// Header block of the request whose body is still arriving.
    std::optional<head> head_;
};

} // namespace chestnutstand
