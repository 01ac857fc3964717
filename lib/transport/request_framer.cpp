#include "request_framer.h"

#include "large_buffer.h"
#include "message_grammar.h"

#include "chestnutstand/transport/headers.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <pistache/http.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

namespace http = Pistache::Http;

constexpr std::string_view line_end = "\r\n";
/// A larger buffer is given back when it is no longer used.
constexpr std::size_t min_reserved_bytes = std::size_t{256} << 10U;
constexpr int status_too_large = 413;
constexpr int status_expectation_failed = 417;
constexpr int status_headers_too_large = 431;

request_refusal malformed(std::string detail)
{
    return {400, reason_code::malformed_request, std::move(detail), {}};
}

// The next hop may parse a fragment or an unencoded character differently.
bool is_origin_form(std::string_view target)
{
    return !target.empty() && target.front() == '/' &&
           std::all_of(target.begin(), target.end(), [](char c) {
               return absl::ascii_isgraph(static_cast<unsigned char>(c)) && c != '#';
           });
}

/// Removes one line from the front of the block and returns it without the line end.
std::string_view take_line(std::string_view& block)
{
    const auto end = block.find(line_end);
    const std::string_view line = block.substr(0, end);
    block.remove_prefix(end == std::string_view::npos ? block.size() : end + line_end.size());
    return line;
}

/// Uses Pistache to check only the method and the version. Its parser would reorder the query and
/// refuse header values that only concern the upstream.
std::optional<request_refusal> parse_request_line(std::string_view line, framed_request& framed)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) {
        return malformed("the request line must be METHOD TARGET VERSION");
    }
    const std::string_view target = line.substr(first + 1, last - first - 1);
    framed.request.method = std::string{line.substr(0, first)};
    if (!is_token(framed.request.method) || !is_origin_form(target)) {
        return malformed("the request line must have a method and a target that starts with /");
    }
    const std::string message =
        absl::StrCat(framed.request.method, " / ", std::string{line.substr(last + 1)}, "\r\n\r\n");
    http::RequestParser parser{message.size()};
    parser.feed(message.data(), message.size());
    try {
        if (parser.parse() != http::Private::State::Done) {
            return malformed("the request line is not complete");
        }
    }
    catch (const http::HttpError& error) {
        return malformed(error.reason());
    }
    framed.request.target = std::string{target};
    framed.keep_alive = parser.request.version() == http::Version::Http11;
    return std::nullopt;
}

std::size_t count_headers(const http_request& request, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(request.headers.begin(), request.headers.end(),
                      [&](const auto& field) { return header_name_equal(field.name, name); }));
}

bool closes_connection(const http_request& request)
{
    return std::any_of(request.headers.begin(), request.headers.end(), [](const auto& field) {
        if (!header_name_equal(field.name, "connection")) {
            return false;
        }
        const std::vector<std::string> options = absl::StrSplit(field.value, ',');
        return std::any_of(options.begin(), options.end(), [](const std::string& option) {
            return header_name_equal(trim_whitespace(option), "close");
        });
    });
}

/// Whether the text has a bare line feed, which only some servers treat as a line end.
bool has_bare_lf(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at == 0 || text[at - 1] != '\r') {
            return true;
        }
    }
    return false;
}

} // namespace

request_framer::request_framer(std::size_t max_header_bytes, std::size_t max_body_bytes)
    : max_header_bytes_{max_header_bytes}, max_body_bytes_{max_body_bytes}
{
}

void request_framer::add(std::string_view bytes)
{
    bytes.remove_prefix(add_to_body(bytes));
    append_large(buffer_, bytes, max_header_bytes_ + max_body_bytes_);
}

/// Input that arrived before its head was parsed is not copied if it is all of one body.
void request_framer::move_buffer_to_body()
{
    if (head_->body.empty() && !buffer_.empty() && buffer_.size() <= head_->body_bytes) {
        head_->body = std::exchange(buffer_, {});
        return;
    }
    buffer_.erase(0, add_to_body(buffer_));
    if (buffer_.capacity() > min_reserved_bytes && buffer_.size() < min_reserved_bytes) {
        buffer_.shrink_to_fit();
    }
}

std::size_t request_framer::add_to_body(std::string_view bytes)
{
    if (!head_ || head_->chunks) {
        return 0;
    }
    std::string& body = head_->body;
    const std::size_t count = std::min(bytes.size(), head_->body_bytes - body.size());
    append_large(body, bytes.substr(0, count), head_->body_bytes);
    return count;
}

std::size_t request_framer::held_bytes() const
{
    const std::size_t body =
        head_ ? memory_of(head_->body) + (head_->chunks ? memory_of(head_->chunks->bytes()) : 0)
              : 0;
    return memory_of(buffer_) + body;
}

void request_framer::discard()
{
    buffer_ = {};
    scanned_bytes_ = 0;
    head_.reset();
}

std::optional<std::size_t> request_framer::consume_announced_length()
{
    if (!head_ || head_->chunks || std::exchange(head_->length_consumed, true)) {
        return std::nullopt;
    }
    const std::size_t held = std::max(head_->body.size(), memory_of(head_->body));
    return head_->body_bytes - std::min(head_->body_bytes, held);
}

framing_result request_framer::next()
{
    framing_result result = frame_next();
    if (buffer_.empty()) {
        // Many connections are idle or between two pieces of a body.
        buffer_ = {};
    }
    return result;
}

framing_result request_framer::frame_next()
{
    if (!head_) {
        if (auto refused = read_head()) {
            return *refused;
        }
    }
    if (head_ && head_->chunks) {
        return next_chunked();
    }
    if (!head_) {
        return std::monostate{};
    }
    move_buffer_to_body();
    if (head_->body.size() < head_->body_bytes) {
        return std::monostate{};
    }
    framed_request complete = std::move(head_->parsed);
    complete.request.body = std::move(head_->body);
    head_.reset();
    return complete;
}

framing_result request_framer::next_chunked()
{
    switch (head_->chunks->decode_from(buffer_)) {
    case chunk_progress::incomplete:
        return std::monostate{};
    case chunk_progress::malformed:
        return malformed("the chunked body is malformed");
    case chunk_progress::too_large:
        return body_too_large();
    case chunk_progress::complete:
        break;
    }
    framed_request complete = std::move(head_->parsed);
    complete.request.body = std::move(head_->chunks->bytes());
    head_.reset();
    return complete;
}

request_refusal request_framer::body_too_large() const
{
    return {status_too_large,
            reason_code::body_too_large,
            absl::StrCat("the body must be at most ", max_body_bytes_, " bytes"),
            {}};
}

void request_framer::set_limits(std::size_t max_header_bytes, std::size_t max_body_bytes)
{
    max_header_bytes_ = max_header_bytes;
    max_body_bytes_ = max_body_bytes;
}

request_refusal request_framer::refuse_incomplete(int status, std::string detail) const
{
    request_refusal refused{status, reason_code::malformed_request, std::move(detail), {}};
    if (head_) {
        refused.headers = head_->parsed.request.headers;
    }
    return refused;
}

bool request_framer::consume_expect_continue()
{
    return head_ && std::exchange(head_->expects_continue, false);
}

std::optional<request_refusal> request_framer::read_head()
{
    // Empty lines between requests are ignored (RFC 9112, 2.2).
    while (buffer_.rfind(line_end, 0) == 0) {
        buffer_.erase(0, line_end.size());
    }
    const auto end = buffer_.find("\r\n\r\n", scanned_bytes_);
    const std::size_t head_bytes = end == std::string::npos ? buffer_.size() : end;
    if (head_bytes > max_header_bytes_) {
        return request_refusal{status_headers_too_large,
                               reason_code::headers_too_large,
                               absl::StrCat("the request line and the headers must be at most ",
                                            max_header_bytes_, " bytes"),
                               {}};
    }
    if (has_bare_lf(std::string_view{buffer_}.substr(0, head_bytes), scanned_bytes_)) {
        return malformed("lines must end with carriage return and line feed");
    }
    if (end == std::string::npos) {
        scanned_bytes_ = buffer_.size() < 3 ? 0 : buffer_.size() - 3;
        return std::nullopt;
    }
    scanned_bytes_ = 0;
    auto parsed = parse_head(std::string_view{buffer_}.substr(0, end));
    if (auto* refused = std::get_if<request_refusal>(&parsed)) {
        return std::move(*refused);
    }
    buffer_.erase(0, end + 2 * line_end.size());
    head_ = std::get<head>(std::move(parsed));
    return std::nullopt;
}

std::variant<request_framer::head, request_refusal>
request_framer::parse_head(std::string_view block) const
{
    head result;
    http_request& request = result.parsed.request;
    if (auto refused = parse_request_line(take_line(block), result.parsed)) {
        return *refused;
    }
    while (!block.empty()) {
        auto field = parse_field_line(take_line(block));
        if (!field.ok()) {
            return malformed(std::string{field.status().message()});
        }
        request.headers.push_back(*std::move(field));
    }
    const std::size_t hosts = count_headers(request, "host");
    if (hosts > 1 || (hosts == 0 && result.parsed.keep_alive)) {
        return malformed("the Host header must be given once");
    }
    if (auto refused = read_body_length(result)) {
        refused->headers = request.headers;
        return *refused;
    }
    if (const auto expected = find_header(request.headers, "expect")) {
        if (!header_name_equal(*expected, "100-continue")) {
            return request_refusal{status_expectation_failed, reason_code::malformed_request,
                                   "the only expectation that is met is 100-continue",
                                   request.headers};
        }
        result.expects_continue = result.body_bytes > 0 || result.chunks;
    }
    result.parsed.keep_alive = result.parsed.keep_alive && !closes_connection(request);
    return result;
}

std::optional<request_refusal> request_framer::read_body_length(head& result) const
{
    const auto framing = read_body_framing(result.parsed.request.headers);
    if (!framing.ok()) {
        return malformed(std::string{framing.status().message()});
    }
    if (framing->chunked) {
        result.chunks.emplace(max_body_bytes_);
    }
    const std::uint64_t length = framing->length.value_or(0);
    if (length > max_body_bytes_) {
        return body_too_large();
    }
    result.body_bytes = length;
    return std::nullopt;
}

} // namespace chestnutstand
