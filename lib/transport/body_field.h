#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chestnutstand {

/// Field numbers that lead from a message to the bytes field with its body.
struct body_path {
    std::array<int, 3> fields{};
    std::size_t count = 0;
};

/// A large body is not copied into the message between nodes. The message is serialized without it,
/// and its fields are opened a second time at the end, with nothing but the body. Protobuf merges
/// both occurrences, so that a node that reads the whole message at once understands it as well.

/// The bytes between the serialized message and the body.
std::string open_body_field(const body_path& path, std::size_t body_bytes);

struct body_position {
    /// Length of the message without the body.
    std::size_t message_bytes = 0;
    /// Where the body begins. It extends to the end.
    std::size_t body_begin = 0;
};

/// Whether the message and those on the path in it have no more fields than a message of this or a
/// later version can have. Protobuf keeps an entry for each unknown field, which takes many times
/// the memory of a field of two bytes.
bool has_plausible_fields(std::string_view message, const body_path& path);

/// Finds a body at the end of a message. Returns nothing if the message has none there, as in the
/// form that a node without this way of sending uses.
std::optional<body_position> find_body_field(std::string_view message, const body_path& path);

} // namespace chestnutstand
