#include "server_transport.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace chestnutstand {
namespace {

constexpr int status_request_timeout = 408;
// The client may still be sending when a request is refused. Closing at once would reset the
// connection and discard the response before the client has read it.
constexpr milliseconds linger_timeout{1'000};

http_response plain_text_refusal(const request_refusal& refusal)
{
    return {refusal.status, {{"Content-Type", "text/plain"}}, refusal.detail};
}

using Pistache::Polling::NotifyOn;

/// Events that Pistache asks for on each connection.
const auto usual_events = NotifyOn::Read | NotifyOn::Shutdown;

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
    tcp::Transport::onReady(handle_connections(ready));
    // Only after Pistache has handled all of its events, which a write or a close could invalidate.
    if (timer_fired) {
        check_deadlines();
    }
    for (auto entries = queue_->take_all(); !entries.empty(); entries = queue_->take_all()) {
        for (auto& entry : entries) {
            send_response(std::move(entry));
        }
    }
    end_for_memory();
    close_pending();
    if (queue_->stop_requested()) {
        close_all();
    }
    // Only now, as taking the responses above has consumed what woke this thread.
    if (!unread_.empty()) {
        queue_->request_turn();
    }
}

void server_transport::open(const peer_ptr& peer)
{
    const std::size_t id = peer->getID();
    const auto added =
        connections_
            .try_emplace(id, peer, shared_->limits(), shared_->options.pipeline,
                         shared_->options.memory, [queue = queue_, id] { queue->request_end(id); })
            .first;
    ++shared_->open_connections;
    arm_timer(*added->second.deadline);
    limit_connections(id);
}

void server_transport::disconnect(const peer_ptr& peer)
{
    const auto found = connections_.find(peer->getID());
    if (found == connections_.end()) {
        return;
    }
    const auto abandoned = found->second.pipeline.abandon();
    found->second.writing = false;
    update_busy(found->second);
    blocked_writes_.erase(peer->fd());
    connections_.erase(found);
    --shared_->open_connections;
    for (const auto& request : abandoned) {
        request->cancel();
    }
}

void server_transport::receive(std::string_view bytes, const peer_ptr& peer)
{
    const auto found = connections_.find(peer->getID());
    if (found == connections_.end() || found->second.closing ||
        !found->second.pipeline.accepting()) {
        return;
    }
    connection& client = found->second;
    if (client.framer.empty()) {
        client.limits = shared_->limits();
        client.framer.set_limits(client.limits.max_header_bytes, client.limits.max_body_bytes);
    }
    if (!acquire_input(client, bytes.size())) {
        return;
    }
    client.framer.add(bytes);
    process_input(client);
    if (!client.pipeline.empty() &&
        client.framer.buffered() > client.limits.max_header_bytes + client.limits.max_body_bytes) {
        // The client has pipelined more than one request of the largest size.
        stop_accepting(client);
    }
}

/// Handles the buffered requests that may be handled now, or waits for the client when no request
/// is in progress.
void server_transport::process_input(connection& client)
{
    while (!client.closing && !client.broken && handle_next_request(client)) {
    }
    if (!client.writing && !client.closing && !client.broken && client.pipeline.empty()) {
        wait_for_client(client);
    }
    const std::size_t waiting = client.next ? client.next->request.body.size() : 0;
    client.memory.resize(client.framer.held_bytes() + waiting, ms_clock::now());
}

bool server_transport::handle_next_request(connection& client)
{
    if (!client.pipeline.accepting()) {
        return false;
    }
    if (!client.next) {
        auto next = client.framer.next();
        if (const auto* refused = std::get_if<request_refusal>(&next)) {
            refuse(client, *refused);
            return false;
        }
        auto* complete = std::get_if<framed_request>(&next);
        if (complete == nullptr) {
            return false;
        }
        client.next = std::move(*complete);
    }
    if (!client.pipeline.may_begin(may_overtake(client, client.next->request))) {
        return false;
    }
    framed_request request = *std::exchange(client.next, std::nullopt);
    if (!client.writing) {
        client.deadline.reset();
    }
    client.in_request = false;
    std::string body = request.request.body.take();
    memory_lease memory = client.memory.take(body.size());
    request.request.body = shared_body{std::move(body), std::move(memory)};
    const auto slot = std::make_shared<response_slot>(queue_, client.peer->getID());
    slot->set_ticket(
        client.pipeline.begin({size_of(request.request), request.request.method == "HEAD",
                               request.keep_alive, slot->disconnected()}));
    if (!request.keep_alive) {
        stop_accepting(client);
    }
    update_busy(client);
    shared_->handle(std::move(request.request), slot);
    return true;
}

bool server_transport::may_overtake(const connection& client, const http_request& request) const
{
    const auto& predicate = shared_->options.may_overtake;
    return !client.pipeline.empty() && predicate && request.body.empty() && predicate(request);
}

void server_transport::stop_accepting(connection& client)
{
    client.pipeline.stop_accepting();
    client.next.reset();
    client.framer.discard();
}

void server_transport::wait_for_client(connection& client)
{
    if (refuse_announced(client)) {
        return;
    }
    if (client.framer.consume_expect_continue()) {
        write(client, {"HTTP/1.1 100 Continue\r\n\r\n"});
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

void server_transport::refuse(connection& client, const request_refusal& refusal)
{
    const auto& make_response = shared_->options.make_refusal_response;
    http_response response = make_response ? make_response(refusal) : plain_text_refusal(refusal);
    client.pipeline.refuse(std::move(response));
    stop_accepting(client);
    client.memory.resize(0, ms_clock::now());
    write_next_response(client);
}

void server_transport::send_response(response_queue::entry entry)
{
    const auto found = connections_.find(entry.slot->connection());
    if (found == connections_.end()) {
        return;
    }
    connection& client = found->second;
    if (!client.pipeline.complete(entry.slot->ticket(), std::move(entry.response))) {
        return;
    }
    if (!client.pipeline.accepting()) {
        stop_accepting(client);
    }
    write_next_response(client);
}

void server_transport::write_next_response(connection& client)
{
    if (client.writing || client.closing || client.broken) {
        return;
    }
    if (auto ready = client.pipeline.take_ready()) {
        client.closing = ready->closes;
        write(client, serialize(std::move(ready->response), ready->head_only, ready->closes));
    }
    else if (client.pipeline.empty() && !client.pipeline.accepting()) {
        // The last response was already being written when the server decided to accept no more.
        client.closing = true;
        close_after_write(client);
    }
}

void server_transport::close_after_write(connection& client)
{
    ::shutdown(client.peer->fd(), SHUT_WR);
    client.deadline = ms_clock::now() + linger_timeout;
    arm_timer(*client.deadline);
}

void server_transport::update_busy(connection& client)
{
    const bool busy = !client.pipeline.empty() || client.writing;
    client.memory.set_waiting(!client.pipeline.empty() && !client.writing, ms_clock::now());
    if (busy == client.counted_busy) {
        return;
    }
    client.counted_busy = busy;
    shared_->busy_connections += busy ? 1 : -1;
}

void server_transport::write(connection& client, serialized_response bytes)
{
    client.writing = true;
    update_busy(client);
    client.output = std::move(bytes);
    client.sent = 0;
    client.memory.set_output(client.output.body.size(), ms_clock::now());
    continue_write(client);
}

void server_transport::continue_write(connection& client)
{
    const int descriptor = client.peer->fd();
    for (auto next = next_output(client); !next.empty(); next = next_output(client)) {
        const ssize_t size =
            ::send(descriptor, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size >= 0) {
            client.sent += static_cast<std::size_t>(size);
            const time_point now = ms_clock::now();
            client.memory.note_progress(static_cast<std::size_t>(size), now);
            client.deadline = now + client.limits.request_timeout;
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        const bool is_full = errno == EAGAIN || errno == EWOULDBLOCK;
        if (!is_full) {
            finish_write(client, false);
            return;
        }
        if (blocked_writes_.emplace(descriptor, client.peer->getID()).second) {
            client.deadline = ms_clock::now() + client.limits.request_timeout;
            reactor()->modifyFd(key(), descriptor, usual_events | NotifyOn::Write,
                                Pistache::Polling::Mode::Edge);
        }
        arm_timer(*client.deadline);
        return;
    }
    if (blocked_writes_.erase(descriptor) > 0) {
        reactor()->modifyFd(key(), descriptor, usual_events, Pistache::Polling::Mode::Edge);
    }
    finish_write(client, true);
}

void server_transport::finish_write(connection& client, bool complete)
{
    client.writing = false;
    client.output = {};
    client.pipeline.written();
    client.memory.set_output(0, ms_clock::now());
    update_busy(client);
    client.broken = client.broken || !complete;
    if (client.broken) {
        pending_close_.push_back(client.peer->getID());
    }
    else if (client.closing) {
        close_after_write(client);
    }
    else {
        client.deadline.reset();
        write_next_response(client);
        process_input(client);
    }
    // Only now, so that the connection does not seem idle before its next request is handled.
    update_busy(client);
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
        handle_timeout(connections_.at(id));
    }
}

void server_transport::handle_timeout(connection& client)
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
