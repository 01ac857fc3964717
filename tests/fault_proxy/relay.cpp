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
constexpr std::size_t piece_bytes = 65'536;
/// A response that finds no other to be swapped with goes to its own connection after this time.
constexpr auto cross_limit = std::chrono::seconds{5};

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void no_delay(int descriptor)
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
    no_delay(descriptor);
    return descriptor;
}

void reset_on_close(int descriptor)
{
    const linger at_once{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool send_all(int descriptor, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto sent =
            ::send(descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

} // namespace

/// A relayed connection; its two sockets are closed when both pumps have ended.
struct relay::link {
    link(int client_socket, int target_socket) : client{client_socket}, target{target_socket} {}
    link(const link&) = delete;
    link& operator=(const link&) = delete;
    ~link()
    {
        ::close(client);
        ::close(target);
    }

    /// Wakes both pumps up, so that they end.
    void end() const
    {
        ::shutdown(client, SHUT_RDWR);
        ::shutdown(target, SHUT_RDWR);
    }

    /// Ends both connections with a reset.
    void abort()
    {
        aborted = true;
        reset_on_close(client);
        reset_on_close(target);
        // Unlike shutdown in both directions, this lets the close send a reset instead of an end.
        ::shutdown(client, SHUT_RD);
        ::shutdown(target, SHUT_RD);
    }

    int client;
    int target;
    std::atomic<bool> aborted = false;
    bool request_frozen = false;
    bool response_frozen = false;
};

struct relay::crossed_piece {
    const link* from = nullptr;
    std::string bytes;
    std::optional<std::string> other;
};

relay::relay(std::uint16_t target_port, const socket_address& listen_at)
    : target_port_{target_port}, listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    sockaddr_in address = loopback(listen_at.port);
    ::inet_pton(AF_INET, listen_at.address.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(listener_, generic, size) != 0 || ::listen(listener_, backlog) != 0 ||
        ::getsockname(listener_, generic, &size) != 0) {
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
            accept_one(client);
        }
    }
}

void relay::accept_one(int client)
{
    no_delay(client);
    const int target = faults().mode == fault_mode::cut ? -1 : connect_to(target_port_);
    if (target == -1) {
        count_fault();
        reset_on_close(client);
        ::close(client);
        return;
    }
    const auto added = std::make_shared<link>(client, target);
    {
        const std::lock_guard lock{mutex_};
        ++counts_.connections;
        std::erase_if(links_, [](const auto& each) { return each.expired(); });
        links_.push_back(added);
    }
    for (const bool response : {false, true}) {
        std::thread{[this, added, response] { pump(added, response); }}.detach();
    }
}

void relay::pump(const std::shared_ptr<link>& which, bool response)
{
    const int from = response ? which->target : which->client;
    std::array<char, piece_bytes> buffer{};
    while (true) {
        const auto size = ::recv(from, buffer.data(), buffer.size(), 0);
        // What arrives after the shutdown can still be read.
        if (size <= 0 || which->aborted) {
            break;
        }
        if (!pass_on(*which, response, {buffer.data(), static_cast<std::size_t>(size)})) {
            break;
        }
    }
    if (!frozen(*which, response) && !which->aborted) {
        which->end();
    }
}

/// Whether the connection goes on.
bool relay::pass_on(link& which, bool response, std::string piece)
{
    {
        const std::lock_guard lock{mutex_};
        (response ? counts_.response_bytes : counts_.request_bytes) += piece.size();
    }
    if (frozen(which, response)) {
        count_fault();
        return true;
    }
    const fault_settings now = faults();
    const auto own = response ? fault_direction::response : fault_direction::request;
    const bool concerned = now.direction == fault_direction::both || now.direction == own;
    if (now.mode == fault_mode::delay && concerned) {
        count_fault();
        std::this_thread::sleep_for(now.delay);
    }
    if (response) {
        return pass_response(which, now, std::move(piece));
    }
    return send_all(which.target, piece);
}

bool relay::pass_response(link& which, const fault_settings& now, std::string piece)
{
    switch (now.mode) {
    case fault_mode::drop_response:
        count_fault();
        return false;
    case fault_mode::truncate:
        count_fault();
        send_all(which.client, piece.substr(0, now.bytes));
        return false;
    case fault_mode::cross:
        count_fault();
        return send_all(which.client, swap_with_next(which, std::move(piece)));
    default:
        return send_all(which.client, piece);
    }
}

std::string relay::swap_with_next(link& which, std::string piece)
{
    std::unique_lock lock{mutex_};
    if (waiting_ && waiting_->from != &which) {
        const auto other = std::exchange(waiting_, nullptr);
        other->other = std::move(piece);
        crossed_.notify_all();
        return other->bytes;
    }
    const auto own = std::make_shared<crossed_piece>();
    own->from = &which;
    own->bytes = std::move(piece);
    waiting_ = own;
    crossed_.wait_for(lock, cross_limit, [&] { return own->other.has_value(); });
    if (waiting_ == own) {
        waiting_.reset();
    }
    return own->other ? *own->other : own->bytes;
}

void relay::set_faults(const fault_settings& faults)
{
    std::vector<std::shared_ptr<link>> open;
    {
        const std::lock_guard lock{mutex_};
        faults_ = faults;
        for (const auto& each : links_) {
            if (auto alive = each.lock()) {
                open.push_back(std::move(alive));
            }
        }
        for (const auto& each : open) {
            if (faults.mode == fault_mode::freeze) {
                each->request_frozen |= faults.direction != fault_direction::response;
                each->response_frozen |= faults.direction != fault_direction::request;
            }
        }
    }
    if (faults.mode == fault_mode::cut) {
        for (const auto& each : open) {
            count_fault();
            each->abort();
        }
    }
}

bool relay::frozen(const link& which, bool response) const
{
    const std::lock_guard lock{mutex_};
    return response ? which.response_frozen : which.request_frozen;
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
