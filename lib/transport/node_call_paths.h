#pragma once

#include "chestnutstand/support/clock.h"

namespace chestnutstand {

/// Paths of the calls between nodes over HTTP; bodies are the Protobuf messages of node.proto.
namespace node_path {
inline constexpr const char* execute = "/execute";
inline constexpr const char* forward = "/forward";
inline constexpr const char* settle = "/settle";
inline constexpr const char* probe = "/probe";
inline constexpr const char* changes = "/changes";
inline constexpr const char* members = "/members";
} // namespace node_path

/// Lets the executor's own answer, for example a timeout of its upstream, arrive before the call
/// between the nodes times out.
inline constexpr milliseconds reply_grace_period{250};

} // namespace chestnutstand
