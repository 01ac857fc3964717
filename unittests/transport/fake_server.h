#pragma once

#include "raw_socket.h"

#include "chestnutstand/transport/http_client.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace chestnutstand::testing {

inline constexpr milliseconds long_timeout{10'000};

inline std::string ok(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string repeated(const std::string& text, std::size_t times)
{
    std::string result;
    result.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i) {
        result += text;
    }
    return result;
}

/// Server whose requests are handled by a function of the test.
class fake_server {
public:
    /// Called for each request with the number of its connection and its number on that connection;
    /// returns false to close the connection.
    using request_handler = std::function<bool(raw_socket& connection, int number, int request)>;

    explicit fake_server(request_handler handle)
        : handle_{std::move(handle)}, listener_{raw_socket::listen_on_loopback()},
          port_{listener_.port()}, acceptor_{[this] { run(); }}
    {
    }
    fake_server(const fake_server&) = delete;
    fake_server& operator=(const fake_server&) = delete;

    ~fake_server()
    {
        stopping_ = true;
        raw_socket::connect_to(port_);
        acceptor_.join();
        for (auto& thread : serving_) {
            thread.join();
        }
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_); }
    int connections() const { return connections_; }
    int requests() const { return requests_; }
    int closed_by_client() const { return closed_by_client_; }

private:
    void run()
    {
        while (true) {
            raw_socket accepted = listener_.accept();
            if (stopping_) {
                return;
            }
            serving_.emplace_back(
                [this, number = connections_++, connection = std::move(accepted)]() mutable {
                    for (int request = 0; !connection.receive_until_text("\r\n\r\n").empty();
                         ++request) {
                        ++requests_;
                        if (!handle_(connection, number, request)) {
                            return;
                        }
                    }
                    ++closed_by_client_;
                });
        }
    }

    request_handler handle_;
    raw_socket listener_;
    std::uint16_t port_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> connections_ = 0;
    std::atomic<int> requests_ = 0;
    std::atomic<int> closed_by_client_ = 0;
    std::vector<std::thread> serving_;
    std::thread acceptor_;
};

inline http_result get(http_client& client, const std::string& url,
                       milliseconds timeout = long_timeout, const std::string& target = "/")
{
    auto ended = std::make_shared<std::promise<http_result>>();
    client.send(url, {"GET", target, {}, "", false}, timeout,
                [ended](http_result result) { ended->set_value(std::move(result)); });
    return ended->get_future().get();
}

template <typename Condition>
bool eventually(Condition holds)
{
    for (int i = 0; i < 10'000 && !holds(); ++i) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    return holds();
}

} // namespace chestnutstand::testing
