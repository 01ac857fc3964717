#include "chestnutstand/tenancy/tenant_counters.h"

#include <gtest/gtest.h>

#include <string>

namespace chestnutstand {
namespace {

// Guards against counts of one tenant that appear at another, and against a number of series that
// grows with the tenants of the document.
TEST(tenant_counters, number_of_series_is_bounded)
{
    constexpr std::size_t tenants = tenant_counters::max_tenants * 3;
    metrics stats;
    tenant_counters counters{stats};
    for (int round = 0; round < 2; ++round) {
        for (std::size_t i = 0; i < tenants; ++i) {
            const tenant_counts counts = counters.of("tenant-" + std::to_string(i));
            ++*counts.requests;
            *counts.refusals += i == 7 ? 1 : 0;
        }
    }
    const std::string text = stats.render();
    const auto has_line = [&](const std::string& line) {
        return text.find(line + "\n") != std::string::npos;
    };
    EXPECT_TRUE(has_line("chestnutstand_tenant_requests_total{tenant=\"tenant-7\"} 2"));
    EXPECT_TRUE(has_line("chestnutstand_tenant_refusals_total{tenant=\"tenant-7\"} 2"));
    EXPECT_TRUE(has_line("chestnutstand_tenant_refusals_total{tenant=\"tenant-8\"} 0"));
    EXPECT_TRUE(has_line("chestnutstand_tenant_requests_total{tenant=\"(other)\"} " +
                         std::to_string(2 * (tenants - tenant_counters::max_tenants))));
    std::size_t series = 0;
    for (auto at = text.find("requests_total{"); at != std::string::npos;
         at = text.find("requests_total{", at + 1)) {
        ++series;
    }
    EXPECT_EQ(series, tenant_counters::max_tenants + 1);
}

} // namespace
} // namespace chestnutstand
