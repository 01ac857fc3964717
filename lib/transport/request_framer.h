#pragma once

#include "chunked_body.h"

#include "chestnutstand/transport/http_server.h"

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

/// Nothing when the request is not complete yet.
using framing_result = std::variant<std::monostate, framed_request, request_refusal>;

/// Cuts the bytes of one client connection into requests. Pistache's own framing loses pipelined
/// requests and repeated header lines, and accepts ambiguous lengths.
class request_framer {
public:
    request_framer(std::size_t max_header_bytes, std::size_t max_body_bytes);

    /// Limits from the next request on.
    void set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes);

    void add(std::string_view bytes) { buffer_.append(bytes); }

    /// Takes the next complete request out of the buffer.
    framing_result next();

    /// Refusal of a request that is not complete.
    request_refusal refuse_incomplete(int status, std::string detail) const;

    /// Whether the client waits for 100 Continue before it sends the body; true once per request.
    bool consume_expect_continue();

    /// Whether no byte of a further request has arrived.
    bool empty() const { return buffer_.empty() && !head_; }

    std::size_t buffered() const { return buffer_.size(); }
    void discard() { buffer_.clear(); }

private:
    struct head {
        framed_request parsed;
        std::size_t body_bytes = 0;
        /// Set for a body that comes in chunks.
        std::optional<chunked_body> chunks;
        bool expects_continue = false;
    };

    std::optional<request_refusal> read_head();
    framing_result next_chunked();
    request_refusal body_too_large() const;
    std::variant<head, request_refusal> parse_head(std::string_view block) const;
    std::optional<request_refusal> read_body_length(head& into) const;

    std::size_t max_header_bytes_;
    std::size_t max_body_bytes_;
    std::string buffer_;
    /// Bytes of the buffer that are known not to contain the end of the header block.
    std::size_t scanned_bytes_ = 0;
    /// Header block of the request whose body is still arriving.
    std::optional<head> head_;
};

} // namespace chestnutstand
