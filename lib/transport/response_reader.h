#pragma once

#include "chunked_body.h"

#include "chestnutstand/transport/http_client.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Reads the response to one request from the header lines and the body bytes that libcurl
/// receives. libcurl takes as much of an invalid head as it understands, for example the digits
/// before the first other character of a length; this class refuses such a response.
class response_reader {
public:
    /// head_only is set for a request with the method HEAD. max_bytes limits the body.
    response_reader(bool head_only, std::size_t max_bytes)
        : head_only_{head_only}, max_bytes_{max_bytes}
    {
    }

    /// Adds a header line with its line end. Returns false if the response must be abandoned, for
    /// the reason that error() returns.
    bool add_header_line(std::string_view line);

    /// Adds bytes of the body as they were received; returns like add_header_line().
    bool add_body(std::string_view bytes);

    /// Drops what has been received. All further add methods return false.
    void abandon(http_error error);

    /// Memory that the response takes, in bytes. Counts each header as its line and an entry.
    std::size_t held_bytes() const;

    /// Why the response must be abandoned; http_error::none unless an add method returned false.
    http_error error() const { return error_; }

    /// Checks the response after its last byte, as libcurl or the end of the connection marked it.
    http_error finish();

    bool has_begun() const { return header_bytes_ > 0; }
    /// Whether the head of the final response is complete.
    bool is_head_complete() const { return state_ == state::body; }

    /// Whether bytes followed a complete chunked body. The rest of them may still arrive.
    bool has_excess() const { return has_excess_; }

    /// The response as received so far.
    http_response& response() { return response_; }

private:
    enum class state : std::uint8_t { status_line, fields, body };

    bool fail(http_error error);
    bool read_status_line(std::string_view line);
    bool finish_head();
    bool finish_interim_head(bool has_framing);
    bool decode_chunks(std::string_view bytes);
    bool has_no_body() const;

    bool head_only_;
    std::size_t max_bytes_;
    http_error error_ = http_error::none;
    state state_ = state::status_line;
    bool is_http11_ = false;
    http_response response_;
    /// Bytes of all header lines, including those of interim responses.
    std::size_t header_bytes_ = 0;
    /// Headers of the current head, in bytes.
    std::size_t field_bytes_ = 0;
    std::optional<std::uint64_t> length_;
    /// Set if the body is chunked.
    std::optional<chunked_body> chunks_;
    std::size_t chunked_bytes_ = 0;
    /// Received body that is not chunked.
    std::string body_;
    /// Received bytes of the chunked body that are not decoded yet.
    std::string undecoded_;
    bool chunks_complete_ = false;
    bool has_excess_ = false;
};

} // namespace chestnutstand
