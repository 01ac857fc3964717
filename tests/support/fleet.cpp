#include "fleet.h"

#include <cstdlib>
#include <fstream>
#include <future>
#include <thread>
#include <unistd.h>

namespace chestnutstand::testing {
namespace {

constexpr milliseconds poll_interval{20};

std::string base_url(std::uint16_t port)
{
    return "http://127.0.0.1:" + std::to_string(port);
}

std::filesystem::path make_directory()
{
    std::string name = (std::filesystem::temp_directory_path() / "chestnutstand-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        std::abort();
    }
    return name;
}

} // namespace

http_result exchange(http_client& client, std::uint16_t port, http_request request,
                     milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<http_result>>();
    client.send(base_url(port), std::move(request), timeout,
                [promise](http_result result) { promise->set_value(std::move(result)); });
    return promise->get_future().get();
}

bool eventually(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point end = ms_clock::now() + limit;
    while (!condition()) {
        if (ms_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

fleet::fleet()
    : directory_{make_directory()},
      cluster_secret_{"secret-of-" + directory_.filename().string()}, client_{make_http_client()}
{
    log_ = std::make_unique<process>(STUB_LOG_PROGRAM, std::vector<std::string>{});
    log_port_ = announced_port(*log_);
}

fleet::~fleet()
{
    members_.clear();
    log_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

fleet_member& fleet::add(const std::string& data_centre, const std::string& service,
                         const std::vector<std::string>& upstream_arguments)
{
    auto member = std::make_unique<fleet_member>();
    member->data_centre = data_centre;
    member->service = service;
    nlohmann::json settings{{"data_centre", data_centre},
                            {"log_url", base_url(log_port_)},
                            {"cluster_secret", cluster_secret_},
                            {"log_level", "debug"},
                            {"lame_duck_ms", 500}};
    settings.update(extra_settings_);
    const auto file = directory_ / ("node-" + std::to_string(members_.size()) + ".json");
    std::ofstream{file} << settings.dump(2);
    member->node = std::make_unique<process>(
        CHESTNUTSTAND_PROGRAM, std::vector<std::string>{"node", "--settings", file.string()});
    const auto started = member->node->wait_for_line(
        [](const auto& fields) { return fields.value("message", "") == "node started"; });
    if (started) {
        member->caller_port = (*started)["caller_port"].get<std::uint16_t>();
        member->admin_port = (*started)["admin_port"].get<std::uint16_t>();
        member->node_port = (*started)["node_port"].get<std::uint16_t>();
        member->gossip_port = (*started)["gossip_port"].get<std::uint16_t>();
    }
    if (!service.empty()) {
        std::vector<std::string> arguments{"--service", service, "--node-admin-port",
                                           std::to_string(member->admin_port)};
        arguments.insert(arguments.end(), upstream_arguments.begin(), upstream_arguments.end());
        member->upstream = std::make_unique<process>(STUB_UPSTREAM_PROGRAM, arguments);
        member->upstream_port = announced_port(*member->upstream);
    }
    members_.push_back(std::move(member));
    return *members_.back();
}

nlohmann::json fleet::publish(const fleet_member& member, const std::string& team,
                              const std::string& section, std::uint64_t base_version,
                              const std::string& content, const std::string& change_id)
{
    http_request request;
    request.method = "POST";
    request.target = "/config/changes";
    request.body = nlohmann::json{
        {"change_id", change_id},
        {"team", team},
        {"section", section},
        {"base_version", base_version},
        {"content",
         content}}.dump();
    const auto result = exchange(*client_, member.admin_port, std::move(request));
    return nlohmann::json::parse(result.response.body, nullptr, false);
}

nlohmann::json fleet::status(const fleet_member& member)
{
    const auto result =
        exchange(*client_, member.admin_port, {"GET", "/status", {}, ""}, milliseconds{2'000});
    auto parsed = nlohmann::json::parse(result.response.body, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json();
}

bool fleet::wait_until_ready(std::size_t count)
{
    const auto is_ready = [&](const fleet_member& member) {
        if (!member.node->running()) {
            return true;
        }
        const auto status_json = status(member);
        if (!status_json.is_object() || status_json["config_version"].is_null()) {
            return false;
        }
        std::size_t routed = 0;
        for (const auto& members : status_json["routes"]) {
            routed += members.get<std::size_t>();
        }
        return routed >= count;
    };
    return eventually([&] {
        for (const auto& member : members_) {
            if (!is_ready(*member)) {
                return false;
            }
        }
        return true;
    });
}

bool fleet::control(std::uint16_t port, const std::string& target, const nlohmann::json& body)
{
    const auto result = exchange(*client_, port, {"POST", target, {}, body.dump()});
    return result.error == http_error::none && result.response.status == 200;
}

nlohmann::json fleet::counters(const fleet_member& member)
{
    const auto result = exchange(*client_, member.upstream_port, {"GET", "/counters", {}, ""});
    return nlohmann::json::parse(result.response.body, nullptr, false);
}

std::string section_content(const std::string& owner, const std::vector<std::string>& services)
{
    nlohmann::json content{{"owner", owner}, {"services", nlohmann::json::array()}};
    for (const auto& name : services) {
        content["services"].push_back(
            {{"name", name},
             {"priorities",
              {{{"name", "read"}, {"latency_target_ms", 200}, {"weight", 3}, {"idempotent", true}},
               {{"name", "write"},
                {"latency_target_ms", 1000},
                {"weight", 8},
                {"idempotent", false}}}}});
    }
    return content.dump();
}

} // namespace chestnutstand::testing
