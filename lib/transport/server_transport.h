#pragma once

#include "http_connection.h"
#include "request_framer.h"

#include "chestnutstand/transport/http_server.h"

#include <pistache/peer.h>
#include <pistache/transport.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chestnutstand {

namespace tcp = Pistache::Tcp;
using peer_ptr = std::shared_ptr<tcp::Peer>;

/// State of one client connection; used only by the thread that owns the connection.
struct connection {
    connection(peer_ptr client, const http_server_limits& current)
        : peer{std::move(client)}, limits{current}, framer{current.max_header_bytes,
                                                           current.max_body_bytes},
          deadline{ms_clock::now() + current.idle_timeout}
    {
    }

    peer_ptr peer;
    /// In force since the current request began.
    http_server_limits limits;
    request_framer framer;
    /// The request that is being handled.
    std::shared_ptr<response_slot> slot;
    /// When the wait for the client ends; nothing while it waits for a response.
    std::optional<time_point> deadline;
    /// Whether a part of the current request has arrived.
    bool in_request = false;
    /// A response is being written.
    bool writing = false;
    /// The last response has been written or is being written.
    bool closing = false;
    bool broken = false;
};

/// What the transports of one server share.
struct shared_server_state {
    http_server_options options;
    http_server::handler handle;
    std::mutex mutex;
    std::vector<std::shared_ptr<response_queue>> queues;
    std::atomic<std::uint32_t> open_connections = 0;

    http_server_limits limits() const
    {
        return options.current_limits ? options.current_limits()
                                      : static_cast<const http_server_limits&>(options);
    }
};

class server_transport;

/// Passes the events of connections on to the transport that owns them.
class event_handler final : public tcp::Handler {
public:
    std::shared_ptr<tcp::Handler> clone() const override
    {
        return std::make_shared<event_handler>();
    }

    void onConnection(const peer_ptr& peer) override;
    void onInput(const char* bytes, std::size_t size, const peer_ptr& peer) override;
    void onDisconnection(const peer_ptr& peer) override;

private:
    server_transport& owner();
};

/// Pistache transport whose connections are written to only by its own thread. Pistache queues
/// writes by descriptor, so a write queued by another thread can reach a new connection that got
/// the descriptor of a closed one.
class server_transport final : public tcp::Transport {
public:
    server_transport(std::shared_ptr<shared_server_state> shared,
                     std::shared_ptr<tcp::Handler> handler)
        : tcp::Transport{handler}, shared_{std::move(shared)}, handler_{std::move(handler)}
    {
    }

    server_transport(const server_transport&) = delete;
    server_transport& operator=(const server_transport&) = delete;

    ~server_transport() override
    {
        if (timer_ != -1) {
            ::close(timer_);
        }
    }

    std::shared_ptr<Pistache::Aio::Handler> clone() const override
    {
        return std::make_shared<server_transport>(shared_, handler_->clone());
    }

    void registerPoller(Pistache::Polling::Epoll& poller) override;
    void onReady(const Pistache::Aio::FdSet& ready) override;

    void open(const peer_ptr& peer);
    void receive(std::string_view bytes, const peer_ptr& peer);
    void disconnect(const peer_ptr& peer);

private:
    void advance(connection& client);
    bool handle_next_request(connection& client);
    void refuse(connection& client, const request_refusal& why);
    void deliver(const response_queue::entry& ready);
    void write(connection& client, std::string bytes);
    void written(std::size_t id, bool whole);
    void wait_for_client(connection& client);
    void check_deadlines();
    void expire(connection& client);
    void arm_timer(time_point due);
    void close_pending();
    void close_all();

    std::shared_ptr<shared_server_state> shared_;
    std::shared_ptr<tcp::Handler> handler_;
    std::shared_ptr<response_queue> queue_ = std::make_shared<response_queue>();
    std::map<std::size_t, connection> connections_;
    /// Connections to be closed when no event is being handled.
    std::vector<std::size_t> pending_close_;
    int timer_ = -1;
    std::optional<time_point> timer_due_;
};

} // namespace chestnutstand
