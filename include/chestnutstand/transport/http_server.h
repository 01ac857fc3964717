#pragma once

#include "chestnutstand/transport/call.h"
#include "chestnutstand/transport/memory_budget.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

/// Sends the response to one request.
class responder {
public:
    responder() = default;
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;
    virtual ~responder() = default;

    /// Sends the response; later calls have no effect. Callable from any thread.
    virtual void send(http_response response) = 0;

    /// Cancelled when the client disconnects before the response is sent.
    virtual std::shared_ptr<cancellation> disconnected() const = 0;
};

/// Why the server itself refuses a request. The connection is closed after the response.
struct request_refusal {
    int status = 400;
    reason_code reason = reason_code::malformed_request;
    std::string detail;
    /// Unset when not all headers could be parsed.
    std::optional<std::vector<http_header>> headers;
};

/// Size limits of requests and timeouts of connections.
struct http_server_limits {
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    std::size_t max_header_bytes = std::size_t{16} << 10U;
    /// A request that is not complete after this time is refused.
    milliseconds request_timeout{10'000};
    /// A connection without a request is closed after this time.
    milliseconds idle_timeout{300'000};
};

/// Limits of the requests of one connection that are in progress at once.
struct pipeline_limits {
    std::size_t max_requests = 16;
    /// No further request is begun while the requests in progress and the responses that wait for
    /// their turn hold this many bytes.
    std::size_t max_bytes = std::size_t{1} << 20U;
};

struct http_server_options : http_server_limits {
    std::string address = "127.0.0.1";
    /// 0 lets the kernel assign a port.
    std::uint16_t port = 0;
    std::uint32_t threads = 1;
    /// Returns limits that replace the fixed ones for a new request; called on any thread.
    std::function<http_server_limits()> current_limits;
    /// Limits of the requests of one connection that are handled at once; they apply only where
    /// may_overtake is set.
    pipeline_limits pipeline;
    /// Whether a request may be handled while requests ahead of it on its connection are; called on
    /// any thread. It must not hold for a request that may not run twice: when a connection breaks,
    /// clients send all requests without a response again. Unset for none.
    std::function<bool(const http_request&)> may_overtake;
    /// Builds the response to a request that the server refuses; a plain text response by default.
    std::function<http_response(const request_refusal&)> make_refusal_response;
    /// Memory for requests that are being received and responses that are being sent; null for no
    /// limit.
    std::shared_ptr<memory_budget> memory{};
    /// Connections beyond this number take the place of others that are idle, or are closed; 0 for
    /// no limit.
    std::uint32_t max_connections = 0;
};

struct http_server_statistics {
    std::uint32_t open_connections = 0;
    /// Connections closed to keep their number within the limit.
    std::uint64_t closed_for_descriptors = 0;
    /// Connections closed to free memory.
    std::uint64_t closed_for_memory = 0;
};

/// HTTP/1.1 server. Requests on one connection are handled one at a time, except those that may
/// overtake; responses are in the order of the requests. A malformed request is refused and the
/// connection closed. Only the thread that owns a connection writes to it, so that
/// a response cannot reach a later connection with the same descriptor.
class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<responder>)>;

    http_server(http_server_options options, handler handle);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    absl::Status start();
    std::uint16_t port() const;

    /// Whether no request is being handled and no response is being written.
    bool idle() const;

    http_server_statistics read() const;

    /// Closes the listening socket and all connections. Idempotent.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace chestnutstand
