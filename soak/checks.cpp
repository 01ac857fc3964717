#include "checks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace chestnutstand::soak {
namespace {

using violations = std::vector<violation>;

/// The node cannot respond to a request that is in transit when it closes its last connection.
constexpr double closing_ms = 100;

std::unordered_map<std::string, std::vector<const arrival_record*>>
arrivals_by_id(const run_record& record)
{
    std::unordered_map<std::string, std::vector<const arrival_record*>> result;
    for (const arrival_record& arrival : record.arrivals) {
        result[arrival.id].push_back(&arrival);
    }
    return result;
}

void check_calls(const run_record& record, violations& found)
{
    const auto arrivals = arrivals_by_id(record);
    for (const call_record& call : record.calls) {
        const auto at = arrivals.find(call.id);
        std::size_t executions = 0;
        if (at != arrivals.end()) {
            executions = static_cast<std::size_t>(
                std::count_if(at->second.begin(), at->second.end(),
                              [](const auto* arrival) { return arrival->executed; }));
        }
        if (!call.repeatable && executions > 1) {
            found.push_back({guarantee::at_most_once,
                             absl::StrCat("request ", call.id, " ran ", executions, " times")});
        }
        const bool answered = call.error == http_error::none;
        if (answered && call.status == 503 && !call.repeatable && executions > 0) {
            found.push_back({guarantee::true_refusal,
                             absl::StrCat("request ", call.id, " was refused and ran")});
        }
        if (answered && call.status == 200 && (!call.body_matches || executions == 0)) {
            found.push_back(
                {guarantee::own_answer,
                 absl::StrCat("request ", call.id, " got a response that is not its own")});
        }
    }
}

void check_stops(const run_record& record, const guarantee_limits& limits, violations& found)
{
    for (const stop_record& stop : record.stops) {
        if (stop.disturbed) {
            continue;
        }
        if (stop.exit_status != 0) {
            found.push_back({guarantee::graceful_stop,
                             absl::StrCat("node ", stop.node, " ended with ", stop.exit_status)});
        }
        for (const call_record& call : record.calls) {
            const double last = std::max(stop.time.from, stop.time.to - closing_ms);
            const bool is_covered =
                call.node == stop.node && call.time.overlaps(stop.time) && call.time.from < last;
            if (is_covered && call.error != http_error::none) {
                found.push_back({guarantee::graceful_stop,
                                 absl::StrCat("request ", call.id, " got no response from node ",
                                              stop.node, ", which stopped at ", stop.time.from)});
            }
        }
        for (const arrival_record& arrival : record.arrivals) {
            const bool is_late =
                arrival.time > stop.time.from + limits.drain_ms && arrival.time < stop.restart;
            if (limits.timing && arrival.upstream == stop.node && is_late) {
                found.push_back(
                    {guarantee::drain,
                     absl::StrCat("request ", arrival.id, " reached upstream ", arrival.upstream,
                                  " after ", arrival.time - stop.time.from, " ms of the stop")});
            }
        }
    }
}

bool is_disturbed(const run_record& record, std::size_t node, const interval& time)
{
    return std::any_of(
        record.disturbances.begin(), record.disturbances.end(),
        [&](const auto& fault) { return fault.node == node && fault.time.overlaps(time); });
}

void check_version_order(const run_record& record, violations& found)
{
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> last;
    for (const version_record& report : record.versions) {
        std::uint64_t& before = last[{report.node, report.start_count}];
        if (report.version < before) {
            found.push_back(
                {guarantee::config_order, absl::StrCat("node ", report.node, " went from version ",
                                                       before, " to ", report.version)});
        }
        before = std::max(before, report.version);
    }
}

void check_version_delay(const run_record& record, const guarantee_limits& limits,
                         violations& found)
{
    for (const publication_record& publication : record.publications) {
        const double due = publication.time + limits.config_ms;
        const interval needed{publication.time - limits.config_ms, due};
        const bool store_disturbed =
            std::any_of(record.store_disturbances.begin(), record.store_disturbances.end(),
                        [&](const interval& fault) { return fault.overlaps(needed); });
        if (store_disturbed) {
            continue;
        }
        std::map<std::size_t, const version_record*> first_after;
        for (const version_record& report : record.versions) {
            if (report.time >= due) {
                first_after.try_emplace(report.node, &report);
            }
        }
        for (const auto& [node, report] : first_after) {
            const interval watched{needed.from, report->time};
            if (report->version < publication.version && !is_disturbed(record, node, watched)) {
                found.push_back(
                    {guarantee::config_in_time,
                     absl::StrCat("node ", node, " has version ", report->version, " at ",
                                  report->time, ", version ", publication.version,
                                  " was published at ", publication.time)});
            }
        }
    }
}

void check_repeats(const run_record& record, const guarantee_limits& limits, violations& found)
{
    const auto arrivals = arrivals_by_id(record);
    std::size_t repeats = 0;
    for (const auto& [id, attempts] : arrivals) {
        repeats += attempts.size() - 1;
    }
    const double windows = (record.time.to - record.time.from) / limits.repeat_window_ms + 1;
    const double allowed = limits.repeat_ratio * static_cast<double>(record.calls.size()) +
                           limits.repeat_slack * windows;
    if (static_cast<double>(repeats) > allowed) {
        found.push_back({guarantee::repeat_budget,
                         absl::StrCat(repeats, " repeats, ", allowed, " are allowed")});
    }
}

void check_response_times(const run_record& record, const guarantee_limits& limits,
                          violations& found)
{
    const double longest = limits.time_limit_ms + limits.time_limit_slack_ms;
    for (const call_record& call : record.calls) {
        if (call.time.to - call.time.from > longest &&
            !is_disturbed(record, call.node, call.time)) {
            found.push_back({guarantee::answer_in_time,
                             absl::StrCat("request ", call.id, " to node ", call.node, " took ",
                                          call.time.to - call.time.from, " ms")});
        }
    }
}

} // namespace

std::vector<violation> check(const run_record& record, const guarantee_limits& limits)
{
    violations found;
    check_calls(record, found);
    check_stops(record, limits, found);
    check_version_order(record, found);
    check_repeats(record, limits, found);
    if (limits.timing) {
        check_version_delay(record, limits, found);
        check_response_times(record, limits, found);
    }
    if (!record.recovered) {
        found.push_back({guarantee::recovery, "a node did not serve again after the last fault"});
    }
    return found;
}

} // namespace chestnutstand::soak
