#pragma once

#include "chestnutstand/support/clock.h"

namespace chestnutstand {

/// Paths of the HTTP requests between nodes; their bodies are Protobuf messages of node.proto.
namespace node_path {
inline constexpr const char* execute = "/execute";
inline constexpr const char* forward = "/forward";
inline constexpr const char* settle = "/settle";
inline constexpr const char* probe = "/probe";
inline constexpr const char* changes = "/changes";
inline constexpr const char* members = "/members";
inline constexpr const char* quota = "/quota";
} // namespace node_path

/// Added to a call's deadline, so that the executor's own result, such as a timeout of its
/// upstream, arrives before the request between the nodes times out.
inline constexpr milliseconds reply_grace_period{250};

} // namespace chestnutstand
