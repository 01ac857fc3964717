#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace chestnutstand {

enum class chunk_progress : std::uint8_t {
    incomplete, ///< More bytes are needed.
    complete,   ///< The body and its trailer section have ended.
    malformed,
    too_large,
};

/// Decodes a chunked body (RFC 9112, 7.1). Chunk extensions and trailer fields are dropped;
/// anything that another implementation could read differently is refused.
class chunked_body {
public:
    explicit chunked_body(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// Takes what it can off the front of the buffer.
    chunk_progress decode_from(std::string& buffer);

    /// The decoded bytes; all of them once the body is complete.
    std::string& bytes() { return bytes_; }

private:
    enum class state : std::uint8_t { size, data, data_end, trailer };

    chunk_progress read_size(const std::string& line);
    chunk_progress read_trailer(const std::string& line);

    std::size_t max_bytes_;
    state state_ = state::size;
    std::size_t chunk_bytes_left_ = 0;
    std::size_t trailer_bytes_ = 0;
    std::string bytes_;
};

} // namespace chestnutstand
