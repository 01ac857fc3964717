#include "server_transport.h"

#include <algorithm>
#include <cmath>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace chestnutstand {
namespace {

constexpr int status_request_timeout = 408;
// After a refusal the client may still be sending. Closing at once would reset the connection and
// destroy the response before the client has read it.
constexpr milliseconds linger_timeout{1'000};

http_response plain_text_refusal(const request_refusal& why)
{
    return {why.status, {{"Content-Type", "text/plain"}}, why.detail};
}

Pistache::Polling::Tag tag_of(int descriptor)
{
    return Pistache::Polling::Tag{static_cast<std::uint64_t>(descriptor)};
}

} // namespace

server_transport& event_handler::owner()
{
    return *static_cast<server_transport*>(transport());
}

void event_handler::onConnection(const peer_ptr& peer)
{
    owner().open(peer);
}

void event_handler::onInput(const char* bytes, std::size_t size, const peer_ptr& peer)
{
    owner().receive({bytes, size}, peer);
}

void event_handler::onDisconnection(const peer_ptr& peer)
{
    owner().disconnect(peer);
}

void server_transport::registerPoller(Pistache::Polling::Epoll& poller)
{
    tcp::Transport::registerPoller(poller);
    timer_ = ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    for (const int descriptor : {timer_, queue_->descriptor()}) {
        poller.addFd(
            descriptor,
            Pistache::Flags<Pistache::Polling::NotifyOn>{Pistache::Polling::NotifyOn::Read},
            tag_of(descriptor));
    }
    const std::lock_guard lock{shared_->mutex};
    shared_->queues.push_back(queue_);
}

void server_transport::onReady(const Pistache::Aio::FdSet& ready)
{
    bool timer_fired = false;
    for (const auto& event : ready) {
        timer_fired = timer_fired || event.getTag() == tag_of(timer_);
    }
    tcp::Transport::onReady(ready);
    // After Pistache's own events: a write or a close would invalidate events that it has not seen.
    if (timer_fired) {
        check_deadlines();
    }
    for (auto entries = queue_->take(); !entries.empty(); entries = queue_->take()) {
        for (const auto& entry : entries) {
            deliver(entry);
        }
    }
    close_pending();
    if (queue_->stop_requested()) {
        close_all();
    }
}

void server_transport::open(const peer_ptr& peer)
{
    const auto added = connections_.try_emplace(peer->getID(), peer, shared_->limits()).first;
    ++shared_->open_connections;
    arm_timer(*added->second.deadline);
}

void server_transport::disconnect(const peer_ptr& peer)
{
    const auto found = connections_.find(peer->getID());
    if (found == connections_.end()) {
        return;
    }
    const auto abandoned = std::move(found->second.slot);
    connections_.erase(found);
    --shared_->open_connections;
    if (abandoned) {
        abandoned->disconnected()->cancel();
    }
}

void server_transport::receive(std::string_view bytes, const peer_ptr& peer)
{
    const auto found = connections_.find(peer->getID());
    if (found == connections_.end() || found->second.closing) {
        return;
    }
    connection& client = found->second;
    if (client.framer.empty()) {
        client.limits = shared_->limits();
        client.framer.set_limits(client.limits.max_header_bytes, client.limits.max_body_bytes);
    }
    client.framer.add(bytes);
    if (client.slot &&
        client.framer.buffered() > client.limits.max_header_bytes + client.limits.max_body_bytes) {
        // The client pipelines more than is kept for it.
        client.broken = true;
        pending_close_.push_back(peer->getID());
        return;
    }
    advance(client);
}

/// Handles requests until one has to be waited for.
void server_transport::advance(connection& client)
{
    if (client.slot || client.writing || client.closing || client.broken) {
        return;
    }
    if (!handle_next_request(client)) {
        wait_for_client(client);
    }
}

/// Whether a request was complete or refused.
bool server_transport::handle_next_request(connection& client)
{
    auto next = client.framer.next();
    if (const auto* refused = std::get_if<request_refusal>(&next)) {
        refuse(client, *refused);
        return true;
    }
    auto* complete = std::get_if<framed_request>(&next);
    if (complete == nullptr) {
        return false;
    }
    client.deadline.reset();
    client.in_request = false;
    client.slot = std::make_shared<response_slot>(
        queue_, client.peer->getID(), complete->request.method == "HEAD", complete->keep_alive);
    shared_->handle(std::move(complete->request), client.slot);
    return true;
}

void server_transport::wait_for_client(connection& client)
{
    if (client.framer.consume_expect_continue()) {
        write(client, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    const bool in_request = !client.framer.empty();
    if (client.deadline && client.in_request == in_request) {
        return;
    }
    client.in_request = in_request;
    client.deadline =
        ms_clock::now() + (in_request ? client.limits.request_timeout : client.limits.idle_timeout);
    arm_timer(*client.deadline);
}

void server_transport::refuse(connection& client, const request_refusal& why)
{
    const auto& make = shared_->options.refuse;
    const http_response response = make ? make(why) : plain_text_refusal(why);
    client.closing = true;
    client.framer.discard();
    write(client, serialize(response, false, true));
}

void server_transport::deliver(const response_queue::entry& ready)
{
    const auto found = connections_.find(ready.slot->connection());
    if (found == connections_.end() || found->second.slot != ready.slot) {
        return;
    }
    connection& client = found->second;
    client.slot.reset();
    client.closing = !ready.slot->keep_alive() || has_connection_close(ready.response);
    write(client, serialize(ready.response, ready.slot->head_only(), client.closing));
}

void server_transport::write(connection& client, std::string bytes)
{
    client.writing = true;
    const std::size_t id = client.peer->getID();
    const std::size_t size = bytes.size();
    client.deadline = ms_clock::now() + client.limits.request_timeout;
    client.peer->send(Pistache::RawBuffer{std::move(bytes), size}, MSG_NOSIGNAL)
        .then([this, id](ssize_t) { written(id, true); },
              [this, id](const std::exception_ptr&) { written(id, false); });
    // Writes at once, while the descriptor is known to belong to this connection.
    flush();
    if (client.writing && client.deadline) {
        arm_timer(*client.deadline);
    }
}

void server_transport::written(std::size_t id, bool whole)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    connection& client = found->second;
    client.writing = false;
    client.broken = client.broken || !whole;
    if (client.broken) {
        pending_close_.push_back(id);
        return;
    }
    if (client.closing) {
        ::shutdown(client.peer->fd(), SHUT_WR);
        client.deadline = ms_clock::now() + linger_timeout;
        arm_timer(*client.deadline);
        return;
    }
    client.deadline.reset();
    advance(client);
}

void server_transport::check_deadlines()
{
    std::uint64_t ignored = 0;
    [[maybe_unused]] const auto bytes = ::read(timer_, &ignored, sizeof ignored);
    timer_due_.reset();
    const time_point now = ms_clock::now();
    std::vector<std::size_t> due;
    std::optional<time_point> next;
    for (const auto& [id, client] : connections_) {
        if (!client.deadline) {
            continue;
        }
        if (*client.deadline <= now) {
            due.push_back(id);
        }
        else {
            next = next ? std::min(*next, *client.deadline) : *client.deadline;
        }
    }
    if (next) {
        arm_timer(*next);
    }
    for (const std::size_t id : due) {
        expire(connections_.at(id));
    }
}

void server_transport::expire(connection& client)
{
    if (client.in_request && !client.writing && !client.closing) {
        refuse(client, client.framer.refuse_incomplete(status_request_timeout,
                                                       "the request was not complete in time"));
        return;
    }
    pending_close_.push_back(client.peer->getID());
}

void server_transport::arm_timer(time_point due)
{
    if (timer_due_ && *timer_due_ <= due) {
        return;
    }
    timer_due_ = due;
    const double seconds = std::max(0.001, (due - ms_clock::now()).count() / 1000.0 + 0.001);
    itimerspec when{};
    when.it_value.tv_sec = static_cast<time_t>(seconds);
    when.it_value.tv_nsec = static_cast<long>((seconds - std::floor(seconds)) * 1e9);
    ::timerfd_settime(timer_, 0, &when, nullptr);
}

void server_transport::close_pending()
{
    for (const std::size_t id : std::exchange(pending_close_, {})) {
        const auto found = connections_.find(id);
        if (found == connections_.end()) {
            continue;
        }
        const peer_ptr peer = found->second.peer;
        disconnect(peer);
        removePeer(peer);
    }
}

void server_transport::close_all()
{
    for (const auto& [id, client] : connections_) {
        pending_close_.push_back(id);
    }
    close_pending();
}

} // namespace chestnutstand
