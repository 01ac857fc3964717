#pragma once

#include "body_field.h"

#include "chestnutstand/transport/shared_body.h"

#include <cstddef>
#include <string>
#include <utility>

namespace chestnutstand {

/// Bodies from this size on are sent behind their message. Smaller ones are copied into it, which
/// costs less than a further write.
inline constexpr std::size_t min_separate_body = std::size_t{16} << 10U;

/// Where call and response bodies are in the messages of node.proto: ExecuteRequest and
/// ForwardRequest, call, request, body; ExecuteReply, response, body.
inline constexpr body_path call_body{{2, 8, 4}, 3};
inline constexpr body_path response_body{{3, 3}, 2};

/// Sets the content of an HTTP message to a message between nodes, which must have no body of its
/// own, and the body.
template <typename HttpMessage, typename Message>
void set_content(HttpMessage& to, const Message& message, const body_path& path,
                 const shared_body& body)
{
    std::string bytes = message.SerializeAsString();
    if (!body.empty()) {
        bytes += open_body_field(path, body.size());
    }
    if (body.size() < min_separate_body) {
        bytes += body.view();
        to.body = std::move(bytes);
        return;
    }
    to.body_prefix = std::move(bytes);
    to.body = body;
}

/// Parses the content of an HTTP message. Returns false if it is not valid. Otherwise content is
/// the body if it was sent behind the message, and empty if it is a part of the message or missing.
template <typename Message>
bool parse_content(shared_body& content, Message& message, const body_path& path)
{
    const auto position = find_body_field(content.view(), path);
    const std::size_t size = position ? position->message_bytes : content.size();
    if (!has_plausible_fields(content.view(), path) ||
        !message.ParseFromArray(content.data(), static_cast<int>(size))) {
        return false;
    }
    if (position) {
        content.remove_prefix(position->body_begin);
    }
    else {
        content = {};
    }
    return true;
}

} // namespace chestnutstand
