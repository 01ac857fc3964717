#pragma once

#include "chestnutstand/support/metrics.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace chestnutstand {

/// Counters of one tenant.
struct tenant_counts {
    std::atomic<std::uint64_t>* requests = nullptr;
    /// Requests that were answered as not run.
    std::atomic<std::uint64_t>* refusals = nullptr;
};

/// Counts requests and refusals of each tenant. The tenants that are seen first get counters of
/// their own, all further ones share those of tenant="(other)", which is no valid name of a tenant:
/// a document may list more tenants than a metrics server takes series. Thread-safe.
class tenant_counters {
public:
    static constexpr std::size_t max_tenants = 256;

    explicit tenant_counters(metrics& stats) : stats_{stats} {}

    /// Counters of a tenant; valid as long as the metrics.
    tenant_counts of(const std::string& tenant);

private:
    tenant_counts make(const std::string& label);

    metrics& stats_;
    std::mutex mutex_;
    std::unordered_map<std::string, tenant_counts> counts_;
};

} // namespace chestnutstand
