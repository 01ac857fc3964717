// Stub of the platform's metadata store that implements its published protocol: keyed topics with
// one partition. Keeps everything in memory. PUT /control/document writes the operator's record,
// PUT /control/lose_reads leaves all waiting reads without a response, on open connections. PUT
// /control/evacuate/DATA_CENTRE writes the operator's record of that name, without a value if the
// body is empty. PUT /control/rollback?Records=N removes the last N records of each topic and
// begins a new era.

#include "../support/stub_main.h"

#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/transport/http_server.h"

#include "store_codec.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace chestnutstand;

namespace {

struct stored_record {
    std::string key;
    std::string value;
    /// The record in its wire format.
    std::string bytes;
};

/// A read that waits for the next record of its topic.
struct waiting_read {
    std::string topic;
    std::size_t from = 0;
    std::shared_ptr<responder> response;
};

std::string parameter(const std::string& target, const std::string& name)
{
    const auto found = target.find(name + "=");
    if (found == std::string::npos) {
        return "";
    }
    const auto start = found + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::string big_endian(std::uint64_t value)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return bytes;
}

class stub_store {
public:
    void handle(const http_request& request, const std::shared_ptr<responder>& response)
    {
        const std::lock_guard lock{mutex_};
        const std::string topic = parameter(request.target, "Topic");
        if (request.target.rfind("/-/log-append", 0) == 0) {
            append(topic, request.body);
            respond(*response, {200, {{"Content-Type", "application/json"}}, R"({"Offset":0})"});
        }
        else if (request.target.rfind("/-/log-newest", 0) == 0) {
            newest(topic, *response);
        }
        else if (request.target.rfind("/-/log-read", 0) == 0) {
            read(topic, request.target, response);
        }
        else if (request.target == "/control/document") {
            append("keyed.op", platform::encode_record("config", request.body));
            response->send({200, {}, ""});
        }
        else if (request.target.rfind("/control/evacuate/", 0) == 0) {
            constexpr std::size_t control_prefix = std::string_view{"/control/"}.size();
            append("keyed.op",
                   platform::encode_record(request.target.substr(control_prefix), request.body));
            response->send({200, {}, ""});
        }
        else if (request.target.rfind("/control/rollback", 0) == 0) {
            roll_back(std::strtoull(parameter(request.target, "Records").c_str(), nullptr, 10));
            response->send({200, {}, ""});
        }
        else if (request.target == "/control/lose_reads") {
            std::move(waiting_reads_.begin(), waiting_reads_.end(),
                      std::back_inserter(lost_reads_));
            waiting_reads_.clear();
            response->send({200, {}, ""});
        }
        else {
            response->send({404, {}, ""});
        }
    }

private:
    /// Names the era in the response.
    void respond(responder& response, http_response content) const
    {
        content.headers.push_back({"Store-Era", std::to_string(era_)});
        response.send(std::move(content));
    }

    void roll_back(std::size_t lost)
    {
        ++era_;
        for (auto& [topic, records] : topics_) {
            records.resize(records.size() - std::min(lost, records.size()));
        }
    }

    void append(const std::string& topic, const std::string& bytes)
    {
        // A record begins with its own length and the length of its key.
        constexpr std::size_t length_bytes = 4;
        const auto key_bytes = static_cast<unsigned char>(bytes.at(length_bytes));
        topics_[topic].push_back({bytes.substr(length_bytes + 1, key_bytes),
                                  bytes.substr(length_bytes + 1 + key_bytes), bytes});
        std::vector<waiting_read> remaining;
        for (auto& waiting : waiting_reads_) {
            if (waiting.topic == topic && waiting.from < topics_[topic].size()) {
                send_records(topic, waiting.from, *waiting.response);
            }
            else {
                remaining.push_back(std::move(waiting));
            }
        }
        waiting_reads_ = std::move(remaining);
    }

    void newest(const std::string& topic, responder& response)
    {
        std::map<std::string, nlohmann::json> items;
        const auto& records = topics_[topic];
        for (std::size_t i = 0; i < records.size(); ++i) {
            items[records[i].key] = {{"Key", records[i].key},
                                     {"Value", absl::Base64Escape(records[i].value)},
                                     {"Offset", i}};
        }
        nlohmann::json body{
            {"items", nlohmann::json::array()}, {"HasMore", false}, {"EndOffset", records.size()}};
        for (const auto& [key, item] : items) {
            body["items"].push_back(item);
        }
        respond(response, {200, {{"Content-Type", "application/json"}}, body.dump()});
    }

    void read(const std::string& topic, const std::string& target,
              const std::shared_ptr<responder>& response)
    {
        const auto from = std::strtoull(parameter(target, "From").c_str(), nullptr, 10);
        if (from != topics_[topic].size()) {
            send_records(topic, from, *response);
            return;
        }
        waiting_reads_.push_back({topic, static_cast<std::size_t>(from), response});
        const auto wait = std::strtod(parameter(target, "WaitMs").c_str(), nullptr);
        loop_.post_after(milliseconds{wait}, [this, response] { time_out_read(response); });
    }

    /// Responds to a read without records when none was appended within its waiting time.
    void time_out_read(const std::shared_ptr<responder>& response)
    {
        const std::lock_guard lock{mutex_};
        const auto found =
            std::find_if(waiting_reads_.begin(), waiting_reads_.end(),
                         [&](const auto& waiting) { return waiting.response == response; });
        if (found != waiting_reads_.end()) {
            send_records(found->topic, found->from, *response);
            waiting_reads_.erase(found);
        }
    }

    void send_records(const std::string& topic, std::size_t from, responder& response)
    {
        const auto& records = topics_[topic];
        if (from > records.size()) {
            respond(response, {410, {}, ""});
            return;
        }
        std::string body = big_endian(records.size()) + big_endian(0);
        for (std::size_t i = from; i < records.size(); ++i) {
            body += records[i].bytes;
        }
        respond(response, {200, {{"Content-Type", "application/octet-stream"}}, std::move(body)});
    }

    std::mutex mutex_;
    std::uint64_t era_ = 1;
    std::map<std::string, std::vector<stored_record>> topics_;
    std::vector<waiting_read> waiting_reads_;
    /// Kept because the server closes the connection of a responder that is destroyed.
    std::vector<waiting_read> lost_reads_;
    control_loop loop_;
};

} // namespace

int main()
{
    stub_store store;
    return chestnutstand::testing::run_stub(
        http_server_options{},
        [&](const http_request& request, const std::shared_ptr<responder>& response) {
            store.handle(request, response);
        });
}
