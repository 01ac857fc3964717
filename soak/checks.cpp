#include "checks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace chestnutstand::soak {
namespace {

using violations = std::vector<violation>;

/// A request that is on its way when the last connection closes cannot be answered.
constexpr double closing_ms = 100;

std::unordered_map<std::string, std::vector<const arrival_record*>>
arrivals_by_id(const run_record& seen)
{
    std::unordered_map<std::string, std::vector<const arrival_record*>> result;
    for (const arrival_record& each : seen.arrivals) {
        result[each.id].push_back(&each);
    }
    return result;
}

void check_calls(const run_record& seen, violations& found)
{
    const auto arrivals = arrivals_by_id(seen);
    for (const call_record& call : seen.calls) {
        const auto at = arrivals.find(call.id);
        std::size_t runs = 0;
        if (at != arrivals.end()) {
            runs = static_cast<std::size_t>(std::count_if(
                at->second.begin(), at->second.end(), [](const auto* each) { return each->runs; }));
        }
        if (!call.repeatable && runs > 1) {
            found.push_back({promise::at_most_once,
                             absl::StrCat("request ", call.id, " ran ", runs, " times")});
        }
        const bool answered = call.error == http_error::none;
        if (answered && call.status == 503 && !call.repeatable && runs > 0) {
            found.push_back(
                {promise::true_refusal, absl::StrCat("request ", call.id, " was refused and ran")});
        }
        if (answered && call.status == 200 && (!call.own_body || runs == 0)) {
            found.push_back({promise::own_answer,
                             absl::StrCat("request ", call.id, " has an answer of another one")});
        }
    }
}

void check_stops(const run_record& seen, const promise_limits& limits, violations& found)
{
    for (const stop_record& stop : seen.stops) {
        if (stop.disturbed) {
            continue;
        }
        if (stop.exit_status != 0) {
            found.push_back({promise::graceful_stop,
                             absl::StrCat("node ", stop.node, " ended with ", stop.exit_status)});
        }
        for (const call_record& call : seen.calls) {
            const double last = std::max(stop.time.from, stop.time.to - closing_ms);
            const bool concerned =
                call.node == stop.node && call.time.meets(stop.time) && call.time.from < last;
            if (concerned && call.error != http_error::none) {
                found.push_back({promise::graceful_stop,
                                 absl::StrCat("request ", call.id, " got no answer from node ",
                                              stop.node, ", which stopped at ", stop.time.from)});
            }
        }
        for (const arrival_record& arrival : seen.arrivals) {
            const bool late =
                arrival.time > stop.time.from + limits.drain_ms && arrival.time < stop.restart;
            if (limits.timing && arrival.upstream == stop.node && late) {
                found.push_back(
                    {promise::drain,
                     absl::StrCat("request ", arrival.id, " reached upstream ", arrival.upstream,
                                  " after ", arrival.time - stop.time.from, " ms of the stop")});
            }
        }
    }
}

bool is_disturbed(const run_record& seen, std::size_t node, const interval& time)
{
    return std::any_of(seen.disturbances.begin(), seen.disturbances.end(), [&](const auto& each) {
        return each.node == node && each.time.meets(time);
    });
}

void check_order_of_versions(const run_record& seen, violations& found)
{
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> last;
    for (const version_record& each : seen.versions) {
        std::uint64_t& before = last[{each.node, each.life}];
        if (each.version < before) {
            found.push_back(
                {promise::config_order, absl::StrCat("node ", each.node, " went from version ",
                                                     before, " to ", each.version)});
        }
        before = std::max(before, each.version);
    }
}

void check_time_of_versions(const run_record& seen, const promise_limits& limits, violations& found)
{
    for (const publication_record& published : seen.publications) {
        const double due = published.time + limits.config_ms;
        const interval needed{published.time - limits.config_ms, due};
        const bool store_disturbed =
            std::any_of(seen.store_disturbances.begin(), seen.store_disturbances.end(),
                        [&](const interval& each) { return each.meets(needed); });
        if (store_disturbed) {
            continue;
        }
        std::map<std::size_t, const version_record*> first_after;
        for (const version_record& each : seen.versions) {
            if (each.time >= due) {
                first_after.try_emplace(each.node, &each);
            }
        }
        for (const auto& [node, report] : first_after) {
            const interval watched{needed.from, report->time};
            if (report->version < published.version && !is_disturbed(seen, node, watched)) {
                found.push_back({promise::config_in_time,
                                 absl::StrCat("node ", node, " has version ", report->version,
                                              " at ", report->time, ", version ", published.version,
                                              " was published at ", published.time)});
            }
        }
    }
}

void check_repeats(const run_record& seen, const promise_limits& limits, violations& found)
{
    const auto arrivals = arrivals_by_id(seen);
    std::size_t repeats = 0;
    for (const auto& [id, each] : arrivals) {
        repeats += each.size() - 1;
    }
    const double windows = (seen.time.to - seen.time.from) / limits.repeat_window_ms + 1;
    const double allowed = limits.repeat_ratio * static_cast<double>(seen.calls.size()) +
                           limits.repeat_slack * windows;
    if (static_cast<double>(repeats) > allowed) {
        found.push_back(
            {promise::repeat_budget, absl::StrCat(repeats, " repeats, ", allowed, " are allowed")});
    }
}

void check_waiting(const run_record& seen, const promise_limits& limits, violations& found)
{
    const double longest = limits.time_limit_ms + limits.time_limit_slack_ms;
    for (const call_record& call : seen.calls) {
        if (call.time.to - call.time.from > longest && !is_disturbed(seen, call.node, call.time)) {
            found.push_back({promise::answer_in_time,
                             absl::StrCat("request ", call.id, " to node ", call.node, " took ",
                                          call.time.to - call.time.from, " ms")});
        }
    }
}

} // namespace

std::vector<violation> check(const run_record& seen, const promise_limits& limits)
{
    violations found;
    check_calls(seen, found);
    check_stops(seen, limits, found);
    check_order_of_versions(seen, found);
    check_repeats(seen, limits, found);
    if (limits.timing) {
        check_time_of_versions(seen, limits, found);
        check_waiting(seen, limits, found);
    }
    if (!seen.recovered) {
        found.push_back({promise::recovery, "a node did not serve again after the last fault"});
    }
    return found;
}

} // namespace chestnutstand::soak
