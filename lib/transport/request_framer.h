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
    /// Whether the client allows the connection to be reused.
    bool keep_alive = true;
};

/// std::monostate while the request is incomplete.
using framing_result = std::variant<std::monostate, framed_request, request_refusal>;

/// Splits the byte stream of one client connection into requests. Pistache's own parser loses
/// pipelined requests and repeated header lines, and accepts ambiguous lengths.
class request_framer {
public:
    request_framer(std::size_t max_header_bytes, std::size_t max_body_bytes);

    /// Sets the limits for the next request.
    void set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes);

    void add(std::string_view bytes);

    /// Removes the next complete request from the buffer and returns it.
    framing_result next();

    /// Refusal of the current incomplete request.
    request_refusal refuse_incomplete(int status, std::string detail) const;

    /// Whether the client waits for 100 Continue to send the body; true once per request.
    bool consume_expect_continue();

    /// Whether no part of a further request has arrived.
    bool empty() const { return buffer_.empty() && !head_; }

    std::size_t buffered() const { return buffer_.size(); }
    /// Memory held for the current request and for what follows it, unused parts of its buffers
    /// included.
    std::size_t held_bytes() const;
    /// Drops all that has been received.
    void discard();

    /// Memory that the rest of an incomplete body with an announced length will take; once per
    /// request.
    std::optional<std::size_t> consume_announced_length();

private:
    struct head {
        framed_request parsed;
        std::size_t body_bytes = 0;
        /// What has arrived of a body with a length.
        std::string body;
        /// Set for a body with chunked transfer encoding.
        std::optional<chunked_body> chunks;
        bool expects_continue = false;
        bool length_consumed = false;
    };

    /// Moves bytes to the body with a length of the current request. Returns their number.
    std::size_t add_to_body(std::string_view bytes);
    void move_buffer_to_body();

    framing_result frame_next();
    std::optional<request_refusal> read_head();
    framing_result next_chunked();
    request_refusal body_too_large() const;
    std::variant<head, request_refusal> parse_head(std::string_view block) const;
    std::optional<request_refusal> read_body_length(head& result) const;

    std::size_t max_header_bytes_;
    std::size_t max_body_bytes_;
    std::string buffer_;
    /// Length of the prefix of the buffer that does not contain the end of the header block.
    std::size_t scanned_bytes_ = 0;
    /// Head of the request whose body is incomplete.
    std::optional<head> head_;
};

} // namespace chestnutstand
