#include "chunked_body.h"

#include "large_buffer.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace chestnutstand {
namespace {

constexpr std::string_view line_end = "\r\n";
/// Limit for a chunk size line with its extensions, and for a trailer field.
constexpr std::size_t max_line_bytes = 4'096;
constexpr std::size_t max_trailer_bytes = 16'384;
constexpr int hexadecimal_base = 16;

} // namespace

chunk_progress chunked_body::decode_from(std::string& buffer)
{
    std::size_t consumed = 0;
    auto progress = chunk_progress::incomplete;
    while (progress == chunk_progress::incomplete && consumed < buffer.size()) {
        if (state_ == state::data) {
            const std::size_t count = std::min(chunk_bytes_left_, buffer.size() - consumed);
            append_large(bytes_, std::string_view{buffer}.substr(consumed, count), max_bytes_);
            consumed += count;
            chunk_bytes_left_ -= count;
            state_ = chunk_bytes_left_ == 0 ? state::data_end : state::data;
            continue;
        }
        const auto end = buffer.find(line_end, consumed);
        if (end == std::string::npos) {
            if (buffer.size() - consumed > max_line_bytes) {
                progress = chunk_progress::malformed;
            }
            break;
        }
        const std::string_view line = std::string_view{buffer}.substr(consumed, end - consumed);
        consumed = end + line_end.size();
        if (state_ == state::size) {
            progress = read_size(line);
        }
        else if (state_ == state::trailer) {
            progress = read_trailer(line);
        }
        else {
            // Chunk data is followed by CRLF.
            progress = line.empty() ? chunk_progress::incomplete : chunk_progress::malformed;
            state_ = state::size;
        }
    }
    buffer.erase(0, consumed);
    return progress;
}

chunk_progress chunked_body::read_size(std::string_view line)
{
    const std::string_view digits = line.substr(0, line.find(';'));
    std::size_t size = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal_base);
    if (digits.empty() || error != std::errc{} || end != digits.data() + digits.size() ||
        line.find('\n') != std::string_view::npos) {
        return chunk_progress::malformed;
    }
    if (size > max_bytes_ || bytes_.size() > max_bytes_ - size) {
        return chunk_progress::too_large;
    }
    chunk_bytes_left_ = size;
    state_ = size == 0 ? state::trailer : state::data;
    return chunk_progress::incomplete;
}

chunk_progress chunked_body::read_trailer(std::string_view line)
{
    trailer_bytes_ += line.size();
    if (trailer_bytes_ > max_trailer_bytes) {
        return chunk_progress::malformed;
    }
    return line.empty() ? chunk_progress::complete : chunk_progress::incomplete;
}

} // namespace chestnutstand
