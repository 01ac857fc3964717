#pragma once

#include "../../unittests/transport/raw_socket.h"
#include "crowd.h"
#include "fleet.h"
#include "registrar.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

namespace chestnutstand::testing {

constexpr std::size_t mib = std::size_t{1} << 20U;

/// Upstream that reads request bodies without keeping them. Answers a request to a target that ends
/// with /large/N with N MiB, and all others with the number of bytes of their body.
class large_body_upstream {
public:
    large_body_upstream()
        : listener_{raw_socket::listen_on_loopback()}, port_{listener_.port()}, acceptor_{[this] {
              accept_all();
          }}
    {
    }
    large_body_upstream(const large_body_upstream&) = delete;
    large_body_upstream& operator=(const large_body_upstream&) = delete;
    ~large_body_upstream()
    {
        stopping_ = true;
        raw_socket::connect_to(port_);
        acceptor_.join();
        for (auto& thread : serving_) {
            thread.join();
        }
    }

    std::uint16_t port() const { return port_; }
    /// Requests that have been answered or whose response is being sent.
    int requests() const { return requests_; }

private:
    void accept_all()
    {
        while (true) {
            raw_socket accepted = listener_.accept();
            if (stopping_) {
                return;
            }
            serving_.emplace_back(
                [this, connection = std::move(accepted)]() mutable { serve(connection); });
        }
    }

    void serve(raw_socket& connection)
    {
        constexpr std::string_view head_end = "\r\n\r\n";
        while (true) {
            const std::string received = connection.receive_until_text(head_end);
            const auto end = received.find(head_end);
            if (end == std::string::npos) {
                return;
            }
            const std::string head = received.substr(0, end + 2);
            const std::size_t body = number_of(head, "Content-Length:");
            std::size_t arrived = received.size() - end - head_end.size();
            connection.receive_until([&](std::string& block) {
                arrived += std::exchange(block, {}).size();
                return arrived >= body;
            });
            if (arrived < body) {
                return;
            }
            ++requests_;
            if (!answer(connection, head, body)) {
                return;
            }
        }
    }

    static bool answer(const raw_socket& connection, const std::string& head, std::size_t body)
    {
        constexpr std::string_view large = "/large/";
        const std::string target = head.substr(0, head.find(" HTTP/"));
        const auto found = target.rfind(large);
        const std::string text = std::to_string(body);
        const std::size_t size =
            found == std::string::npos
                ? text.size()
                : std::strtoul(target.c_str() + found + large.size(), nullptr, 10) * mib;
        std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
                               "\r\n" + line_of(head, header::request_id) + "\r\n";
        if (found == std::string::npos) {
            return connection.send(response + text);
        }
        const std::string block(std::size_t{65'536}, 'x');
        bool open = connection.send(response);
        for (std::size_t sent = 0; open && sent < size; sent += block.size()) {
            open = connection.send(std::string_view{block}.substr(0, size - sent));
        }
        return open;
    }

    /// The header line with that name, with its line end.
    static std::string line_of(const std::string& head, std::string_view name)
    {
        const auto start = head.find(std::string{name} + ":");
        return start == std::string::npos
                   ? ""
                   : head.substr(start, head.find("\r\n", start) + 2 - start);
    }

    static std::size_t number_of(const std::string& head, std::string_view name)
    {
        const auto start = head.find(name);
        return start == std::string::npos
                   ? 0
                   : std::strtoul(head.c_str() + start + name.size(), nullptr, 10);
    }

    raw_socket listener_;
    std::uint16_t port_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> requests_ = 0;
    std::vector<std::thread> serving_;
    std::thread acceptor_;
};

/// Limits of the nodes of a memory_path, and the bounds that hold after a crowd. By default those
/// of the smallest machine that a node runs on.
struct memory_path_limits {
    std::size_t memory_limit_mb = 160;
    std::size_t max_body_mb = 20;
    std::size_t max_descriptors = 300;
};

/// An entry node without an upstream and an executing node beside an upstream that takes large
/// bodies.
class memory_path : public ::testing::Test {
protected:
    static constexpr int crowd_size = 24;
    /// Connections of a crowd that complete their request.
    static constexpr int complete_in_crowd = 4;

    explicit memory_path(const memory_path_limits& limits = {})
        : limits_{limits}, store_{STUB_STORE_PROGRAM, {}}
    {
    }

    void SetUp() override
    {
        fleet_.extra_settings() = {
            {"log_url", ""},
            {"store_url", "http://127.0.0.1:" + std::to_string(announced_port(store_))},
            {"caller_interface", "routes"},
            {"node_carrier", "http"},
            {"log_level", "info"},
            {"memory_limit_mb", limits_.memory_limit_mb},
            {"descriptor_limit", limits_.max_descriptors}};
        write_document(limits_.max_body_mb);
        executor_ = &fleet_.add("east", "");
        entry_ = &fleet_.add("east", "");
        registrar_ = std::make_unique<registrar>(fleet_, executor_->admin_port, upstream_.port());
        ASSERT_TRUE(eventually([&] { return is_served(); }));
        ASSERT_TRUE(eventually([&] { return body_limit_in_force(limits_.max_body_mb * mib); }));
    }

    void TearDown() override { registrar_.reset(); }

    void write_document(std::size_t body_limit_mb)
    {
        const nlohmann::json document{{"version", ++version_},
                                      {"services", {{{"name", "alpha"}}}},
                                      {"limits", {{"max_body_bytes", body_limit_mb * mib}}},
                                      {"routes",
                                       {{{"name", "pass"},
                                         {"host", "shop.example"},
                                         {"path_prefix", "/"},
                                         {"service", "alpha"},
                                         {"kind", "idempotent"},
                                         {"timeout_ms", 30'000},
                                         {"latency_target_ms", 5'000},
                                         {"attempts", 2}}}}};
        const auto result = exchange(fleet_.client(), announced_port(store_),
                                     {"PUT", "/control/document", {}, document.dump()});
        ASSERT_EQ(result.response.status, 200);
    }

    /// Whether the entry node refuses a body that exceeds the limit by one, without reading it, and
    /// waits for one that does not.
    bool body_limit_in_force(std::size_t limit) const
    {
        const auto connection = raw_socket::connect_to(entry_->caller_port);
        return connection.send(head("POST", "/check", limit + 1)) &&
               connection.receive_message().rfind("HTTP/1.1 413", 0) == 0;
    }

    bool is_served()
    {
        const auto result =
            exchange(fleet_.client(), entry_->caller_port,
                     {"GET", "/small", {{"Host", "shop.example"}}, ""}, milliseconds{5'000});
        return result.error == http_error::none && result.response.status == 200;
    }

    static std::string request_line(std::string_view method, std::string_view target)
    {
        return std::string{method} + " " + std::string{target} +
               " HTTP/1.1\r\nHost: shop.example\r\n";
    }

    static std::string head(std::string_view method, std::string_view target, std::size_t length)
    {
        return request_line(method, target) + "Content-Length: " + std::to_string(length) +
               "\r\n\r\n";
    }

    static std::string chunked_head(std::string_view target)
    {
        return request_line("POST", target) + "Transfer-Encoding: chunked\r\n\r\n";
    }

    static std::string filler() { return std::string(std::size_t{65'536}, 'x'); }
    static std::string large_chunk() { return "10000\r\n" + filler() + "\r\n"; }

    std::uint16_t node_port_of(const fleet_member& member) const { return member.node_port; }

    /// Checks what has to hold after every crowd, and while its connections are still open.
    void expect_unharmed()
    {
        EXPECT_TRUE(eventually([&] { return is_served(); }));
        for (const fleet_member* member : {executor_, entry_}) {
            const std::string name = member == entry_ ? "entry" : "executor";
            EXPECT_TRUE(member->node->running()) << name;
            const std::size_t peak = peak_memory_mb(*member->node);
            const std::size_t descriptors = open_descriptors(*member->node);
            EXPECT_LT(peak, limits_.memory_limit_mb) << name;
            EXPECT_LE(descriptors, limits_.max_descriptors) << name;
            RecordProperty(name + "_peak_mb", static_cast<int>(peak));
            std::printf("%s: peak %zu MiB, %zu descriptors\n", name.c_str(), peak, descriptors);
        }
    }

    const memory_path_limits limits_;
    large_body_upstream upstream_;
    process store_;
    fleet fleet_;
    int version_ = 0;
    fleet_member* executor_ = nullptr;
    fleet_member* entry_ = nullptr;
    std::unique_ptr<registrar> registrar_;
};

/// Sends the requests of a crowd.
class crowd_path : public memory_path {
protected:
    using memory_path::memory_path;

    /// Sends the message on all connections of the crowd, without its last part on most of them.
    void send_mostly_incomplete(crowd& sent, std::uint16_t port, const crowd_message& message,
                                int clients = crowd_size)
    {
        for (int i = 0; i < clients; ++i) {
            crowd_message own = message;
            if (i >= complete_in_crowd) {
                own.last.clear();
            }
            ASSERT_TRUE(sent.add(port, own));
        }
        sent.send_all();
    }

    crowd_message body_with_length(std::string_view target) const
    {
        return {head("POST", target, limits_.max_body_mb * mib), filler(),
                limits_.max_body_mb * mib - 1, "x"};
    }

    crowd_message body_in_large_chunks(std::string_view target) const
    {
        const std::string chunk = large_chunk();
        return {chunked_head(target), chunk, chunk.size() * 16 * limits_.max_body_mb, "0\r\n\r\n"};
    }

    static crowd_message body_in_small_chunks(std::string_view target)
    {
        constexpr std::size_t chunks = std::size_t{1} << 20U;
        constexpr std::string_view chunk = "1\r\nx\r\n";
        std::string block;
        while (block.size() < 65'536) {
            block += chunk;
        }
        return {chunked_head(target), block, chunks * chunk.size(), "0\r\n\r\n"};
    }
};

} // namespace chestnutstand::testing
