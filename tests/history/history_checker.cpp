#include "history_checker.h"

#include <algorithm>
#include <utility>

namespace chestnutstand::history {
namespace {

constexpr name_table<rule, 5> rule_names{
    {"at_most_once", "not_run", "own_response", "unexplained_loss", "version_decreased"}};

/// Executions are matched by key and payload: a call that is refused because its key belongs to
/// another request is not-run, although that other request may have run. A query has no payload
/// and matches by key.
using identity = std::pair<std::string, std::string>;
using executions_by_identity = std::map<identity, std::vector<const execution_record*>>;

void check_at_most_once(const records& recorded, report& result)
{
    std::map<std::string, std::size_t> executions_by_key;
    for (const auto& execution : recorded.executions) {
        if (!execution.key.empty() && ++executions_by_key[execution.key] == 2) {
            result.violations.push_back(
                {rule::at_most_once, "key " + execution.key + " ran more than once"});
        }
    }
}

void check_completed(const call_record& call,
                     const std::vector<const execution_record*>& executions, report& result)
{
    const bool matches =
        std::any_of(executions.begin(), executions.end(), [&](const auto* execution) {
            return execution->end && execution->start <= call.end &&
                   execution->response == call.response;
        });
    if (!matches) {
        result.violations.push_back(
            {rule::own_response, "call " + call.id +
                                     " completed with a response that none of its " +
                                     std::to_string(executions.size()) + " executions gave"});
    }
}

bool is_explained(const call_record& call, const records& recorded)
{
    const bool needs_death = call.reason == reason_code::executor_gone;
    return std::any_of(
        recorded.disturbances.begin(), recorded.disturbances.end(), [&](const auto& disturbance) {
            if (disturbance.time > call.end) {
                return false;
            }
            if (!needs_death) {
                return true;
            }
            const bool may_have_run =
                call.candidates.empty() || std::find(call.candidates.begin(), call.candidates.end(),
                                                     disturbance.process) != call.candidates.end();
            return disturbance.type == disturbance_record::kind::death && may_have_run;
        });
}

/// Returns whether the outcome is final: querying the key again, or earlier, would not have given
/// the caller a more definite one.
bool is_final(reason_code reason)
{
    switch (reason) {
    case reason_code::key_running:
    case reason_code::owner_unreachable:
    case reason_code::peer_connection_lost:
    case reason_code::peer_unreachable:
    case reason_code::key_table_full:
    case reason_code::deadline_exceeded:
    // The caller queried the key after its lifetime.
    case reason_code::key_expired:
        return false;
    default:
        return true;
    }
}

void check_unknown(const call_record& call, const records& recorded, report& result)
{
    ++result.unknown_by_reason[call.reason];
    if (is_final(call.reason) && !is_explained(call, recorded)) {
        result.violations.push_back(
            {rule::unexplained_loss, "call " + call.id + " is unknown with " +
                                         std::string{chestnutstand::to_string(call.reason)} +
                                         ", but no process that may have run it was disturbed"});
    }
}

void check_call(const call_record& call, const std::vector<const execution_record*>& executions,
                const records& recorded, report& result)
{
    switch (call.outcome) {
    case call_outcome::completed:
        ++result.completed;
        check_completed(call, executions, result);
        return;
    case call_outcome::not_run:
        ++result.not_run;
        if (!executions.empty()) {
            result.violations.push_back(
                {rule::not_run, "call " + call.id + " was reported as not-run with " +
                                    std::string{chestnutstand::to_string(call.reason)} +
                                    ", but it ran"});
        }
        return;
    case call_outcome::unknown:
        ++result.unknown;
        check_unknown(call, recorded, result);
        return;
    }
}

void check_versions(const records& recorded, report& result)
{
    auto versions = recorded.versions;
    std::stable_sort(versions.begin(), versions.end(),
                     [](const auto& a, const auto& b) { return a.time < b.time; });
    std::map<std::string, std::uint64_t> highest_by_node;
    for (const auto& record : versions) {
        auto& highest_version = highest_by_node[record.node];
        if (record.version < highest_version) {
            result.violations.push_back(
                {rule::version_decreased, "node " + record.node + " went from version " +
                                              std::to_string(highest_version) + " to " +
                                              std::to_string(record.version)});
        }
        highest_version = std::max(highest_version, record.version);
    }
}

} // namespace

std::string_view to_string(rule value)
{
    return rule_names.name(value);
}

report check(const records& recorded)
{
    report result;
    executions_by_identity executions;
    for (const auto& execution : recorded.executions) {
        executions[{execution.key, execution.payload}].push_back(&execution);
        if (!execution.key.empty() && !execution.payload.empty()) {
            executions[{execution.key, ""}].push_back(&execution);
        }
    }
    check_at_most_once(recorded, result);
    for (const auto& call : recorded.calls) {
        const auto matching = executions.find({call.key, call.payload});
        check_call(call,
                   matching == executions.end() ? std::vector<const execution_record*>{}
                                                : matching->second,
                   recorded, result);
    }
    check_versions(recorded, result);
    return result;
}

} // namespace chestnutstand::history
