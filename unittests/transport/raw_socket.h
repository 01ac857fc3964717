#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chestnutstand::testing {

/// TCP connection or listening socket on loopback that sends and receives raw bytes.
class raw_socket {
public:
    explicit raw_socket(int descriptor) : descriptor_{descriptor} {}
    raw_socket(raw_socket&& other) noexcept : descriptor_{other.descriptor_}
    {
        other.descriptor_ = -1;
    }
    raw_socket& operator=(raw_socket&& other) noexcept;
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    ~raw_socket();

    static raw_socket connect_to(std::uint16_t port);
    static raw_socket listen_on_loopback();

    std::uint16_t port() const;
    raw_socket accept() const;
    bool open() const { return descriptor_ != -1; }
    void close();
    /// Closes the connection with RST and discards unsent data.
    void reset();

    bool send(std::string_view bytes) const;

    /// Receives until the predicate holds for all bytes received so far, the peer closes, or no
    /// data arrives for 10 s.
    template <typename Predicate>
    std::string receive_until(Predicate is_complete) const
    {
        std::string received;
        while (!is_complete(received) && receive_some(received)) {
        }
        return received;
    }

    /// Receives until the text occurs the given number of times.
    std::string receive_until_text(std::string_view text, int times = 1) const;

    /// Receives one HTTP message with a Content-Length.
    std::string receive_message() const;

    /// Receives until the peer closes; closed is false when receiving fails before that, for
    /// example after 10 s without data.
    std::string receive_all(bool& closed) const;

private:
    bool receive_some(std::string& into) const;

    int descriptor_ = -1;
};

} // namespace chestnutstand::testing
