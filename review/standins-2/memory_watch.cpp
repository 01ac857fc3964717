#include "memory_watch.h"

#include <algorithm>

namespace review {
namespace {

constexpr double restart_delay_s = 0.5;
constexpr double line_interval_s = 5.0;

} // namespace

memory_watch::memory_watch(deployment& played) : played_{played}
{
    for (const auto& added : played.machines()) {
        states_.push_back({added.get()});
    }
}

void memory_watch::enforce(const std::string& text)
{
    for (auto& looked_at : states_) {
        enforce_on(looked_at);
    }
    if (played_.log().now_s() < next_line_s_) {
        return;
    }
    next_line_s_ = played_.log().now_s() + line_interval_s;
    std::string memory;
    for (const auto& known : states_) {
        memory += " " + std::to_string(static_cast<int>(known.watched->node_memory_mib()));
    }
    played_.log().line("resident memory in MiB:" + memory + "; " + text);
}

void memory_watch::enforce_on(state& looked_at)
{
    const double now_s = played_.log().now_s();
    if (looked_at.restart_at_s > 0.0) {
        if (now_s >= looked_at.restart_at_s) {
            looked_at.restart_at_s = 0.0;
            looked_at.watched->start_node();
        }
        return;
    }
    const double memory_mib = looked_at.watched->node_memory_mib();
    looked_at.peak_mib = std::max(looked_at.peak_mib, memory_mib);
    const bool runs = looked_at.watched->node_runs();
    if (runs && memory_mib <= machine_memory_mb) {
        return;
    }
    played_.log().line(
        "node of " + looked_at.watched->address() + " beside " + looked_at.watched->service() +
        (runs ? " is killed with " + std::to_string(memory_mib) + " MiB" : " ended by itself"));
    looked_at.watched->kill_node();
    ++looked_at.ends;
    looked_at.restart_at_s = now_s + restart_delay_s;
}

int memory_watch::machines_with(int ends) const
{
    return static_cast<int>(std::count_if(
        states_.begin(), states_.end(), [ends](const auto& known) { return known.ends >= ends; }));
}

void memory_watch::summarize()
{
    for (const auto& known : states_) {
        played_.log().line("machine " + known.watched->address() + " beside " +
                           known.watched->service() + ": " + std::to_string(known.ends) +
                           " ends, peak " + std::to_string(known.peak_mib) + " MiB");
    }
}

} // namespace review
