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

/// State of one client connection; accessed only by the thread that owns the connection.
struct connection {
    connection(peer_ptr client, const http_server_limits& current, const pipeline_limits& ahead,
               std::shared_ptr<memory_budget> budget, std::function<void()> end)
        : peer{std::move(client)}, memory{std::move(budget), std::move(end)}, limits{current},
          framer{current.max_header_bytes, current.max_body_bytes}, pipeline{ahead},
          deadline{ms_clock::now() + current.idle_timeout}
    {
    }

    peer_ptr peer;
    memory_holder memory;
    /// Limits for the current request, read when it began.
    http_server_limits limits;
    request_framer framer;
    /// Complete request that waits for the requests ahead of it.
    std::optional<framed_request> next;
    /// Requests that were passed to the handler and responses that are not written.
    response_pipeline pipeline;
    /// When the server stops waiting for the client; unset while the handler processes a request
    /// and no response is being written.
    std::optional<time_point> deadline;
    /// Whether a part of an incomplete request has arrived.
    bool in_request = false;
    /// Whether a response is being written: output from the offset sent on is not sent yet.
    bool writing = false;
    serialized_response output;
    std::size_t sent = 0;
    /// Whether the response that is or was written last ends the connection.
    bool closing = false;
    /// Whether to close the connection without a further response.
    bool broken = false;
    /// Whether the connection is counted in shared_server_state::busy_connections.
    bool counted_busy = false;
};

/// State that the transports of one server share.
struct shared_server_state {
    http_server_options options;
    http_server::handler handle;
    std::mutex mutex;
    std::vector<std::shared_ptr<response_queue>> queues;
    std::atomic<std::uint32_t> open_connections = 0;
    /// Connections with a request that is being handled or a response that is not written.
    std::atomic<std::uint32_t> busy_connections = 0;
    std::atomic<std::uint64_t> closed_for_descriptors = 0;
    std::atomic<std::uint64_t> closed_for_memory = 0;

    http_server_limits limits() const
    {
        return options.current_limits ? options.current_limits()
                                      : static_cast<const http_server_limits&>(options);
    }
};

class server_transport;

/// Forwards connection events to the transport that owns the connection.
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

/// Pistache transport that reads from and writes to its connections only on its own thread, and by
/// itself. Pistache reads from a connection until that has sent nothing more.
/// Pistache queues writes by descriptor, so that a queued one could reach a new connection that
/// reuses the descriptor of a closed one, and it tries again without a pause, and copies what is
/// left each time, while a connection takes no bytes.
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
    void process_input(connection& client);
    /// Returns whether a request was passed to the handler.
    bool handle_next_request(connection& client);
    /// Whether the request may be handled while others ahead of it are.
    bool may_overtake(const connection& client, const http_request& request) const;
    /// Accepts no more requests and drops what has arrived of them.
    void stop_accepting(connection& client);
    /// Writes the next response, or ends the connection after the last one.
    void write_next_response(connection& client);
    void close_after_write(connection& client);
    void refuse(connection& client, const request_refusal& refusal);
    void send_response(response_queue::entry entry);
    void write(connection& client, serialized_response bytes);
    /// The next bytes of the output that are in one piece.
    static std::string_view next_output(const connection& client);
    /// Sends what the connection takes now; the rest follows when it is ready for more.
    void continue_write(connection& client);
    void finish_write(connection& client, bool complete);
    /// Continues the writes of the ready connections, and reads from those that have sent. Returns
    /// the other events.
    Pistache::Aio::FdSet handle_connections(const Pistache::Aio::FdSet& ready);
    /// Reads what a connection has sent, up to a limit.
    void read_turn(std::size_t id);
    void wait_for_client(connection& client);
    /// Updates the count of busy connections after a change of the connection's requests or output.
    void update_busy(connection& client);
    /// Accounts for input before it is stored. Refuses the request and returns false if there is no
    /// memory for it.
    bool acquire_input(connection& client, std::size_t bytes);
    /// Refuses a request whose announced body will not find memory. Returns whether it did.
    bool refuse_announced(connection& client);
    /// Frees the memory of the connections that the memory budget has selected.
    void end_for_memory();
    void close_unread_response(connection& client);
    void refuse_for_memory(connection& client);
    void log_ended_for_memory(const connection& client);
    /// Closes an idle connection, or else the new one, when there are too many.
    void limit_connections(std::size_t newest);
    void check_deadlines();
    void handle_timeout(connection& client);
    void arm_timer(time_point due);
    void close_pending();
    void close_all();

    std::shared_ptr<shared_server_state> shared_;
    std::shared_ptr<tcp::Handler> handler_;
    std::shared_ptr<response_queue> queue_ = std::make_shared<response_queue>();
    std::map<std::size_t, connection> connections_;
    /// Connections, by their descriptors, that take no bytes at the moment.
    std::map<int, std::size_t> blocked_writes_;
    /// Connections that may have sent more than was read in their last turn.
    std::vector<std::size_t> unread_;
    /// Connections to close once the current events are handled.
    std::vector<std::size_t> pending_close_;
    int timer_ = -1;
    std::optional<time_point> timer_due_;
};

} // namespace chestnutstand
