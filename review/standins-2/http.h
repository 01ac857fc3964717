// Minimal HTTP/1.1 over blocking sockets for the stand-ins of this review. Loopback only.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using headers = std::vector<std::pair<std::string, std::string>>;

/// Value of the first header with that name, compared case-insensitively; empty if there is none.
std::string header_of(const headers& fields, std::string_view name);

struct request {
    std::string method;
    std::string target;
    headers fields;
    std::string body;
};

struct answer {
    /// 0 if the connection ended before a complete answer arrived.
    int status = 0;
    headers fields;
    std::string body;
    /// What ended the exchange if the status is 0.
    std::string error;
};

/// Serializes a request with a Content-Length, unless it is a GET without a body.
std::string to_bytes(const request& message);

/// Serializes an answer with a Content-Length.
std::string make_answer(int status, const headers& fields, std::string_view body);

/// Client side of one connection.
class connection {
public:
    connection(const std::string& address, std::uint16_t port, double timeout_s);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    bool open() const { return socket_ != -1; }
    /// Returns false if the server has closed the connection or takes no bytes within the timeout.
    bool send(std::string_view bytes) const;
    answer read_answer();

private:
    int socket_ = -1;
    std::string buffer_;
};

/// Sends one request on a new connection.
answer exchange(const std::string& address, std::uint16_t port, const request& message,
                double timeout_s);

/// HTTP server with a thread for each connection.
class listener {
public:
    /// Returns the bytes to send; nothing to close the connection.
    using handler = std::function<std::optional<std::string>(const request&)>;

    /// Port 0 means any free port.
    listener(const std::string& address, std::uint16_t port, handler handle);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    std::uint16_t port() const { return port_; }

private:
    void accept_all();
    void serve(int socket);

    int socket_ = -1;
    std::uint16_t port_ = 0;
    handler handle_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::map<int, std::thread> serving_;
    std::thread accepting_;
};

/// A port that is free on 127.0.0.1.
std::uint16_t free_port();

} // namespace review
