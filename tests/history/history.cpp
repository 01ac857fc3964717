#include "history.h"

#include <nlohmann/json.hpp>

namespace chestnutstand::history {
namespace {

using nlohmann::json;

call_record to_call(const json& line)
{
    call_record call;
    call.id = line.at("id").get<std::string>();
    call.key = line.value("key", "");
    call.payload = line.value("payload", "");
    call.start = line.at("start").get<double>();
    call.end = line.at("end").get<double>();
    const auto result = outcome_names.find(line.at("outcome").get<std::string>());
    const auto reason = reason_names.find(line.value("reason", "none"));
    if (!result || !reason) {
        throw std::invalid_argument{"unknown outcome or reason"};
    }
    call.outcome = *result;
    call.reason = *reason;
    call.response = line.value("response", "");
    call.candidates = line.value("candidates", std::vector<std::string>{});
    return call;
}

execution_record to_execution(const json& line)
{
    execution_record execution;
    execution.key = line.value("key", "");
    execution.payload = line.at("payload").get<std::string>();
    execution.start = line.at("start").get<double>();
    if (line.contains("end")) {
        execution.end = line.at("end").get<double>();
    }
    execution.response = line.value("response", "");
    return execution;
}

void add(const json& line, records& into)
{
    const auto type = line.at("type").get<std::string>();
    if (type == "call") {
        into.calls.push_back(to_call(line));
    }
    else if (type == "execution") {
        into.executions.push_back(to_execution(line));
    }
    else if (type == "death" || type == "fault") {
        using kind = disturbance_record::kind;
        into.disturbances.push_back({type == "death" ? kind::death : kind::fault,
                                     line.at("process").get<std::string>(),
                                     line.at("time").get<double>()});
    }
    else if (type == "version") {
        into.versions.push_back({line.at("node").get<std::string>(), line.at("time").get<double>(),
                                 line.at("version").get<std::uint64_t>()});
    }
    else {
        throw std::invalid_argument{"unknown type " + type};
    }
}

} // namespace

absl::Status read(std::istream& lines, records& into)
{
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        if (line.empty()) {
            continue;
        }
        try {
            add(json::parse(line), into);
        }
        catch (const std::exception& error) {
            return absl::InvalidArgumentError("line " + std::to_string(number) + ": " +
                                              error.what());
        }
    }
    return absl::OkStatus();
}

} // namespace chestnutstand::history
