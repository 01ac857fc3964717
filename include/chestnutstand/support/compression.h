#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Compresses a text in the zlib format (RFC 1950), for speed rather than for size.
std::string compress(std::string_view text);

/// Decompresses a text of a known size in bytes. DataLossError if the input is damaged or has
/// another size; never takes more memory than the size.
absl::StatusOr<std::string> decompress(std::string_view compressed, std::size_t size);

} // namespace chestnutstand
