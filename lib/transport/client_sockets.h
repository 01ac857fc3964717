#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace chestnutstand {

/// Sets the TCP user timeout and keepalive of a socket. They close a connection whose peer is gone
/// or has lost its state, so that neither a request nor a pooled connection waits for the peer
/// until a deadline.
void limit_silence(int socket);

/// Identifies a connection of one client.
struct connection_key {
    std::string peer_address;
    int peer_port = 0;
    int local_port = 0;

    friend bool operator<(const connection_key& left, const connection_key& right)
    {
        return std::tie(left.peer_address, left.peer_port, left.local_port) <
               std::tie(right.peer_address, right.peer_port, right.local_port);
    }
};

/// Sockets of one HTTP client, found by the endpoints of their connections: libcurl does not tell
/// which socket it has chosen for a request. Not thread-safe.
class client_sockets {
public:
    client_sockets() = default;
    client_sockets(const client_sockets&) = delete;
    client_sockets& operator=(const client_sockets&) = delete;

    /// Returns the new socket, or -1 if there is none.
    int open(int family, int type, int protocol);
    int close(int socket);

    /// Whether a connection on which no request is running has bytes to read or was closed by the
    /// server. False for an unknown connection.
    bool has_unexpected_input(const connection_key& connection);

private:
    /// Finds the keys of the sockets that have been connected since the last call.
    void add_connected();

    std::vector<int> unconnected_;
    std::map<connection_key, int> connected_;
};

} // namespace chestnutstand
