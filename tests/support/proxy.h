#pragma once

#include "process.h"

#include "chestnutstand/transport/http_client.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>

namespace chestnutstand::testing {

/// A fault_proxy process in front of a port.
class proxy {
public:
    explicit proxy(std::uint16_t target_port);

    std::uint16_t port() const { return port_; }

    /// Sets the faults, for example {{"mode", "delay"}, {"delay_ms", 50}}. Returns whether the
    /// proxy accepted them.
    bool set_faults(const nlohmann::json& faults);
    nlohmann::json counters();

private:
    http_result control(const std::string& target, const std::string& body);

    process process_;
    std::unique_ptr<http_client> client_;
    std::uint16_t port_ = 0;
    std::uint16_t control_port_ = 0;
};

} // namespace chestnutstand::testing
