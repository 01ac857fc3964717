// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.

#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline double ms_between(steady::time_point from, steady::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

inline std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// An address on the loopback network.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const endpoint& from)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(from.port);
    ::inet_pton(AF_INET, from.ip.c_str(), &address.sin_addr);
    return address;
}

struct message {
    std::string start_line;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    std::string word(std::size_t index) const
    {
        std::size_t start = 0;
        for (; index > 0 && start != std::string::npos; --index) {
            start = start_line.find(' ', start);
            start += start == std::string::npos ? 0 : 1;
        }
        return start == std::string::npos
                   ? ""
                   : start_line.substr(start, start_line.find(' ', start) - start);
    }
    std::string method() const { return word(0); }
    std::string target() const { return word(1); }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// How reading a message ended.
enum class read_end { complete, closed, reset, timed_out };

/// An open connection. Closes its socket when destroyed.
class connection {
public:
    explicit connection(int socket) : socket_{socket} {}
    connection(connection&& other) noexcept
        : socket_{std::exchange(other.socket_, -1)}, buffer_{std::move(other.buffer_)}
    {
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection& operator=(connection&&) = delete;
    ~connection() { close(); }

    void close()
    {
        if (socket_ != -1) {
            ::close(std::exchange(socket_, -1));
        }
    }
    /// Closes the connection with a reset.
    void reset()
    {
        const linger immediately{1, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
        close();
    }
    int descriptor() const { return socket_; }
    std::size_t buffered() const { return buffer_.size(); }
    std::string take_buffered() { return std::exchange(buffer_, {}); }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno == EINTR) {
                continue;
            }
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Adds received bytes to the buffer, at most `limit` of them.
    read_end receive(steady::time_point until, std::size_t limit = 65'536)
    {
        const double left = ms_between(steady::now(), until);
        pollfd input{socket_, POLLIN, 0};
        if (left <= 0 || ::poll(&input, 1, static_cast<int>(left) + 1) == 0) {
            return read_end::timed_out;
        }
        std::string chunk(limit, '\0');
        const ssize_t size = ::recv(socket_, chunk.data(), chunk.size(), 0);
        if (size > 0) {
            buffer_.append(chunk, 0, static_cast<std::size_t>(size));
            return read_end::complete;
        }
        return size == 0 ? read_end::closed : read_end::reset;
    }

    /// Reads a message with a Content-Length or without a body.
    read_end read(message& result, steady::time_point until)
    {
        std::size_t head_end = 0;
        while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (const auto end = receive(until); end != read_end::complete) {
                return end;
            }
        }
        result = parse_head(std::string_view{buffer_}.substr(0, head_end));
        buffer_.erase(0, head_end + 4);
        const std::size_t length =
            std::strtoul(result.header("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (const auto end = receive(until); end != read_end::complete) {
                result.body = std::move(buffer_);
                return end;
            }
        }
        result.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return read_end::complete;
    }

    /// Whether the peer has closed the connection; unread bytes stay unread.
    bool peer_closed() const
    {
        char byte = 0;
        const ssize_t size = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    static message parse_head(std::string_view head)
    {
        message result;
        result.start_line = std::string{head.substr(0, head.find("\r\n"))};
        std::size_t at = head.find("\r\n");
        while (at != std::string_view::npos) {
            at += 2;
            const std::size_t end = head.find("\r\n", at);
            const std::string_view line = head.substr(at, end - at);
            const std::size_t colon = line.find(':');
            if (colon != std::string_view::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                result.headers[lower_case(std::string{line.substr(0, colon)})] =
                    value == std::string_view::npos ? "" : std::string{line.substr(value)};
            }
            at = end;
        }
        return result;
    }

    int socket_;
    std::string buffer_;
};

/// Connects; empty when the peer refuses or does not answer within a second. A receive buffer of 0
/// bytes stands for the default.
inline std::optional<connection> connect_to(const endpoint& peer, int receive_buffer = 0)
{
    connection result{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    if (receive_buffer > 0) {
        ::setsockopt(result.descriptor(), SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    const timeval one_second{1, 0};
    ::setsockopt(result.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &one_second, sizeof one_second);
    const auto address = to_sockaddr(peer);
    if (::connect(result.descriptor(), reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        return std::nullopt;
    }
    const timeval no_limit{0, 0};
    ::setsockopt(result.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &no_limit, sizeof no_limit);
    const int on = 1;
    ::setsockopt(result.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return result;
}

} // namespace review
