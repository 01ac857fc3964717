// Stub of the platform's append-only log service. Keeps records in memory.

#include "../support/stub_main.h"

#include "chestnutstand/support/clock.h"
#include "chestnutstand/transport/http_server.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

using namespace chestnutstand;

namespace {

constexpr std::string_view stream_prefix = "/streams/";
constexpr std::uint32_t max_page = 1'000;

struct stored_record {
    time_point appended;
    std::string payload;
};

struct stream_state {
    std::uint64_t first = 0;
    std::deque<stored_record> records;

    std::uint64_t next() const { return first + records.size(); }
};

/// Faults that a test can enable.
struct fault_switches {
    bool down = false;
    bool drop_append_answers = false;
    double delay_ms = 0.0;
};

class stub_log {
public:
    void handle(const http_request& request, const std::shared_ptr<responder>& response)
    {
        if (request.target == "/faults") {
            set_faults(request, *response);
            return;
        }
        const std::lock_guard lock{mutex_};
        if (faults_.down) {
            response->send({503, {}, "log is down"});
            return;
        }
        if (faults_.delay_ms > 0) {
            std::this_thread::sleep_for(milliseconds{faults_.delay_ms});
        }
        std::string_view target = request.target;
        if (target.rfind(stream_prefix, 0) != 0) {
            response->send({404, {}, ""});
            return;
        }
        target.remove_prefix(stream_prefix.size());
        auto& stream = streams_[std::string{target.substr(0, target.find('/'))}];
        if (request.method == "POST" && target.find("/expire") != std::string_view::npos) {
            expire(stream, request, *response);
        }
        else if (request.method == "POST") {
            append(stream, request, *response);
        }
        else {
            read(stream, target, *response);
        }
    }

private:
    void set_faults(const http_request& request, responder& response)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.send({400, {}, ""});
            return;
        }
        const std::lock_guard lock{mutex_};
        faults_.down = body.value("down", faults_.down);
        faults_.drop_append_answers =
            body.value("drop_append_answers", faults_.drop_append_answers);
        faults_.delay_ms = body.value("delay_ms", faults_.delay_ms);
        response.send({200, {}, ""});
    }

    void append(stream_state& stream, const http_request& request, responder& response)
    {
        const std::uint64_t offset = stream.next();
        stream.records.push_back({ms_clock::now(), request.body});
        if (faults_.drop_append_answers) {
            response.send({503, {}, "answer lost"});
            return;
        }
        response.send({200, {}, nlohmann::json{{"offset", offset}}.dump()});
    }

    /// Removes all records below the offset in the body, as if their retention time had passed.
    static void expire(stream_state& stream, const http_request& request, responder& response)
    {
        const std::uint64_t below = std::strtoull(request.body.c_str(), nullptr, 10);
        while (stream.first < below && !stream.records.empty()) {
            stream.records.pop_front();
            ++stream.first;
        }
        response.send({200, {}, ""});
    }

    static std::uint64_t query_number(std::string_view target, std::string_view name,
                                      std::uint64_t fallback)
    {
        const auto found = target.find(std::string{name} + "=");
        if (found == std::string_view::npos) {
            return fallback;
        }
        return std::strtoull(std::string{target.substr(found + name.size() + 1)}.c_str(), nullptr,
                             10);
    }

    static void read(const stream_state& stream, std::string_view target, responder& response)
    {
        const std::uint64_t from = std::max(query_number(target, "from", 0), stream.first);
        const std::uint64_t limit =
            std::min<std::uint64_t>(query_number(target, "limit", max_page), max_page);
        const time_point now = ms_clock::now();
        nlohmann::json page{
            {"first", stream.first}, {"next", stream.next()}, {"records", nlohmann::json::array()}};
        for (std::uint64_t offset = from; offset < stream.next() && offset - from < limit;
             ++offset) {
            const auto& record = stream.records[offset - stream.first];
            page["records"].push_back({{"offset", offset},
                                       {"age_ms", (now - record.appended).count()},
                                       {"payload", absl::Base64Escape(record.payload)}});
        }
        response.send({200, {{"Content-Type", "application/json"}}, page.dump()});
    }

    std::mutex mutex_;
    std::map<std::string, stream_state> streams_;
    fault_switches faults_;
};

} // namespace

int main()
{
    stub_log log;
    http_server_options options;
    options.threads = 2;
    return chestnutstand::testing::run_stub(
        options, [&](const http_request& request, const std::shared_ptr<responder>& response) {
            log.handle(request, response);
        });
}
