#include "chestnutstand/tenancy/tenant_counters.h"

#include "chestnutstand/support/str_cat.h"

namespace chestnutstand {
namespace {

constexpr const char* shared_label = "(other)";

} // namespace

tenant_counts tenant_counters::of(const std::string& tenant)
{
    const std::lock_guard lock{mutex_};
    const auto found = counts_.find(tenant);
    if (found != counts_.end()) {
        return found->second;
    }
    if (counts_.size() >= max_tenants) {
        return make(shared_label);
    }
    return counts_.emplace(tenant, make(tenant)).first->second;
}

tenant_counts tenant_counters::make(const std::string& label)
{
    const std::string labels = str_cat("{tenant=\"", label_value(label), "\"}");
    return {&stats_.counter("chestnutstand_tenant_requests_total" + labels),
            &stats_.counter("chestnutstand_tenant_refusals_total" + labels)};
}

} // namespace chestnutstand
