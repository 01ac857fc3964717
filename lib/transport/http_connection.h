#pragma once

#include "request_framer.h"
#include "response_pipeline.h"

#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/http_server.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chestnutstand {

class response_slot;

/// Queue of responses from any thread to the thread that owns the connections.
class response_queue {
public:
    struct entry {
        std::shared_ptr<response_slot> slot;
        http_response response;
    };

    response_queue();
    response_queue(const response_queue&) = delete;
    response_queue& operator=(const response_queue&) = delete;
    ~response_queue();

    void push(entry response);
    std::vector<entry> take_all();

    /// Makes the owning thread close all connections.
    void request_stop();
    bool stop_requested() const { return stopping_; }

    /// Makes the owning thread look at its connections again.
    void request_turn() const { wake(); }

    /// Makes the owning thread end a connection to free its memory.
    void request_end(std::size_t connection);
    std::vector<std::size_t> take_ended();

    /// eventfd that is readable when responses are queued or a stop was requested.
    int descriptor() const { return event_fd_; }

private:
    void wake() const;

    int event_fd_ = -1;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<entry> entries_;
    std::vector<std::size_t> ended_;
};

/// Accepts the response to one request, for any thread.
class response_slot final : public responder, public std::enable_shared_from_this<response_slot> {
public:
    response_slot(std::shared_ptr<response_queue> queue, std::size_t connection)
        : queue_{std::move(queue)}, connection_{connection}
    {
    }

    void send(http_response response) override
    {
        if (!sent_.exchange(true)) {
            queue_->push({shared_from_this(), std::move(response)});
        }
    }

    std::shared_ptr<cancellation> disconnected() const override { return disconnected_; }

    std::size_t connection() const { return connection_; }
    response_pipeline::ticket ticket() const { return ticket_; }
    void set_ticket(response_pipeline::ticket id) { ticket_ = id; }

private:
    std::shared_ptr<response_queue> queue_;
    /// Connection id; unlike a descriptor it is never reused.
    std::size_t connection_;
    /// Set before the request is passed to the handler.
    response_pipeline::ticket ticket_ = 0;
    std::atomic<bool> sent_ = false;
    std::shared_ptr<cancellation> disconnected_ = std::make_shared<cancellation>();
};

/// Serialized response. A large body is not copied and follows the text.
struct serialized_response {
    std::string text;
    shared_body body{};
};

/// Serializes a response. Always states the body length, except for a status without a body.
serialized_response serialize(http_response response, bool head_only, bool close);

/// Whether the response has Connection: close.
bool has_connection_close(const http_response& response);

} // namespace chestnutstand
