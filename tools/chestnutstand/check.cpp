#include "admin_client.h"
#include "subcommand.h"

#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/config/document_review.h"
#include "chestnutstand/config/settings_file.h"
#include "chestnutstand/support/str_cat.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace chestnutstand {
namespace {

int check_settings(const std::string& file)
{
    const auto loaded = load_settings(file);
    if (!loaded.ok()) {
        return fail_with(loaded.status());
    }
    std::cout << file << ": settings are valid\n";
    return exit_success;
}

/// Checks the files as one document; each file contains one section.
int check_document(const std::vector<std::string>& files)
{
    std::vector<section> sections;
    for (const auto& file : files) {
        auto text = read_file(file);
        if (!text.ok()) {
            return fail_with(text.status());
        }
        sections.push_back({file, "", 1, *std::move(text)});
    }
    const auto document = parse_document(sections);
    if (!document.ok()) {
        return fail_with(document.status());
    }
    std::cout << "document is valid: " << sections.size() << " section(s), "
              << document->services.size() << " service(s)\n";
    return exit_success;
}

struct record_options {
    std::string against;
    std::uint32_t nodes = 1;
    bool json = false;
};

/// What is known about a record and its differences from the one in force.
struct record_report {
    document reviewed;
    std::vector<document_finding> findings;
    std::vector<document_difference> differences;
};

absl::StatusOr<document> read_record(const std::string& file)
{
    const auto text = read_file(file);
    return text.ok() ? parse_record(*text, file) : text.status();
}

/// What nodes take from a record in another way than it is written.
std::vector<std::string> warnings_about(const document& reviewed)
{
    std::vector<std::string> warnings = reviewed.tolerated.unknown_names;
    const auto& adjusted = reviewed.tolerated.adjusted;
    warnings.insert(warnings.end(), adjusted.begin(), adjusted.end());
    return warnings;
}

void print_json(const record_report& report)
{
    auto findings = nlohmann::json::array();
    for (const auto& found : report.findings) {
        findings.push_back({{"kind", finding_kind_names.name(found.kind)},
                            {"entry", found.entry},
                            {"text", found.text}});
    }
    auto differences = nlohmann::json::array();
    for (const auto& changed : report.differences) {
        differences.push_back({{"entry", changed.entry}, {"text", changed.text}});
    }
    const nlohmann::json printed{{"version", report.reviewed.version},
                                 {"errors", report.reviewed.tolerated.left_out},
                                 {"findings", std::move(findings)},
                                 {"warnings", warnings_about(report.reviewed)},
                                 {"differences", std::move(differences)}};
    std::cout << printed.dump(2) << '\n';
}

void print_text(const record_report& report)
{
    for (const auto& warning : warnings_about(report.reviewed)) {
        std::cerr << "warning: " << warning << '\n';
    }
    for (const auto& found : report.findings) {
        std::cout << finding_kind_names.name(found.kind) << ": " << found.entry << ": "
                  << found.text << '\n';
    }
    for (const auto& changed : report.differences) {
        std::cout << "changed: " << changed.entry << ": " << changed.text << '\n';
    }
    const document& reviewed = report.reviewed;
    for (const auto& damaged : reviewed.tolerated.left_out) {
        std::cerr << "error: " << damaged << '\n';
    }
    std::cout << (reviewed.tolerated.left_out.empty() ? "record is valid" : "record is damaged")
              << ": version " << reviewed.version << ", " << reviewed.services.size()
              << " service(s), " << reviewed.routes.size() << " route(s), "
              << reviewed.tenants.size() << " tenant(s), " << report.findings.size()
              << " finding(s)\n";
}

/// Reports a record that cannot be read.
int fail_unreadable(const absl::Status& status, bool json)
{
    const std::string message{status.message()};
    if (json) {
        const nlohmann::json printed{{"errors", {message}}};
        std::cout << printed.dump(2) << '\n';
    }
    return fail(exit_invalid_input, message);
}

/// Checks a document that its operator keeps in one record.
int check_record(const std::string& file, const record_options& options)
{
    auto reviewed = read_record(file);
    if (!reviewed.ok()) {
        return fail_unreadable(reviewed.status(), options.json);
    }
    record_report report;
    report.findings = review_document(*reviewed, options.nodes);
    if (!options.against.empty()) {
        const auto in_force = read_record(options.against);
        if (!in_force.ok()) {
            return fail_unreadable(in_force.status(), options.json);
        }
        for (auto& found : review_succession(*reviewed, *in_force)) {
            report.findings.push_back(std::move(found));
        }
        report.differences = compare_documents(*reviewed, *in_force);
    }
    report.reviewed = *std::move(reviewed);
    if (options.json) {
        print_json(report);
    }
    else {
        print_text(report);
    }
    if (!report.reviewed.tolerated.left_out.empty()) {
        return exit_invalid_input;
    }
    return report.findings.empty() ? exit_success : exit_failed;
}

class check_command : public subcommand {
public:
    std::string_view summary() const override
    {
        return "check a settings file, files with one section of the document each, or a record";
    }
    std::string_view arguments() const override
    {
        return "settings FILE | document FILE... | record FILE";
    }
    std::vector<command_option> options() override
    {
        return {{"against", "FILE", "record in force, to show what changes", &against_},
                {"nodes", "COUNT", "nodes of the deployment, to check quotas; default 1", &nodes_},
                {"json", "", "print the report on a record as JSON", &json_}};
    }

    int run(const std::vector<std::string>& arguments) override
    {
        const bool is_record = arguments.size() == 2 && arguments[0] == "record";
        const bool has_options = !against_.empty() || !nodes_.empty() || !json_.empty();
        record_options options{against_, 1, !json_.empty()};
        if (!nodes_.empty() && (!absl::SimpleAtoi(nodes_, &options.nodes) || options.nodes == 0)) {
            return fail(exit_usage, "expected a number of at least 1 for --nodes");
        }
        if (has_options && !is_record) {
            return fail(exit_usage, "--against, --nodes and --json are only for check record FILE");
        }
        if (arguments.size() == 2 && arguments[0] == "settings") {
            return check_settings(arguments[1]);
        }
        if (is_record) {
            return check_record(arguments[1], options);
        }
        if (arguments.size() >= 2 && arguments[0] == "document") {
            return check_document({arguments.begin() + 1, arguments.end()});
        }
        return fail(exit_usage,
                    "expected check settings FILE, check document FILE... or check record FILE");
    }

private:
    std::string against_;
    std::string nodes_;
    std::string json_;
};

const registration<check_command, subcommand> registered{"check"};

} // namespace
} // namespace chestnutstand
