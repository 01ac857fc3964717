#include "history_checker.h"

#include <algorithm>
#include <utility>

namespace chestnutstand::history {
namespace {

constexpr name_table<rule, 5> rule_names{
    {"at_most_once", "not_run", "own_response", "unexplained_loss", "version_decreased"}};

/// Executions are matched by key and request: a refused reuse of a key is not-run although the
/// request that the key belongs to may have run. A query has no request and matches by key.
using identity = std::pair<std::string, std::string>;
using executions_by_identity = std::map<identity, std::vector<const execution_record*>>;

void check_at_most_once(const records& seen, report& result)
{
    std::map<std::string, std::size_t> runs;
    for (const auto& execution : seen.executions) {
        if (!execution.key.empty() && ++runs[execution.key] == 2) {
            result.violations.push_back(
                {rule::at_most_once, "key " + execution.key + " ran more than once"});
        }
    }
}

void check_completed(const call_record& call, const std::vector<const execution_record*>& runs,
                     report& result)
{
    const bool matches = std::any_of(runs.begin(), runs.end(), [&](const auto* run) {
        return run->end && run->start <= call.end && run->response == call.response;
    });
    if (!matches) {
        result.violations.push_back(
            {rule::own_response, "call " + call.id +
                                     " completed with a response that none of its " +
                                     std::to_string(runs.size()) + " executions gave"});
    }
}

bool is_explained(const call_record& call, const records& seen)
{
    const bool needs_death = call.reason == reason_code::executor_gone;
    return std::any_of(seen.disturbances.begin(), seen.disturbances.end(), [&](const auto& event) {
        if (event.time > call.end) {
            return false;
        }
        if (!needs_death) {
            return true;
        }
        const bool may_have_run =
            call.candidates.empty() || std::find(call.candidates.begin(), call.candidates.end(),
                                                 event.process) != call.candidates.end();
        return event.what == disturbance_record::kind::death && may_have_run;
    });
}

/// True when asking again, or earlier, would not have told the caller more.
bool is_final(reason_code reason)
{
    switch (reason) {
    case reason_code::key_running:
    case reason_code::owner_unreachable:
    case reason_code::peer_connection_lost:
    case reason_code::peer_unreachable:
    case reason_code::key_table_full:
    case reason_code::deadline_exceeded:
    // The caller asked after the lifetime of the key.
    case reason_code::key_expired:
        return false;
    default:
        return true;
    }
}

void check_unknown(const call_record& call, const records& seen, report& result)
{
    ++result.unknown_by_reason[call.reason];
    if (is_final(call.reason) && !is_explained(call, seen)) {
        result.violations.push_back(
            {rule::unexplained_loss, "call " + call.id + " is unknown with " +
                                         std::string{chestnutstand::to_string(call.reason)} +
                                         ", but no process that may have run it was disturbed"});
    }
}

void check_call(const call_record& call, const std::vector<const execution_record*>& runs,
                const records& seen, report& result)
{
    switch (call.outcome) {
    case call_outcome::completed:
        ++result.completed;
        check_completed(call, runs, result);
        return;
    case call_outcome::not_run:
        ++result.not_run;
        if (!runs.empty()) {
            result.violations.push_back(
                {rule::not_run, "call " + call.id + " was reported as not-run with " +
                                    std::string{chestnutstand::to_string(call.reason)} +
                                    ", but it ran"});
        }
        return;
    case call_outcome::unknown:
        ++result.unknown;
        check_unknown(call, seen, result);
        return;
    }
}

void check_versions(const records& seen, report& result)
{
    auto versions = seen.versions;
    std::stable_sort(versions.begin(), versions.end(),
                     [](const auto& a, const auto& b) { return a.time < b.time; });
    std::map<std::string, std::uint64_t> highest;
    for (const auto& each : versions) {
        auto& known = highest[each.node];
        if (each.version < known) {
            result.violations.push_back(
                {rule::version_decreased, "node " + each.node + " went from version " +
                                              std::to_string(known) + " to " +
                                              std::to_string(each.version)});
        }
        known = std::max(known, each.version);
    }
}

} // namespace

std::string_view to_string(rule value)
{
    return rule_names.name(value);
}

report check(const records& seen)
{
    report result;
    executions_by_identity executions;
    for (const auto& execution : seen.executions) {
        executions[{execution.key, execution.payload}].push_back(&execution);
        if (!execution.key.empty() && !execution.payload.empty()) {
            executions[{execution.key, ""}].push_back(&execution);
        }
    }
    check_at_most_once(seen, result);
    for (const auto& call : seen.calls) {
        const auto found = executions.find({call.key, call.payload});
        check_call(call,
                   found == executions.end() ? std::vector<const execution_record*>{}
                                             : found->second,
                   seen, result);
    }
    check_versions(seen, result);
    return result;
}

} // namespace chestnutstand::history
