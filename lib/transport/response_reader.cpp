#include "response_reader.h"

#include "large_buffer.h"
#include "message_grammar.h"

#include <utility>

namespace chestnutstand {
namespace {

constexpr std::string_view line_end = "\r\n";
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

/// Limit of the bytes of all header lines of a response, including those of interim responses.
/// Servers commonly limit a head to 8 to 64 KiB.
constexpr std::size_t max_header_bytes = 131'072;

/// Limit of the bytes of a chunked body with its framing, relative to the limit of its content.
/// Servers send chunks of kilobytes, whose framing takes less than a hundredth.
constexpr std::size_t max_chunk_expansion = 2;

} // namespace

bool response_reader::fail(http_error error)
{
    error_ = error;
    return false;
}

void response_reader::abandon(http_error error)
{
    error_ = error;
    response_ = {};
    body_ = {};
    field_bytes_ = 0;
    chunks_.reset();
    undecoded_ = {};
}

std::size_t response_reader::held_bytes() const
{
    const std::size_t chunked = chunks_ ? chunks_->bytes().size() : 0;
    return field_bytes_ + body_.size() + chunked + undecoded_.size();
}

bool response_reader::add_header_line(std::string_view line)
{
    if (error_ != http_error::none) {
        return false;
    }
    header_bytes_ += line.size();
    if (header_bytes_ > max_header_bytes) {
        return fail(http_error::too_large);
    }
    if (line.size() < line_end.size() || line.substr(line.size() - line_end.size()) != line_end) {
        return fail(http_error::malformed);
    }
    line.remove_suffix(line_end.size());
    if (state_ == state::status_line) {
        return read_status_line(line);
    }
    if (state_ == state::body) {
        return fail(http_error::malformed);
    }
    if (line.empty()) {
        return finish_head();
    }
    auto field = parse_field_line(line);
    if (!field.ok()) {
        return fail(http_error::malformed);
    }
    response_.headers.push_back(*std::move(field));
    field_bytes_ += line.size() + sizeof(http_header);
    return true;
}

bool response_reader::read_status_line(std::string_view line)
{
    const auto parsed = parse_status_line(line);
    // No request asks for another protocol.
    if (!parsed.ok() || parsed->status == status_switching_protocols) {
        return fail(http_error::malformed);
    }
    response_.status = parsed->status;
    is_http11_ = parsed->is_http11;
    state_ = state::fields;
    return true;
}

bool response_reader::finish_head()
{
    const auto framing = read_body_framing(response_.headers);
    if (!framing.ok() || (framing->chunked && !is_http11_)) {
        return fail(http_error::malformed);
    }
    if (response_.status < first_final_status) {
        return finish_interim_head(framing->chunked || framing->length);
    }
    state_ = state::body;
    if (has_no_body()) {
        return true;
    }
    length_ = framing->length;
    if (length_ && *length_ > max_bytes_) {
        return fail(http_error::too_large);
    }
    if (framing->chunked) {
        chunks_.emplace(max_bytes_);
    }
    return true;
}

// An interim response has no body (RFC 9110, 8.6), but libcurl would apply its length to the final
// one.
bool response_reader::finish_interim_head(bool has_framing)
{
    if (has_framing) {
        return fail(http_error::malformed);
    }
    response_ = {};
    field_bytes_ = 0;
    state_ = state::status_line;
    return true;
}

bool response_reader::has_no_body() const
{
    return head_only_ || response_.status == status_no_content ||
           response_.status == status_not_modified;
}

bool response_reader::add_body(std::string_view bytes)
{
    if (error_ != http_error::none) {
        return false;
    }
    if (state_ != state::body || has_no_body()) {
        return fail(http_error::malformed);
    }
    if (chunks_) {
        return decode_chunks(bytes);
    }
    const std::size_t size = body_.size() + bytes.size();
    if (size > max_bytes_) {
        return fail(http_error::too_large);
    }
    if (length_ && size > *length_) {
        return fail(http_error::malformed);
    }
    append_large(body_, bytes, length_.value_or(max_bytes_));
    return true;
}

// libcurl does not decode the body, as it skips chunk extensions and trailers of any length.
bool response_reader::decode_chunks(std::string_view bytes)
{
    if (chunks_complete_) {
        has_excess_ = true;
        return true;
    }
    chunked_bytes_ += bytes.size();
    if (chunked_bytes_ / max_chunk_expansion > max_bytes_) {
        return fail(http_error::too_large);
    }
    undecoded_.append(bytes);
    switch (chunks_->decode_from(undecoded_)) {
    case chunk_progress::incomplete:
        return true;
    case chunk_progress::complete:
        chunks_complete_ = true;
        has_excess_ = !undecoded_.empty();
        return true;
    case chunk_progress::malformed:
        return fail(http_error::malformed);
    case chunk_progress::too_large:
        return fail(http_error::too_large);
    }
    return fail(http_error::malformed);
}

http_error response_reader::finish()
{
    response_.body = std::move(body_);
    if (error_ != http_error::none) {
        return error_;
    }
    if (state_ != state::body) {
        return has_begun() ? http_error::truncated : http_error::connection_lost;
    }
    if (chunks_) {
        response_.body = std::move(chunks_->bytes());
        return chunks_complete_ ? http_error::none : http_error::truncated;
    }
    if (has_no_body()) {
        return http_error::none;
    }
    if (!length_) {
        return http_error::unframed;
    }
    return response_.body.size() == *length_ ? http_error::none : http_error::truncated;
}

} // namespace chestnutstand
