#include "admin_client.h"

namespace chestnutstand {
namespace {

class status_command : public subcommand {
public:
    std::string_view summary() const override { return "print the status of a node as JSON"; }
    std::string_view arguments() const override { return ""; }
    std::vector<command_option> options() override { return admin_.options(); }

    int run(const std::vector<std::string>& arguments) override
    {
        return arguments.empty() ? request_and_print(admin_, "GET", "/status")
                                 : fail(exit_usage, "expected no arguments");
    }

private:
    admin_client admin_;
};

class drain_command : public subcommand {
public:
    std::string_view summary() const override
    {
        return "make a node finish its calls, leave the cluster and stop";
    }
    std::string_view arguments() const override { return ""; }
    std::vector<command_option> options() override { return admin_.options(); }

    int run(const std::vector<std::string>& arguments) override
    {
        return arguments.empty() ? request_and_print(admin_, "POST", "/drain")
                                 : fail(exit_usage, "expected no arguments");
    }

private:
    admin_client admin_;
};

const registration<status_command, subcommand> registered_status{"status"};
const registration<drain_command, subcommand> registered_drain{"drain"};

} // namespace
} // namespace chestnutstand
