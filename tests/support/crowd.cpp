#include "crowd.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace chestnutstand::testing {
namespace {

constexpr std::size_t piece_bytes = 65'536;
/// Small, so that the bytes that wait to be sent do not count towards the memory of this machine.
constexpr int socket_buffer_bytes = 65'536;
constexpr auto pause = std::chrono::milliseconds{5};
constexpr int max_idle_rounds = 200;

} // namespace

crowd::~crowd()
{
    for (const client& opened : clients_) {
        ::close(opened.descriptor);
    }
}

bool crowd::add(std::uint16_t port, crowd_message message)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes,
                 sizeof socket_buffer_bytes);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes,
                 sizeof socket_buffer_bytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return false;
    }
    clients_.push_back({descriptor, std::move(message)});
    return true;
}

bool crowd::send_piece(client& sender)
{
    const crowd_message& message = sender.message;
    const std::size_t repeated_end = message.first.size() + message.repeated_bytes;
    std::string_view next;
    if (sender.sent < message.first.size()) {
        next = std::string_view{message.first}.substr(sender.sent);
    }
    else if (sender.sent < repeated_end) {
        const std::size_t at = (sender.sent - message.first.size()) % message.repeated.size();
        next = std::string_view{message.repeated}.substr(at, repeated_end - sender.sent);
    }
    else {
        next = std::string_view{message.last}.substr(sender.sent - repeated_end);
    }
    const auto sent = ::send(sender.descriptor, next.data(), std::min(next.size(), piece_bytes),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
        sender.ended = errno != EAGAIN && errno != EINTR;
        return false;
    }
    sender.sent += static_cast<std::size_t>(sent);
    sender.ended = sender.sent == repeated_end + message.last.size();
    return sent > 0;
}

void crowd::send_all()
{
    send_while([] { return true; });
}

void crowd::send_while(const std::function<bool()>& condition)
{
    int idle_rounds = 0;
    bool all_ended = false;
    while (!all_ended && idle_rounds < max_idle_rounds && condition()) {
        bool progress = false;
        all_ended = true;
        for (client& sender : clients_) {
            if (!sender.ended) {
                progress = send_piece(sender) || progress;
                all_ended = false;
            }
        }
        if (!progress) {
            ++idle_rounds;
            std::this_thread::sleep_for(pause);
        }
        else {
            idle_rounds = 0;
        }
    }
}

std::size_t peak_memory_mb(const process& measured)
{
    std::ifstream status{"/proc/" + std::to_string(measured.pid()) + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1'024;
        }
    }
    return 0;
}

std::size_t open_descriptors(const process& measured)
{
    std::error_code ignored;
    const std::filesystem::directory_iterator opened{
        "/proc/" + std::to_string(measured.pid()) + "/fd", ignored};
    return static_cast<std::size_t>(std::distance(begin(opened), end(opened)));
}

} // namespace chestnutstand::testing
