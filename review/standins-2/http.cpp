#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";
constexpr int backlog = 1'024;

bool equal_names(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

sockaddr_in to_sockaddr(const std::string& address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

bool send_all(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Appends what arrives next to the buffer. Returns false at the end of the connection.
bool receive(int socket, std::string& buffer)
{
    std::array<char, 65'536> bytes{};
    const ssize_t size = ::recv(socket, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

struct message {
    std::string start_line;
    headers fields;
    std::string body;
};

/// Reads a message with a Content-Length, or without a body, from the front of the buffer.
std::optional<message> read_message(int socket, std::string& buffer)
{
    std::size_t end = 0;
    while ((end = buffer.find(head_end)) == std::string::npos) {
        if (!receive(socket, buffer)) {
            return std::nullopt;
        }
    }
    message result;
    std::string_view head = std::string_view{buffer}.substr(0, end);
    while (!head.empty()) {
        const auto line_end = std::min(head.find("\r\n"), head.size());
        const std::string_view line = head.substr(0, line_end);
        head.remove_prefix(std::min(line_end + 2, head.size()));
        if (result.start_line.empty()) {
            result.start_line = std::string{line};
            continue;
        }
        const auto colon = line.find(':');
        const auto value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
        result.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    buffer.erase(0, end + head_end.size());
    const auto length = static_cast<std::size_t>(
        std::strtoull(header_of(result.fields, "content-length").c_str(), nullptr, 10));
    buffer.reserve(length);
    while (buffer.size() < length) {
        if (!receive(socket, buffer)) {
            return std::nullopt;
        }
    }
    result.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return result;
}

} // namespace

std::string header_of(const headers& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto& field) {
        return equal_names(field.first, name);
    });
    return found == fields.end() ? std::string{} : found->second;
}

std::string to_bytes(const request& message)
{
    std::string bytes = message.method + " " + message.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : message.fields) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    if (message.method != "GET" || !message.body.empty()) {
        bytes += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    }
    return bytes + "\r\n" + message.body;
}

std::string make_answer(int status, const headers& fields, std::string_view body)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    bytes += body;
    return bytes;
}

connection::connection(const std::string& address, std::uint16_t port, double timeout_s)
    : socket_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    timeval timeout{};
    timeout.tv_sec = static_cast<time_t>(timeout_s);
    timeout.tv_usec =
        static_cast<suseconds_t>((timeout_s - static_cast<double>(timeout.tv_sec)) * 1'000'000.0);
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in to = to_sockaddr(address, port);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(std::exchange(socket_, -1));
    }
}

connection::~connection()
{
    if (socket_ != -1) {
        ::close(socket_);
    }
}

bool connection::send(std::string_view bytes) const
{
    return socket_ != -1 && send_all(socket_, bytes);
}

answer connection::read_answer()
{
    answer result;
    auto received = socket_ == -1 ? std::nullopt : read_message(socket_, buffer_);
    if (!received) {
        result.error = socket_ == -1 ? "not connected" : "connection ended or timed out";
        return result;
    }
    const auto space = received->start_line.find(' ');
    result.status = std::atoi(received->start_line.c_str() + space + 1);
    result.fields = std::move(received->fields);
    result.body = std::move(received->body);
    return result;
}

answer exchange(const std::string& address, std::uint16_t port, const request& message,
                double timeout_s)
{
    connection used{address, port, timeout_s};
    used.send(to_bytes(message));
    return used.read_answer();
}

listener::listener(const std::string& address, std::uint16_t port, handler handle)
    : socket_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}, handle_{std::move(handle)}
{
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in bound = to_sockaddr(address, port);
    socklen_t size = sizeof bound;
    if (::bind(socket_, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 ||
        ::listen(socket_, backlog) != 0) {
        return;
    }
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&bound), &size);
    port_ = ntohs(bound.sin_port);
    accepting_ = std::thread{[this] { accept_all(); }};
}

listener::~listener()
{
    stopping_ = true;
    ::shutdown(socket_, SHUT_RDWR);
    if (accepting_.joinable()) {
        accepting_.join();
    }
    std::map<int, std::thread> serving;
    {
        const std::lock_guard lock{mutex_};
        serving.swap(serving_);
    }
    for (auto& [socket, thread] : serving) {
        ::shutdown(socket, SHUT_RDWR);
        thread.join();
        ::close(socket);
    }
    ::close(socket_);
}

void listener::accept_all()
{
    while (!stopping_) {
        const int accepted = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted == -1) {
            if (stopping_) {
                return;
            }
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock{mutex_};
        serving_.emplace(accepted, std::thread{[this, accepted] { serve(accepted); }});
    }
}

void listener::serve(int socket)
{
    std::string buffer;
    while (auto received = read_message(socket, buffer)) {
        const auto first = received->start_line.find(' ');
        const auto last = received->start_line.rfind(' ');
        if (first == std::string::npos || first == last) {
            break;
        }
        request asked{received->start_line.substr(0, first),
                      received->start_line.substr(first + 1, last - first - 1),
                      std::move(received->fields), std::move(received->body)};
        const auto bytes = handle_(asked);
        if (!bytes || !send_all(socket, *bytes)) {
            break;
        }
    }
    // Ends the connection; the descriptor is closed once nobody can shut it down any more.
    ::shutdown(socket, SHUT_RDWR);
    const std::lock_guard lock{mutex_};
    const auto own = serving_.find(socket);
    if (own != serving_.end()) {
        own->second.detach();
        serving_.erase(own);
        ::close(socket);
    }
}

std::uint16_t free_port()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound = to_sockaddr("127.0.0.1", 0);
    socklen_t size = sizeof bound;
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) == 0) {
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
    }
    ::close(socket);
    return ntohs(bound.sin_port);
}

} // namespace review
