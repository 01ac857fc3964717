#include "admin_client.h"
#include "subcommand.h"

#include "chestnutstand/config/document_parser.h"
#include "chestnutstand/config/settings_file.h"
#include "chestnutstand/support/str_cat.h"

#include <iostream>

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

/// Checks a document that its operator keeps in one record.
int check_record(const std::string& file)
{
    const auto text = read_file(file);
    if (!text.ok()) {
        return fail_with(text.status());
    }
    const auto document = parse_record(*text, file);
    if (!document.ok()) {
        return fail_with(document.status());
    }
    for (const auto& unknown : document->unknown_names) {
        std::cerr << "warning: " << unknown << '\n';
    }
    std::cout << "record is valid: version " << document->version << ", "
              << document->services.size() << " service(s), " << document->routes.size()
              << " route(s)\n";
    return exit_success;
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
    std::vector<command_option> options() override { return {}; }

    int run(const std::vector<std::string>& arguments) override
    {
        if (arguments.size() == 2 && arguments[0] == "settings") {
            return check_settings(arguments[1]);
        }
        if (arguments.size() == 2 && arguments[0] == "record") {
            return check_record(arguments[1]);
        }
        if (arguments.size() >= 2 && arguments[0] == "document") {
            return check_document({arguments.begin() + 1, arguments.end()});
        }
        return fail(exit_usage,
                    "expected check settings FILE, check document FILE... or check record FILE");
    }
};

const registration<check_command, subcommand> registered{"check"};

} // namespace
} // namespace chestnutstand
