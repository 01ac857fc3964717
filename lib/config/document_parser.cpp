#include "chestnutstand/config/document_parser.h"

#include "schema.h"

#include "chestnutstand/support/str_cat.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <map>

namespace chestnutstand {
namespace {

constexpr schema::text_format name_format{"1 to 64 letters, digits, '.', '_' or '-'",
                                          is_valid_name};

const schema::object_schema<priority_config>& priority_keys()
{
    static const schema::object_schema<priority_config> keys{
        schema::required(schema::text("name", name_format, &priority_config::name)),
        schema::number("latency_target_ms", "ms", {1, 600'000}, &priority_config::latency_target),
        schema::number("weight", "", {0.001, 1'000}, &priority_config::weight),
        schema::flag("idempotent", &priority_config::idempotent),
    };
    return keys;
}

const schema::object_schema<service_config>& service_keys()
{
    const auto as_text = [](const std::string& name) { return name; };
    static const schema::object_schema<service_config> keys{
        schema::required(schema::text("name", name_format, &service_config::name)),
        schema::required(schema::named_list("priorities", {1, 16}, priority_keys(),
                                            &service_config::priorities)),
        schema::number("reserve", "", {0, 1}, &service_config::reserve),
        schema::number("probe_budget_per_s", "1/s", {0, 100}, &service_config::probe_budget_per_s),
        schema::number("retry_ratio", "", {0, 1}, &service_config::retry_ratio),
        schema::integer("queue_limit_per_priority", "requests", {1, 100'000},
                        &service_config::queue_limit_per_priority),
        schema::choice(
            "balancing_policy",
            {"two_choices", "two_choices_stale", "least_outstanding", "round_robin", "random"}, 0,
            &service_config::balancing_policy, as_text),
    };
    return keys;
}

const schema::object_schema<section_content>& section_keys()
{
    static const schema::object_schema<section_content> keys{
        schema::required(schema::text("owner", name_format, &section_content::owner)),
        schema::required(
            schema::named_list("services", {0, 1'000}, service_keys(), &section_content::services)),
    };
    return keys;
}

} // namespace

const priority_config* service_config::find_priority(std::string_view priority) const
{
    const auto found = std::find_if(priorities.begin(), priorities.end(),
                                    [&](const auto& each) { return each.name == priority; });
    return found == priorities.end() ? nullptr : &*found;
}

const service_config* document::find_service(std::string_view service) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const auto& each) { return each.name == service; });
    return found == services.end() ? nullptr : &*found;
}

bool is_valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
           });
}

absl::StatusOr<section_content> parse_section(std::string_view content, std::string_view source)
{
    const json_location top{std::string{source}, ""};
    if (content.size() > max_section_bytes) {
        return invalid_value(
            top, str_cat("expected at most ", max_section_bytes, " bytes, found ", content.size()));
    }
    const auto value = parse_json(content, source);
    if (!value.ok()) {
        return value.status();
    }
    section_content result;
    if (auto status = schema::read_object(section_keys(), *value, top, result); !status.ok()) {
        return status;
    }
    return result;
}

absl::StatusOr<document> parse_document(const std::vector<section>& sections)
{
    if (sections.empty()) {
        return absl::FailedPreconditionError("the document has no section yet");
    }
    document result;
    std::map<std::string, std::string> declared_in;
    std::size_t bytes = 0;
    for (const auto& each : sections) {
        auto content = parse_section(each.content, str_cat("section ", each.name));
        if (!content.ok()) {
            return content.status();
        }
        bytes += each.content.size();
        result.version = std::max(result.version, each.version);
        for (auto& service : content->services) {
            const auto [first, is_new] = declared_in.emplace(service.name, each.name);
            if (!is_new) {
                return absl::InvalidArgumentError(str_cat(
                    "section ", each.name, ": services: expected a service that no other section ",
                    "declares, found ", service.name, ", which section ", first->second,
                    " declares"));
            }
            result.services.push_back(std::move(service));
        }
    }
    if (bytes > max_document_bytes) {
        return absl::InvalidArgumentError(str_cat("expected a document of at most ",
                                                  max_document_bytes, " bytes, found ", bytes));
    }
    return result;
}

std::vector<key_description> describe_section()
{
    return schema::describe(section_keys());
}

} // namespace chestnutstand
