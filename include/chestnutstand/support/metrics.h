#pragma once

#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/reason.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace chestnutstand {

/// What happened to the call for which a reason was counted.
enum class reason_event : std::uint8_t { refused, retried, unknown_outcome };

inline constexpr std::size_t reason_event_count = 3;

/// Latency distribution with logarithmic bins from 0.05 ms to 60 s. Thread-safe.
class latency_histogram {
public:
    latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    ~latency_histogram();

    void record(milliseconds latency);

    /// Appends the histogram in the Prometheus text format. The labels are given without braces.
    void render(std::string& out, std::string_view name, std::string_view labels) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Returns a text as the value of a label in the Prometheus text format, without the quotes.
std::string label_value(std::string_view text);

/// Counters and histograms of one process. Thread-safe; it owns all counters and histograms.
class metrics {
public:
    /// Increments the counter for this reason of a refusal, a retry or an unknown outcome.
    void count(reason_event event, reason_code reason);

    std::uint64_t value(reason_event event, reason_code reason) const;

    /// Counter with this name, created on first use. The name includes its labels in braces, if
    /// any.
    std::atomic<std::uint64_t>& counter(const std::string& name);

    /// Latency histogram for calls to a service with a priority class, created on first use.
    latency_histogram& call_latency(std::string_view service, std::string_view priority);

    /// All counters and histograms in the Prometheus text format.
    std::string render() const;

private:
    std::array<std::array<std::atomic<std::uint64_t>, reason_count>, reason_event_count> reasons_{};
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<std::atomic<std::uint64_t>>> counters_;
    std::map<std::string, std::unique_ptr<latency_histogram>> latencies_;
};

} // namespace chestnutstand
