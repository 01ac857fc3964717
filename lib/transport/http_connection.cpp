#include "http_connection.h"

#include "chestnutstand/transport/headers.h"

#include <absl/strings/str_cat.h>
#include <pistache/http_defs.h>

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace chestnutstand {
namespace {

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
/// Smaller bodies are copied, which costs less than a further write.
constexpr std::size_t min_shared_bytes = std::size_t{16} << 10U;

} // namespace

response_queue::response_queue() : event_fd_{::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)} {}

response_queue::~response_queue()
{
    ::close(event_fd_);
}

void response_queue::push(entry response)
{
    bool was_empty = false;
    {
        const std::lock_guard lock{mutex_};
        was_empty = entries_.empty();
        entries_.push_back(std::move(response));
    }
    if (was_empty) {
        wake();
    }
}

std::vector<response_queue::entry> response_queue::take_all()
{
    std::uint64_t ignored = 0;
    [[maybe_unused]] const auto bytes = ::read(event_fd_, &ignored, sizeof ignored);
    std::vector<entry> taken;
    const std::lock_guard lock{mutex_};
    taken.swap(entries_);
    return taken;
}

void response_queue::request_end(std::size_t connection)
{
    {
        const std::lock_guard lock{mutex_};
        ended_.push_back(connection);
    }
    wake();
}

std::vector<std::size_t> response_queue::take_ended()
{
    std::vector<std::size_t> taken;
    const std::lock_guard lock{mutex_};
    taken.swap(ended_);
    return taken;
}

void response_queue::request_stop()
{
    stopping_ = true;
    wake();
}

void response_queue::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto bytes = ::write(event_fd_, &one, sizeof one);
}

bool has_connection_close(const http_response& response)
{
    const auto connection = find_header(response.headers, "connection");
    return connection && header_name_equal(*connection, "close");
}

serialized_response serialize(http_response response, bool head_only, bool close)
{
    std::string out = absl::StrCat(
        "HTTP/1.1 ", response.status, " ",
        Pistache::Http::codeString(static_cast<Pistache::Http::Code>(response.status)), "\r\n");
    bool has_length = false;
    for (const auto& field : response.headers) {
        if (header_name_equal(field.name, "connection")) {
            continue;
        }
        const bool is_length = header_name_equal(field.name, "content-length");
        if (is_length && !head_only) {
            continue;
        }
        has_length = has_length || is_length;
        absl::StrAppend(&out, field.name, ": ", field.value, "\r\n");
    }
    absl::StrAppend(&out, "Connection: ", close ? "close" : "keep-alive", "\r\n");
    const bool bodyless =
        response.status == status_no_content || response.status == status_not_modified;
    if (!bodyless && !has_length) {
        absl::StrAppend(
            &out, "Content-Length: ", response.body_prefix.size() + response.body.size(), "\r\n");
    }
    out += "\r\n";
    if (!head_only && !bodyless) {
        out += response.body_prefix;
        if (response.body.size() >= min_shared_bytes) {
            return {std::move(out), std::move(response.body)};
        }
        out += response.body.view();
    }
    return {std::move(out)};
}

} // namespace chestnutstand
