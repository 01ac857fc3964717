#pragma once

#include "chestnutstand/transport/call.h"
#include "chestnutstand/transport/cancellation.h"
#include "chestnutstand/transport/http_server.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace chestnutstand {

/// Order of the responses of one connection whose requests are handled concurrently. Pure; used by
/// one thread.
///
/// A connection ends with the last response to the requests that have been begun: a client sends
/// all requests behind a response with Connection: close again, so a begun request that is left
/// without a response would run twice.
class response_pipeline {
public:
    /// Identifies a request of the connection; never reused.
    using ticket = std::uint64_t;

    struct request {
        /// Size of the request in bytes.
        std::size_t bytes = 0;
        bool head_only = false;
        /// Whether the client lets the connection be reused after the response.
        bool keep_alive = true;
        /// Cancelled by the caller of abandon(); may be null.
        std::shared_ptr<cancellation> abandoned;
    };

    struct ready_response {
        http_response response;
        bool head_only = false;
        /// Whether the connection ends with this response.
        bool closes = false;
    };

    explicit response_pipeline(pipeline_limits limits = {}) : limits_{limits} {}

    /// Whether the next request may be handled now. One that may not overtake waits until the
    /// responses to all requests ahead have been written.
    bool may_begin(bool may_overtake) const;

    /// Adds a request that is passed to the handler. It is the last one unless it is kept alive.
    ticket begin(request begun);

    /// Adds the response to a request that is not passed to the handler, and accepts no more.
    void refuse(http_response response);

    /// Stores a response until its turn. Accepts no more requests if it has Connection: close.
    /// Returns false if the request is unknown or has its response.
    bool complete(ticket id, http_response response);

    /// Returns the next response in the order of the requests if it is ready and no other is being
    /// written. The caller calls written() when it has written it.
    std::optional<ready_response> take_ready();
    void written();

    /// Accepts no more requests; those in progress still get their responses.
    void stop_accepting() { accepting_ = false; }
    bool accepting() const { return accepting_; }

    /// Whether all responses have been written.
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

    /// Removes everything and returns the cancellations of the requests without a response.
    std::vector<std::shared_ptr<cancellation>> abandon();

private:
    struct entry {
        ticket id = 0;
        request begun;
        std::optional<http_response> response;
        /// Bytes of the request or of the response that waits.
        std::size_t bytes = 0;
    };

    pipeline_limits limits_;
    std::deque<entry> entries_;
    std::size_t bytes_ = 0;
    ticket next_ticket_ = 1;
    bool accepting_ = true;
    /// Whether the response of the first entry has been taken and not been written.
    bool writing_ = false;
};

/// Bytes that the fields and the body of a request or response hold.
std::size_t size_of(const http_request& message);
std::size_t size_of(const http_response& message);

} // namespace chestnutstand
