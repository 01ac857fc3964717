#pragma once

#include "request_framer.h"

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

/// Responses on their way from any thread to the thread that owns their connection.
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

    void push(entry added);
    std::vector<entry> take();

    /// Asks the owning thread to close all connections.
    void request_stop();
    bool stop_requested() const { return stopping_; }

    /// Readable when the owning thread has something to do.
    int descriptor() const { return wake_; }

private:
    void wake() const;

    int wake_ = -1;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<entry> entries_;
};

/// The one response to one request.
class response_slot final : public responder, public std::enable_shared_from_this<response_slot> {
public:
    response_slot(std::shared_ptr<response_queue> queue, std::size_t connection, bool head_only,
                  bool keep_alive)
        : queue_{std::move(queue)}, connection_{connection}, head_only_{head_only}, keep_alive_{
                                                                                        keep_alive}
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
    bool head_only() const { return head_only_; }
    bool keep_alive() const { return keep_alive_; }

private:
    std::shared_ptr<response_queue> queue_;
    /// Number that is never reused, unlike a descriptor.
    std::size_t connection_;
    bool head_only_;
    bool keep_alive_;
    std::atomic<bool> sent_ = false;
    std::shared_ptr<cancellation> disconnected_ = std::make_shared<cancellation>();
};

/// Bytes of a response. The length of the body is always stated.
std::string serialize(const http_response& response, bool head_only, bool close);

/// Whether the response itself ends the connection.
bool has_connection_close(const http_response& response);

} // namespace chestnutstand
