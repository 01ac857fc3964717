#include "server_transport.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace chestnutstand {
namespace {

using Pistache::Polling::NotifyOn;

/// Bytes that are read from one connection before the others have their turn. A client that sends
/// as fast as the thread reads would keep it.
constexpr std::size_t turn_bytes = std::size_t{16} << 10U;
constexpr std::size_t read_bytes = 4'096;

} // namespace

Pistache::Aio::FdSet server_transport::handle_connections(const Pistache::Aio::FdSet& ready)
{
    std::vector<Pistache::Polling::Event> others;
    others.reserve(ready.size());
    std::vector<std::size_t> writable;
    std::vector<std::size_t> readable = std::exchange(unread_, {});
    for (const auto& entry : ready) {
        const int descriptor = static_cast<int>(entry.getTag().value());
        const auto blocked = blocked_writes_.find(descriptor);
        if (entry.isWritable() && blocked != blocked_writes_.end()) {
            writable.push_back(blocked->second);
        }
        const auto peer = peers.find(descriptor);
        if (entry.isReadable() && peer != peers.end()) {
            readable.push_back(peer->second->getID());
        }
        else if (entry.isReadable() || entry.isHangup()) {
            Pistache::Polling::Event other{entry.getTag()};
            other.flags |= entry.isReadable() ? NotifyOn::Read : NotifyOn::None;
            other.flags |= entry.isHangup() ? NotifyOn::Hangup : NotifyOn::None;
            others.push_back(other);
        }
    }
    for (const std::size_t id : writable) {
        if (const auto found = connections_.find(id); found != connections_.end()) {
            continue_write(found->second);
        }
    }
    for (const std::size_t id : readable) {
        read_turn(id);
    }
    return Pistache::Aio::FdSet{std::move(others)};
}

void server_transport::read_turn(std::size_t id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const peer_ptr peer = found->second.peer;
    std::array<char, read_bytes> buffer;
    for (std::size_t read = 0; read < turn_bytes;) {
        const ssize_t size = ::recv(peer->fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0) {
            read += static_cast<std::size_t>(size);
            receive({buffer.data(), static_cast<std::size_t>(size)}, peer);
            continue;
        }
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
            pending_close_.push_back(id);
        }
        return;
    }
    unread_.push_back(id);
}

} // namespace chestnutstand
