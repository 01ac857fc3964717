#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Appends to a buffer that may grow up to a limit. Growing by doubling would hold a large body
/// twice while it is copied, so that a buffer that has become large reserves its limit. Pages that
/// have not been written take no memory.
inline void append_large(std::string& buffer, std::string_view bytes, std::size_t limit)
{
    constexpr std::size_t large_bytes = std::size_t{1} << 20U;
    /// Bounds the address space of a buffer with a very high limit.
    constexpr std::size_t max_reserved_bytes = std::size_t{128} << 20U;
    const std::size_t size = buffer.size() + bytes.size();
    if (size > buffer.capacity() && size >= large_bytes) {
        buffer.reserve(std::max(size, std::min(limit, std::max(2 * size, max_reserved_bytes))));
    }
    buffer.append(bytes);
}

} // namespace chestnutstand
