#include "relay.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace chestnutstand::testing {
namespace {

constexpr int backlog = 128;
constexpr std::size_t buffer_bytes = 65'536;
/// A response that no other one arrives to be swapped with in this time is sent to its own client.
constexpr auto swap_timeout = std::chrono::seconds{5};

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void set_no_delay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int connect_to(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    set_no_delay(descriptor);
    return descriptor;
}

void reset_on_close(int descriptor)
{
    const linger reset_at_close{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset_at_close, sizeof reset_at_close);
}

bool send_all(int descriptor, const std::string& bytes)
{
    std::size_t sent_bytes = 0;
    while (sent_bytes < bytes.size()) {
        const auto sent =
            ::send(descriptor, bytes.data() + sent_bytes, bytes.size() - sent_bytes, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        sent_bytes += static_cast<std::size_t>(sent);
    }
    return true;
}

} // namespace

/// The two sockets of a relayed connection. They are closed when the threads of both directions
/// have ended.
struct relay::relayed_connection {
    relayed_connection(int client_socket, int target_socket)
        : client{client_socket}, target{target_socket}
    {
    }
    relayed_connection(const relayed_connection&) = delete;
    relayed_connection& operator=(const relayed_connection&) = delete;
    ~relayed_connection()
    {
        ::close(client);
        ::close(target);
    }

    /// Shuts both sockets down, which unblocks the threads of both directions and ends them.
    void end() const
    {
        ::shutdown(client, SHUT_RDWR);
        ::shutdown(target, SHUT_RDWR);
    }

    /// Ends the connections to client and target with a reset.
    void abort()
    {
        was_reset = true;
        reset_on_close(client);
        reset_on_close(target);
        // Unlike SHUT_RDWR, which sends a FIN, this lets the later close send a reset.
        ::shutdown(client, SHUT_RD);
        ::shutdown(target, SHUT_RD);
    }

    int client;
    int target;
    std::atomic<bool> was_reset = false;
    bool request_frozen = false;
    bool response_frozen = false;
};

struct relay::swapped_response {
    const relayed_connection* from = nullptr;
    std::string bytes;
    std::optional<std::string> counterpart;
};

relay::relay(std::uint16_t target_port, const socket_address& listen_address)
    : target_port_{target_port}, listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    sockaddr_in address = loopback(listen_address.port);
    ::inet_pton(AF_INET, listen_address.address.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    auto* generic_address = reinterpret_cast<sockaddr*>(&address);
    if (::bind(listener_, generic_address, size) != 0 || ::listen(listener_, backlog) != 0 ||
        ::getsockname(listener_, generic_address, &size) != 0) {
        std::abort();
    }
    port_ = ntohs(address.sin_port);
    std::thread{[this] { accept_connections(); }}.detach();
}

void relay::accept_connections()
{
    while (true) {
        const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client != -1) {
            start_relaying(client);
        }
    }
}

void relay::start_relaying(int client)
{
    set_no_delay(client);
    const int target = faults().mode == fault_mode::cut ? -1 : connect_to(target_port_);
    if (target == -1) {
        count_fault();
        reset_on_close(client);
        ::close(client);
        return;
    }
    const auto connection = std::make_shared<relayed_connection>(client, target);
    {
        const std::lock_guard lock{mutex_};
        ++counts_.connections;
        std::erase_if(connections_, [](const auto& entry) { return entry.expired(); });
        connections_.push_back(connection);
    }
    for (const bool response : {false, true}) {
        std::thread{[this, connection, response] { pump(connection, response); }}.detach();
    }
}

void relay::pump(const std::shared_ptr<relayed_connection>& connection, bool response)
{
    const int from = response ? connection->target : connection->client;
    std::array<char, buffer_bytes> buffer{};
    while (true) {
        const auto size = ::recv(from, buffer.data(), buffer.size(), 0);
        // Data that arrives after the shutdown can still be read; it must not be forwarded.
        if (size <= 0 || connection->was_reset) {
            break;
        }
        if (!forward(*connection, response, {buffer.data(), static_cast<std::size_t>(size)})) {
            break;
        }
    }
    if (!is_frozen(*connection, response) && !connection->was_reset) {
        connection->end();
    }
}

/// Returns whether the connection stays open.
bool relay::forward(relayed_connection& connection, bool response, std::string chunk)
{
    {
        const std::lock_guard lock{mutex_};
        (response ? counts_.response_bytes : counts_.request_bytes) += chunk.size();
    }
    if (is_frozen(connection, response)) {
        count_fault();
        return true;
    }
    const fault_settings current = faults();
    const auto direction = response ? fault_direction::response : fault_direction::request;
    const bool applies =
        current.direction == fault_direction::both || current.direction == direction;
    if (current.mode == fault_mode::delay && applies) {
        count_fault();
        std::this_thread::sleep_for(current.delay);
    }
    if (response) {
        return forward_response(connection, current, std::move(chunk));
    }
    return send_all(connection.target, chunk);
}

bool relay::forward_response(relayed_connection& connection, const fault_settings& current,
                             std::string chunk)
{
    switch (current.mode) {
    case fault_mode::drop_response:
        count_fault();
        return false;
    case fault_mode::truncate:
        count_fault();
        send_all(connection.client, chunk.substr(0, current.bytes));
        return false;
    case fault_mode::cross:
        count_fault();
        return send_all(connection.client, swap_with_next(connection, std::move(chunk)));
    default:
        return send_all(connection.client, chunk);
    }
}

std::string relay::swap_with_next(relayed_connection& connection, std::string chunk)
{
    std::unique_lock lock{mutex_};
    if (waiting_response_ && waiting_response_->from != &connection) {
        const auto waiting_response = std::exchange(waiting_response_, nullptr);
        waiting_response->counterpart = std::move(chunk);
        swap_done_.notify_all();
        return waiting_response->bytes;
    }
    const auto own_response = std::make_shared<swapped_response>();
    own_response->from = &connection;
    own_response->bytes = std::move(chunk);
    waiting_response_ = own_response;
    swap_done_.wait_for(lock, swap_timeout, [&] { return own_response->counterpart.has_value(); });
    if (waiting_response_ == own_response) {
        waiting_response_.reset();
    }
    return own_response->counterpart ? *own_response->counterpart : own_response->bytes;
}

void relay::set_faults(const fault_settings& faults)
{
    std::vector<std::shared_ptr<relayed_connection>> open_connections;
    {
        const std::lock_guard lock{mutex_};
        faults_ = faults;
        for (const auto& entry : connections_) {
            if (auto connection = entry.lock()) {
                open_connections.push_back(std::move(connection));
            }
        }
        for (const auto& connection : open_connections) {
            if (faults.mode == fault_mode::freeze) {
                connection->request_frozen |= faults.direction != fault_direction::response;
                connection->response_frozen |= faults.direction != fault_direction::request;
            }
        }
    }
    if (faults.mode == fault_mode::cut) {
        for (const auto& connection : open_connections) {
            count_fault();
            connection->abort();
        }
    }
}

bool relay::is_frozen(const relayed_connection& connection, bool response) const
{
    const std::lock_guard lock{mutex_};
    return response ? connection.response_frozen : connection.request_frozen;
}

fault_settings relay::faults() const
{
    const std::lock_guard lock{mutex_};
    return faults_;
}

relay_counts relay::counts() const
{
    const std::lock_guard lock{mutex_};
    return counts_;
}

void relay::count_fault()
{
    const std::lock_guard lock{mutex_};
    ++counts_.faults;
}

} // namespace chestnutstand::testing
