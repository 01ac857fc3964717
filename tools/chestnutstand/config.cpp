#include "admin_client.h"

#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/config/settings_file.h"
#include "chestnutstand/support/str_cat.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>
#include <optional>
#include <random>

namespace chestnutstand {
namespace {

using nlohmann::json;

std::string random_change_id()
{
    std::random_device entropy;
    std::string id;
    for (int i = 0; i < 4; ++i) {
        id += absl::StrCat(absl::Hex(entropy(), absl::kZeroPad8));
    }
    return id;
}

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = error == std::errc{} && end == text.data() + text.size();
    return is_number ? std::optional{value} : std::nullopt;
}

/// Publishes a change of one section, or shows the document.
class config_command : public subcommand {
public:
    std::string_view summary() const override
    {
        return "publish a change of one section of the document, or show the document";
    }
    std::string_view arguments() const override { return "publish FILE | show"; }
    std::vector<command_option> options() override
    {
        auto all_options = admin_.options();
        all_options.push_back(
            {"section", "NAME", "section to publish, or to show alone", &section_});
        all_options.push_back({"team", "NAME", "publish: the author's team", &team_});
        all_options.push_back({"base-version", "N",
                               "publish: version of the section that was edited, 0 for a new one",
                               &base_version_});
        all_options.push_back({"change-id", "ID",
                               "publish: id of an earlier attempt, to retry it safely",
                               &change_id_});
        return all_options;
    }

    int run(const std::vector<std::string>& arguments) override
    {
        if (arguments.size() == 1 && arguments[0] == "show") {
            return show();
        }
        if (arguments.size() == 2 && arguments[0] == "publish") {
            return publish(arguments[1]);
        }
        return fail(exit_usage, "expected config publish FILE or config show");
    }

private:
    int show();
    int print_sections(const json& state) const;
    int publish(const std::string& file);
    int send(const json& change);

    admin_client admin_;
    std::string section_;
    std::string team_;
    std::string base_version_;
    std::string change_id_;
};

int config_command::show()
{
    if (auto status = admin_.resolve(); !status.ok()) {
        return fail_with(status);
    }
    const auto response = admin_.request("GET", "/config");
    if (!response.ok()) {
        return fail_with(response.status());
    }
    const json state = json::parse(response->body, nullptr, false);
    if (!state.is_object() || !state.contains("sections")) {
        return fail(exit_failed, str_cat("the node responded with status ", response->status));
    }
    return print_sections(state);
}

/// The header of each section is a comment, so that the output for one section can be edited and
/// published.
int config_command::print_sections(const json& state) const
{
    bool found = section_.empty();
    if (found) {
        std::cout << "// document version " << state.value("version", std::uint64_t{0}) << '\n';
    }
    for (const auto& section : state["sections"]) {
        if (!section_.empty() && section.value("section", "") != section_) {
            continue;
        }
        found = true;
        std::cout << "// section " << section.value("section", "") << ", version "
                  << section.value("version", std::uint64_t{0}) << ", owner "
                  << section.value("owner", "") << '\n'
                  << section.value("content", "") << '\n';
    }
    return found ? exit_success : fail(exit_failed, str_cat("no section named ", section_));
}

int config_command::publish(const std::string& file)
{
    const auto base_version = to_number(base_version_);
    if (section_.empty() || team_.empty() || !base_version) {
        return fail(exit_usage, "expected --section NAME, --team NAME and --base-version N");
    }
    const auto content = read_file(file);
    if (!content.ok()) {
        return fail_with(content.status());
    }
    if (const auto parsed = parse_section(*content, file); !parsed.ok()) {
        return fail_with(parsed.status());
    }
    if (auto status = admin_.resolve(); !status.ok()) {
        return fail_with(status);
    }
    if (change_id_.empty()) {
        change_id_ = random_change_id();
    }
    return send({{"change_id", change_id_},
                 {"team", team_},
                 {"section", section_},
                 {"base_version", *base_version},
                 {"content", *content}});
}

int config_command::send(const json& change)
{
    const auto retry_hint = str_cat("; retry with --change-id ", change_id_);
    const auto response = admin_.request("POST", "/config/changes", change.dump());
    if (!response.ok()) {
        return fail(exit_failed, str_cat(std::string{response.status().message()}, retry_hint));
    }
    const json verdict = json::parse(response->body, nullptr, false);
    if (!verdict.is_object() || !verdict.contains("accepted")) {
        const auto error = verdict.is_object() ? verdict.value("error", "") : response->body.str();
        return fail(exit_failed, str_cat("no verdict on the change: ", error, retry_hint));
    }
    if (!verdict.value("accepted", false)) {
        return fail(exit_failed, str_cat("change rejected: ", verdict.value("explanation", "")));
    }
    std::cout << "accepted, version " << verdict.value("version", std::uint64_t{0}) << '\n';
    return exit_success;
}

const registration<config_command, subcommand> registered{"config"};

} // namespace
} // namespace chestnutstand
