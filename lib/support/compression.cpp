#include "chestnutstand/support/compression.h"

#include <zlib.h>

namespace chestnutstand {
namespace {

const Bytef* bytes_of(std::string_view text)
{
    return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

std::string compress(std::string_view text)
{
    uLongf size = ::compressBound(text.size());
    std::string out(size, '\0');
    // Fails only for a buffer that is too small or when memory is exhausted.
    if (::compress2(reinterpret_cast<Bytef*>(out.data()), &size, bytes_of(text), text.size(),
                    Z_BEST_SPEED) != Z_OK) {
        return {};
    }
    out.resize(size);
    out.shrink_to_fit();
    return out;
}

absl::StatusOr<std::string> decompress(std::string_view compressed, std::size_t size)
{
    // A byte of zlib's format holds at most 1,032 bytes.
    constexpr std::size_t max_ratio = 1'032;
    if (size / max_ratio > compressed.size()) {
        return absl::DataLossError("the size of the compressed text is impossible");
    }
    std::string out(size, '\0');
    uLongf written = size;
    const int result = ::uncompress(reinterpret_cast<Bytef*>(out.data()), &written,
                                    bytes_of(compressed), compressed.size());
    if (result != Z_OK || written != size) {
        return absl::DataLossError("the compressed text is damaged");
    }
    return out;
}

} // namespace chestnutstand
