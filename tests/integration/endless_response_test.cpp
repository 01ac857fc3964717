#include "../../unittests/transport/raw_socket.h"
#include "../support/fleet.h"
#include "../support/registrar.h"

#include "chestnutstand/transport/headers.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace chestnutstand::testing {
namespace {

/// Memory of the smallest machine that a node runs on.
constexpr std::size_t memory_limit_mb = 160;
constexpr milliseconds call_timeout{10'000};
/// Time that the upstream takes for a request that it answers properly.
constexpr milliseconds work_time{1'500};

/// Upstream that answers a request whose target begins with /endless/N with the N-th kind of bytes
/// without an end, until the node closes the connection. Answers all others properly.
class endless_upstream {
public:
    endless_upstream()
        : listener_{raw_socket::listen_on_loopback()}, port_{listener_.port()}, acceptor_{[this] {
              accept_all();
          }}
    {
    }
    endless_upstream(const endless_upstream&) = delete;
    endless_upstream& operator=(const endless_upstream&) = delete;
    ~endless_upstream()
    {
        stopping_ = true;
        raw_socket::connect_to(port_);
        acceptor_.join();
        for (auto& thread : serving_) {
            thread.join();
        }
    }

    std::uint16_t port() const { return port_; }

    struct kind {
        const char* name;
        std::string first;
        std::string repeated;
    };
    static const std::array<kind, 7>& kinds()
    {
        static const std::array<kind, 7> all{{
            {"no response", "", "x"},
            {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"short header lines", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
            {"a body that ends with its connection", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n",
             "x"},
            {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
             "400\r\n" + std::string(1'024, 'x') + "\r\n"},
            {"chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
             "1\r\nx\r\n"},
            {"a long body", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", "x"},
        }};
        return all;
    }

private:
    void accept_all()
    {
        while (true) {
            raw_socket accepted = listener_.accept();
            if (stopping_) {
                return;
            }
            serving_.emplace_back(
                [connection = std::move(accepted)]() mutable { serve(connection); });
        }
    }

    static void serve(raw_socket& connection)
    {
        constexpr std::string_view endless = "POST /endless/";
        while (true) {
            const std::string request = connection.receive_until_text("\r\n\r\n");
            if (request.empty()) {
                return;
            }
            if (request.rfind(endless, 0) == 0) {
                send_without_end(connection, kinds()[request[endless.size()] - '0']);
                return;
            }
            std::this_thread::sleep_for(work_time);
            if (!connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" +
                                 line_of(request, header::request_id) + "\r\ndone")) {
                return;
            }
        }
    }

    static void send_without_end(raw_socket& connection, const kind& sent)
    {
        constexpr std::size_t block_bytes = 262'144;
        std::string block;
        while (block.size() < block_bytes) {
            block += sent.repeated;
        }
        if (connection.send(sent.first)) {
            while (connection.send(block)) {
            }
        }
    }

    /// The header line with that name, with its line end.
    static std::string line_of(const std::string& request, std::string_view name)
    {
        const auto start = request.find(std::string{name} + ":");
        return start == std::string::npos
                   ? ""
                   : request.substr(start, request.find("\r\n", start) + 2 - start);
    }

    raw_socket listener_;
    std::uint16_t port_;
    std::atomic<bool> stopping_ = false;
    std::vector<std::thread> serving_;
    std::thread acceptor_;
};

/// Peak of the resident memory of a process, in MiB.
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

class endless_response : public ::testing::Test {
protected:
    void SetUp() override
    {
        fleet_.extra_settings() = {{"node_carrier", "http"}, {"memory_limit_mb", memory_limit_mb}};
        executor_ = &fleet_.add("east", "");
        entry_ = &fleet_.add("east", "");
        registrar_ = std::make_unique<registrar>(fleet_, executor_->admin_port, upstream_.port());
        const auto published = fleet_.publish(*entry_, "platform", "main", 0,
                                              section_content("platform", {"alpha"}), "change-1");
        ASSERT_TRUE(published.is_object() && published.value("accepted", false)) << published;
        ASSERT_TRUE(
            eventually([&] { return send(*entry_, "/check").get().response.status == 200; }));
    }

    void TearDown() override { registrar_.reset(); }

    std::future<http_result> send(const fleet_member& to, const std::string& target)
    {
        auto promise = std::make_shared<std::promise<http_result>>();
        http_request request{"POST", "/call/alpha" + target, {}, ""};
        request.headers.push_back({std::string{header::timeout_ms}, "8000"});
        fleet_.client().send(
            "http://127.0.0.1:" + std::to_string(to.caller_port), std::move(request), call_timeout,
            [promise](http_result result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    endless_upstream upstream_;
    fleet fleet_;
    fleet_member* executor_ = nullptr;
    fleet_member* entry_ = nullptr;
    std::unique_ptr<registrar> registrar_;
};

// Guards against a node that keeps what a faulty upstream sends without an end until its memory is
// used up, so that the requests of all other callers end with it.
TEST_F(endless_response, ends_alone_while_other_calls_are_at_work)
{
    constexpr int calls_per_kind = 12;
    constexpr int proper_calls = 8;
    for (std::size_t kind = 0; kind < endless_upstream::kinds().size(); ++kind) {
        SCOPED_TRACE(endless_upstream::kinds()[kind].name);
        std::vector<std::future<http_result>> proper;
        proper.reserve(proper_calls);
        for (int i = 0; i < proper_calls; ++i) {
            proper.push_back(send(i % 2 == 0 ? *entry_ : *executor_, "/proper"));
        }
        std::this_thread::sleep_for(milliseconds{100});
        std::vector<std::future<http_result>> endless;
        endless.reserve(calls_per_kind);
        for (int i = 0; i < calls_per_kind; ++i) {
            endless.push_back(
                send(i % 2 == 0 ? *entry_ : *executor_, "/endless/" + std::to_string(kind)));
        }
        for (auto& call : proper) {
            const auto result = call.get();
            EXPECT_EQ(result.error, http_error::none);
            EXPECT_EQ(result.response.status, 200) << result.response.body;
        }
        for (auto& call : endless) {
            const auto result = call.get();
            EXPECT_EQ(result.error, http_error::none);
            EXPECT_GE(result.response.status, 500);
        }
        for (const fleet_member* member : {executor_, entry_}) {
            EXPECT_TRUE(member->node->running());
            EXPECT_LT(peak_memory_mb(*member->node), memory_limit_mb);
        }
    }
}

} // namespace
} // namespace chestnutstand::testing
