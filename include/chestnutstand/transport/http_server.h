#pragma once

#include "chestnutstand/transport/call.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

/// Takes the response to one request.
class responder {
public:
    responder() = default;
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;
    virtual ~responder() = default;

    /// Sends the response; only the first one counts. Callable from any thread.
    virtual void send(http_response response) = 0;

    /// Cancelled when the client has gone before the response was sent.
    virtual std::shared_ptr<cancellation> disconnected() const = 0;
};

/// Why the server itself refuses a request. The connection is closed after that.
struct request_refusal {
    int status = 400;
    reason_code reason = reason_code::malformed_request;
    std::string detail;
    /// Nothing when not all headers could be read.
    std::optional<std::vector<http_header>> headers;
};

/// What clients may send, and for how long they may be silent.
struct http_server_limits {
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    std::size_t max_header_bytes = std::size_t{16} << 10U;
    /// A client that has not sent its whole request by then is refused.
    milliseconds request_timeout{10'000};
    /// A connection without a request is closed after this time.
    milliseconds idle_timeout{300'000};
};

struct http_server_options : http_server_limits {
    std::string address = "127.0.0.1";
    /// 0 means assigned by the kernel.
    std::uint16_t port = 0;
    std::uint32_t threads = 1;
    /// Limits that take the place of the fixed ones when a request begins; called on any thread.
    std::function<http_server_limits()> current_limits;
    /// Makes the response to a request that the server refuses itself; by default plain text.
    std::function<http_response(const request_refusal&)> refuse;
};

/// HTTP/1.1 server. The requests of one connection are handled one after the other; a malformed
/// one is refused and ends the connection. A response is written only by the thread that owns the
/// connection, so that it cannot reach a later connection with the same descriptor.
class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<responder>)>;

    http_server(http_server_options options, handler handle);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    absl::Status start();
    std::uint16_t port() const;

    /// Closes the listening socket and all connections. Idempotent.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace chestnutstand
