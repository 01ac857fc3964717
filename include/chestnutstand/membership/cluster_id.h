#pragma once

#include <cstdint>
#include <string_view>

namespace chestnutstand {

/// Identity of the cluster whose nodes share a secret; 0 for an empty one. It tells clusters apart
/// and proves nothing about the sender.
std::uint64_t cluster_id(std::string_view secret);

} // namespace chestnutstand
