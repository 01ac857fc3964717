#pragma once

#include "chestnutstand/transport/call.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chestnutstand {

/// Why an HTTP exchange yielded no complete response.
enum class http_error : std::uint8_t {
    none,
    connect_failed,  ///< No byte of the request was sent.
    timed_out,       ///< The request may have been received.
    connection_lost, ///< The request may have been received.
    truncated,       ///< The response was shorter than its framing states.
    malformed,       ///< The bytes received are not a valid response.
    unframed,        ///< The response had neither Content-Length nor chunked framing.
    too_large,       ///< The response exceeded a size limit, or all in progress exceeded theirs.
    cancelled,
};

struct http_result {
    http_error error = http_error::none;
    http_response response;
    milliseconds elapsed{0};
};

/// Asynchronous HTTP client. Each callback runs exactly once, on the client's own thread.
class http_client {
public:
    using request_id = std::uint64_t;
    using http_done = std::function<void(http_result)>;

    http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    virtual ~http_client() = default;

    /// base_url has the form http://ip:port; the request's target is appended to it.
    virtual request_id send(const std::string& base_url, http_request request, milliseconds timeout,
                            http_done done) = 0;

    /// Closes the connection of a running request, whose callback receives http_error::cancelled.
    virtual void cancel(request_id id) = 0;
};

inline constexpr std::size_t default_response_limit = std::size_t{8} << 20U;

/// Limits of the responses that a client receives, in bytes.
struct http_client_limits {
    /// Limit of the body of one response.
    std::size_t max_response_bytes = default_response_limit;
    /// Limit of all responses in progress together. Beyond it, the largest one is ended.
    std::size_t max_held_bytes = 32 * default_response_limit;
    /// Memory of the process that the responses use; null for no further limit.
    std::shared_ptr<memory_budget> memory{};
};

/// Client based on libcurl's multi interface, with one thread and pooled connections.
std::unique_ptr<http_client> make_http_client(http_client_limits limits = {});

} // namespace chestnutstand
