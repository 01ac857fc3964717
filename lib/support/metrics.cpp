#include "chestnutstand/support/metrics.h"

#include <boost/histogram.hpp>

#include <utility>

namespace chestnutstand {
namespace {

namespace bh = boost::histogram;

constexpr double lowest_latency_ms = 0.05;
constexpr double highest_latency_ms = 60'000.0;
constexpr unsigned latency_bins = 60;

constexpr name_table<reason_event, reason_event_count> event_metrics{{
    "chestnutstand_refusals_total",
    "chestnutstand_retries_total",
    "chestnutstand_unknown_outcomes_total",
}};

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_counts =
    decltype(bh::make_histogram(latency_axis{latency_bins, lowest_latency_ms, highest_latency_ms}));

} // namespace

std::string label_value(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            escaped += '\\';
        }
        escaped += c;
    }
    return escaped;
}

struct latency_histogram::state {
    mutable std::mutex mutex;
    latency_counts counts =
        bh::make_histogram(latency_axis{latency_bins, lowest_latency_ms, highest_latency_ms});
    double sum_ms = 0.0;
};

latency_histogram::latency_histogram() : state_{std::make_unique<state>()} {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(milliseconds latency)
{
    const std::lock_guard lock{state_->mutex};
    state_->counts(latency.count());
    state_->sum_ms += latency.count();
}

void latency_histogram::render(std::string& out, std::string_view name,
                               std::string_view labels) const
{
    const std::lock_guard lock{state_->mutex};
    const auto& axis = state_->counts.axis();
    double cumulative = state_->counts.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulative += state_->counts.at(bin);
        out += std::string{name} + "_bucket{" + std::string{labels} + ",le=\"" +
               std::to_string(axis.bin(bin).upper()) + "\"} " +
               std::to_string(static_cast<std::uint64_t>(cumulative)) + "\n";
    }
    cumulative += state_->counts.at(axis.size());
    const auto total = std::to_string(static_cast<std::uint64_t>(cumulative));
    out += std::string{name} + "_bucket{" + std::string{labels} + ",le=\"+Inf\"} " + total + "\n";
    out += std::string{name} + "_sum{" + std::string{labels} + "} " +
           std::to_string(state_->sum_ms) + "\n";
    out += std::string{name} + "_count{" + std::string{labels} + "} " + total + "\n";
}

void metrics::count(reason_event event, reason_code reason)
{
    reasons_[static_cast<std::size_t>(event)][static_cast<std::size_t>(reason)].fetch_add(
        1, std::memory_order_relaxed);
}

std::uint64_t metrics::value(reason_event event, reason_code reason) const
{
    return reasons_[static_cast<std::size_t>(event)][static_cast<std::size_t>(reason)].load(
        std::memory_order_relaxed);
}

std::atomic<std::uint64_t>& metrics::counter(const std::string& name)
{
    const std::lock_guard lock{mutex_};
    auto& entry = counters_[name];
    if (!entry) {
        entry = std::make_unique<std::atomic<std::uint64_t>>(0);
    }
    return *entry;
}

latency_histogram& metrics::call_latency(std::string_view service, std::string_view priority)
{
    const std::lock_guard lock{mutex_};
    auto& entry = latencies_["service=\"" + label_value(service) + "\",priority=\"" +
                             label_value(priority) + "\""];
    if (!entry) {
        entry = std::make_unique<latency_histogram>();
    }
    return *entry;
}

std::string metrics::render() const
{
    std::string out;
    for (std::size_t event = 0; event < reason_event_count; ++event) {
        const auto name = std::string{event_metrics.name(static_cast<reason_event>(event))};
        out += "# TYPE " + name + " counter\n";
        for (std::size_t reason = 1; reason < reason_count; ++reason) {
            out += name + "{reason=\"" + std::string{to_string(static_cast<reason_code>(reason))} +
                   "\"} " +
                   std::to_string(reasons_[event][reason].load(std::memory_order_relaxed)) + "\n";
        }
    }
    const std::lock_guard lock{mutex_};
    for (const auto& [name, value] : counters_) {
        out += name + " " + std::to_string(value->load(std::memory_order_relaxed)) + "\n";
    }
    out += "# TYPE chestnutstand_call_latency_ms histogram\n";
    for (const auto& [labels, histogram] : latencies_) {
        histogram->render(out, "chestnutstand_call_latency_ms", labels);
    }
    return out;
}

} // namespace chestnutstand
