#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chestnutstand {

enum class chunk_progress : std::uint8_t {
    incomplete, ///< More input is needed.
    complete,   ///< The body and the trailer section are complete.
    malformed,
    too_large,
};

/// Decoder for a chunked body (RFC 9112, 7.1). Ignores chunk extensions and trailer fields. Rejects
/// input that another implementation could parse differently, which would allow request smuggling.
class chunked_body {
public:
    explicit chunked_body(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// Decodes as much as possible and removes it from the front of the buffer.
    chunk_progress decode_from(std::string& buffer);

    /// The body as decoded so far.
    std::string& bytes() { return bytes_; }
    const std::string& bytes() const { return bytes_; }

private:
    enum class state : std::uint8_t { size, data, data_end, trailer };

    chunk_progress read_size(std::string_view line);
    chunk_progress read_trailer(std::string_view line);

    std::size_t max_bytes_;
    state state_ = state::size;
    std::size_t chunk_bytes_left_ = 0;
    std::size_t trailer_bytes_ = 0;
    std::string bytes_;
};

} // namespace chestnutstand
