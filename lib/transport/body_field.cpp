#include "body_field.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <cstdint>
#include <limits>

namespace chestnutstand {
namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

std::uint32_t tag_of(int field)
{
    return WireFormatLite::MakeTag(field, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
}

/// A call has at most a few thousand headers.
constexpr std::size_t max_fields = 20'000;

/// Counts the fields of a message, and of those on the path in it, down from fields_left. Returns
/// false if there are more, or if the message is not valid.
bool count_fields(std::string_view message, const body_path& path, std::size_t level,
                  std::size_t& fields_left)
{
    CodedInputStream in{reinterpret_cast<const std::uint8_t*>(message.data()),
                        static_cast<int>(message.size())};
    while (const std::uint32_t tag = in.ReadTag()) {
        if (fields_left-- == 0) {
            return false;
        }
        if (level + 1 < path.count && tag == tag_of(path.fields.at(level))) {
            std::uint32_t length = 0;
            if (!in.ReadVarint32(&length)) {
                return false;
            }
            const auto begin = static_cast<std::size_t>(in.CurrentPosition());
            if (length > message.size() - begin ||
                !count_fields(message.substr(begin, length), path, level + 1, fields_left) ||
                !in.Skip(static_cast<int>(length))) {
                return false;
            }
        }
        else if (!WireFormatLite::SkipField(&in, tag)) {
            return false;
        }
    }
    return static_cast<std::size_t>(in.CurrentPosition()) == message.size();
}

} // namespace

bool has_plausible_fields(std::string_view message, const body_path& path)
{
    std::size_t fields_left = max_fields;
    return count_fields(message, path, 0, fields_left);
}

std::string open_body_field(const body_path& path, std::size_t body_bytes)
{
    std::string opened;
    for (std::size_t i = path.count; i > 0; --i) {
        std::string level;
        {
            google::protobuf::io::StringOutputStream stream{&level};
            CodedOutputStream out{&stream};
            out.WriteTag(tag_of(path.fields.at(i - 1)));
            out.WriteVarint32(static_cast<std::uint32_t>(opened.size() + body_bytes));
        }
        opened.insert(0, level);
    }
    return opened;
}

std::optional<body_position> find_body_field(std::string_view message, const body_path& path)
{
    if (message.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
        return std::nullopt;
    }
    CodedInputStream in{reinterpret_cast<const std::uint8_t*>(message.data()),
                        static_cast<int>(message.size())};
    body_position found;
    std::size_t level = 0;
    while (true) {
        const auto field_begin = static_cast<std::size_t>(in.CurrentPosition());
        const std::uint32_t tag = in.ReadTag();
        std::uint32_t length = 0;
        if (tag != tag_of(path.fields.at(level))) {
            // Only the outermost message has other fields, which precede the body.
            if (tag == 0 || level > 0 || !WireFormatLite::SkipField(&in, tag)) {
                return std::nullopt;
            }
            continue;
        }
        if (!in.ReadVarint32(&length)) {
            return std::nullopt;
        }
        const auto content_begin = static_cast<std::size_t>(in.CurrentPosition());
        if (content_begin + length != message.size()) {
            if (level > 0 || content_begin + length > message.size() ||
                !in.Skip(static_cast<int>(length))) {
                return std::nullopt;
            }
            continue;
        }
        if (level == 0) {
            found.message_bytes = field_begin;
        }
        if (++level == path.count) {
            found.body_begin = content_begin;
            return found;
        }
    }
}

} // namespace chestnutstand
