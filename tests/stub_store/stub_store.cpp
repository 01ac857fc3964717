// Stand-in for the platform's metadata store, by its published protocol: keyed topics with one
// partition. Keeps everything in memory. PUT /control/document writes the operator's record.

#include "../support/stub_main.h"

#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/transport/http_server.h"

#include "store_codec.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <vector>

using namespace chestnutstand;

namespace {

struct stored_record {
    std::string key;
    std::string value;
    /// As it stands on the wire.
    std::string bytes;
};

/// A read that waits for a record.
struct waiting_read {
    std::string topic;
    std::size_t from = 0;
    std::shared_ptr<responder> response;
};

std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto start = at + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::string big_endian(std::uint64_t value)
{
    std::string out;
    for (int shift = 56; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return out;
}

class stub_store {
public:
    void handle(const http_request& request, const std::shared_ptr<responder>& response)
    {
        const std::lock_guard lock{mutex_};
        const std::string topic = parameter(request.target, "Topic");
        if (request.target.rfind("/-/log-append", 0) == 0) {
            append(topic, request.body);
            response->send({200, {{"Content-Type", "application/json"}}, R"({"Offset":0})"});
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
        else {
            response->send({404, {}, ""});
        }
    }

private:
    void append(const std::string& topic, const std::string& bytes)
    {
        // The length of the record and that of its key come first.
        constexpr std::size_t length_bytes = 4;
        const auto key_bytes = static_cast<unsigned char>(bytes.at(length_bytes));
        topics_[topic].push_back({bytes.substr(length_bytes + 1, key_bytes),
                                  bytes.substr(length_bytes + 1 + key_bytes), bytes});
        std::vector<waiting_read> still;
        for (auto& each : waiting_) {
            if (each.topic == topic && each.from < topics_[topic].size()) {
                answer_read(topic, each.from, *each.response);
            }
            else {
                still.push_back(std::move(each));
            }
        }
        waiting_ = std::move(still);
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
        response.send({200, {{"Content-Type", "application/json"}}, body.dump()});
    }

    void read(const std::string& topic, const std::string& target,
              const std::shared_ptr<responder>& response)
    {
        const auto from = std::strtoull(parameter(target, "From").c_str(), nullptr, 10);
        if (from < topics_[topic].size()) {
            answer_read(topic, from, *response);
            return;
        }
        waiting_.push_back({topic, static_cast<std::size_t>(from), response});
        const auto wait = std::strtod(parameter(target, "WaitMs").c_str(), nullptr);
        loop_.post_after(milliseconds{wait}, [this, response] { end_wait(response); });
    }

    /// A read that nothing came for within its time gets an answer without records.
    void end_wait(const std::shared_ptr<responder>& response)
    {
        const std::lock_guard lock{mutex_};
        const auto found = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& each) {
            return each.response == response;
        });
        if (found != waiting_.end()) {
            answer_read(found->topic, found->from, *response);
            waiting_.erase(found);
        }
    }

    void answer_read(const std::string& topic, std::size_t from, responder& response)
    {
        const auto& records = topics_[topic];
        std::string body = big_endian(records.size()) + big_endian(0);
        for (std::size_t i = from; i < records.size(); ++i) {
            body += records[i].bytes;
        }
        response.send({200, {{"Content-Type", "application/octet-stream"}}, std::move(body)});
    }

    std::mutex mutex_;
    std::map<std::string, std::vector<stored_record>> topics_;
    std::vector<waiting_read> waiting_;
    control_loop loop_;
};

} // namespace

int main()
{
    stub_store store;
    return chestnutstand::testing::run_stub(
        http_server_options{},
        [&](const http_request& request, const std::shared_ptr<responder>& to) {
            store.handle(request, to);
        });
}
