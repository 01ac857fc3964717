#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Buffers of this size and more reserve more than they need.
inline constexpr std::size_t large_buffer_bytes = std::size_t{16} << 10U;
/// Blocks of this size and more are given back to the system as a whole, and take no memory for
/// pages that have not been written (M_MMAP_THRESHOLD).
inline constexpr std::size_t separate_block_bytes = std::size_t{128} << 10U;

/// Memory that a buffer takes beside its object.
inline std::size_t memory_of(const std::string& buffer)
{
    static const std::size_t capacity_without_block = std::string{}.capacity();
    if (buffer.capacity() <= capacity_without_block) {
        return 0;
    }
    return buffer.capacity() < separate_block_bytes ? buffer.capacity() : buffer.size();
}

/// Appends to a buffer that may grow up to a limit. A buffer that has become large gets a block of
/// its own, of which only the written pages take memory, and then reserves its limit. Growing by
/// doubling would hold a large body twice while it is copied, and many buffers that grow at the
/// same time would leave as much memory unused between them as they hold.
inline void append_large(std::string& buffer, std::string_view bytes, std::size_t limit)
{
    /// Small enough that many buffers do not exhaust the address space.
    constexpr std::size_t first_reserved_bytes = std::size_t{1} << 20U;
    /// Bounds the address space of a buffer with a very high limit.
    constexpr std::size_t max_reserved_bytes = std::size_t{128} << 20U;
    const std::size_t size = buffer.size() + bytes.size();
    if (size > buffer.capacity() && size >= large_buffer_bytes) {
        const std::size_t wanted = size < first_reserved_bytes
                                       ? first_reserved_bytes
                                       : std::max(2 * size, max_reserved_bytes);
        buffer.reserve(std::max(size, std::min(limit, wanted)));
    }
    buffer.append(bytes);
}

} // namespace chestnutstand
