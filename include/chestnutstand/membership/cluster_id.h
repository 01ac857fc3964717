#pragma once

#include <cstdint>
#include <string_view>

namespace chestnutstand {

/// Returns the identifier of the cluster whose nodes share the secret; 0 for an empty secret. It
/// distinguishes clusters and does not authenticate a sender.
std::uint64_t cluster_id(std::string_view secret);

} // namespace chestnutstand
