#include "proxy.h"

#include <future>

namespace chestnutstand::testing {
namespace {

constexpr milliseconds control_timeout{10'000};

} // namespace

proxy::proxy(std::uint16_t target_port)
    : process_{FAULT_PROXY_PROGRAM, {"--target-port", std::to_string(target_port)}},
      client_{make_http_client()}
{
    const auto line =
        process_.wait_for_line([](const auto& fields) { return fields.contains("control_port"); });
    if (line) {
        port_ = (*line)["port"].get<std::uint16_t>();
        control_port_ = (*line)["control_port"].get<std::uint16_t>();
    }
}

http_result proxy::control(const std::string& target, const std::string& body)
{
    auto promise = std::make_shared<std::promise<http_result>>();
    client_->send("http://127.0.0.1:" + std::to_string(control_port_),
                  {body.empty() ? "GET" : "POST", target, {}, body, false}, control_timeout,
                  [promise](http_result result) { promise->set_value(std::move(result)); });
    return promise->get_future().get();
}

bool proxy::set_faults(const nlohmann::json& faults)
{
    const auto result = control("/faults", faults.dump());
    return result.error == http_error::none && result.response.status == 200;
}

nlohmann::json proxy::counters()
{
    return nlohmann::json::parse(control("/counters", "").response.body, nullptr, false);
}

} // namespace chestnutstand::testing
