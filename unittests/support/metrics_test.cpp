#include "chestnutstand/support/metrics.h"

#include <gtest/gtest.h>

namespace chestnutstand {
namespace {

// Guards against a reason that is counted but missing from the metrics endpoint.
TEST(metrics, renders_every_reason_and_histogram)
{
    metrics stats;
    stats.count(reason_event::refused, reason_code::queue_full);
    stats.call_latency("ledger", "urgent").record(milliseconds{1.5});
    const auto text = stats.render();
    EXPECT_NE(text.find("chestnutstand_refusals_total{reason=\"queue_full\"} 1\n"),
              std::string::npos);
    EXPECT_NE(text.find("chestnutstand_retries_total{reason=\"queue_full\"} 0\n"),
              std::string::npos);
    EXPECT_NE(
        text.find("chestnutstand_call_latency_ms_count{service=\"ledger\",priority=\"urgent\"} "
                  "1\n"),
        std::string::npos);
}

// Guards against a name in the document that makes the whole page unreadable.
TEST(metrics, escapes_label_values)
{
    metrics stats;
    stats.call_latency("a\"b\\c\nd", "urgent").record(milliseconds{1.5});
    EXPECT_NE(stats.render().find(R"({service="a\"b\\c\nd",priority="urgent"} 1)"),
              std::string::npos);
}

} // namespace
} // namespace chestnutstand
