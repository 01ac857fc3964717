#pragma once

#include "chestnutstand/support/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnutstand {

/// One priority class of a service.
struct priority_config {
    std::string name;
    milliseconds latency_target{1000};
    double weight = 1.0;
    bool idempotent = false;
};

/// What the operators declare about one service.
struct service_config {
    std::string name;
    /// In the order of the document; the first is the default class of a call.
    std::vector<priority_config> priorities;
    /// Share of the capacity that is divided among all classes by weight, whatever the load.
    double reserve = 0.3;
    /// Limit of requests per second that only measure an upstream.
    double probe_budget_per_s = 2.0;
    /// Retries allowed per successful call.
    double retry_ratio = 0.1;
    std::uint32_t queue_limit_per_priority = 200;
    std::string balancing_policy = "two_choices";

    const priority_config* find_priority(std::string_view priority) const;
};

/// The configuration document as a whole, valid and in force.
struct document {
    /// One more than the log offset of the newest accepted change, so that 0 stands for no change.
    std::uint64_t version = 0;
    std::vector<service_config> services;

    const service_config* find_service(std::string_view service) const;
};

} // namespace chestnutstand
