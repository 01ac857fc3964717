#include "../../unittests/transport/invalid_status.h"
#include "../../unittests/transport/raw_socket.h"
#include "../support/fleet.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/wait.h>
#include <thread>

namespace chestnutstand::testing {
namespace {

struct command_result {
    int status = -1;
    std::string output;
};

command_result run(const std::string& arguments)
{
    const std::string command = std::string{CHESTNUTSTAND_PROGRAM} + " " + arguments + " 2>&1";
    command_result result;
    FILE* pipe = ::popen(command.c_str(), "r");
    std::array<char, 4096> buffer{};
    for (std::size_t size = 0; (size = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
        result.output.append(buffer.data(), size);
    }
    const int status = ::pclose(pipe);
    result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

class command_line : public ::testing::Test {
protected:
    void SetUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "command-XXXXXX").string();
        directory_ = ::mkdtemp(name.data());
    }
    void TearDown() override { std::filesystem::remove_all(directory_); }

    std::string write_file(const std::string& name, const std::string& text) const
    {
        const auto path = directory_ / name;
        std::ofstream{path} << text;
        return path.string();
    }

    std::filesystem::path directory_;
};

// Guards against a subcommand without --help or --version, or one that exits with an error there.
TEST_F(command_line, every_subcommand_has_help_and_version)
{
    EXPECT_EQ(run("--help").status, 0);
    EXPECT_EQ(run("--version").output.rfind("chestnutstand ", 0), 0U);
    for (const std::string name : {"node", "check", "config", "status", "drain"}) {
        const auto help = run(name + " --help");
        EXPECT_EQ(help.status, 0) << name;
        EXPECT_EQ(help.output.rfind("usage: chestnutstand " + name, 0), 0U) << help.output;
        EXPECT_EQ(run(name + " --version").status, 0) << name;
    }
}

// Guards against a trace that misses lines of the request, prints lines of another request, or is
// not sorted by time.
TEST_F(command_line, trace_prints_the_lines_of_one_request_in_order)
{
    const auto first_file = write_file(
        "a.log",
        R"(node-a {"time_ms":120,"message":"call answered","request_id":"r1","reason":"none"}
node-a {"time_ms":105,"message":"call answered","request_id":"r2","reason":"none"}
not a log line about r1
)");
    const auto second_file = write_file(
        "b.log", R"({"time_ms":110,"message":"call executed","request_id":"r1","run_ms":8.5}
{"time_ms":100,"message":"call refused","request_id":"r10"}
)");
    const auto traced = run("trace r1 " + first_file + " " + second_file);
    EXPECT_EQ(traced.status, 0);
    const auto executed = traced.output.find("+0 ms  " + second_file + "  call executed");
    const auto answered = traced.output.find("+10 ms  node-a   call answered");
    ASSERT_NE(executed, std::string::npos) << traced.output;
    ASSERT_NE(answered, std::string::npos) << traced.output;
    EXPECT_LT(executed, answered);
    EXPECT_NE(traced.output.find("run_ms: 8.5"), std::string::npos);
    EXPECT_EQ(traced.output.find("call refused"), std::string::npos);
    EXPECT_EQ(run("trace r3 " + first_file).status, 1);
    EXPECT_EQ(run("trace r1 " + (directory_ / "none.log").string()).status, 1);
    EXPECT_EQ(run("trace r1").status, 2);
}

// Guards against usage errors with the exit status of a failed command.
TEST_F(command_line, usage_errors_exit_with_2)
{
    EXPECT_EQ(run("").status, 2);
    EXPECT_EQ(run("unknown").output,
              "chestnutstand: unknown subcommand: unknown; see chestnutstand --help\n");
    EXPECT_EQ(run("check --colour").output,
              "chestnutstand: unknown option: --colour; see chestnutstand check --help\n");
    EXPECT_EQ(run("check settings").status, 2);
    EXPECT_EQ(run("status").output, "chestnutstand: expected --admin URL or --settings FILE\n");
    EXPECT_EQ(run("status").status, 2);
    EXPECT_EQ(run("config publish file").status, 2);
}

// Guards against invalid input that is accepted, or rejected with a message that does not name the
// file, the key and the expected value.
TEST_F(command_line, check_names_file_key_and_expected_value)
{
    const auto settings = write_file("node.json", R"({"data_centre": "garia", "admin_prot": 1,
        "log_url": "http://127.0.0.1:1", "cluster_secret": "0123456789abcdef"})");
    const auto refused = run("check settings " + settings);
    EXPECT_EQ(refused.status, 3);
    EXPECT_EQ(refused.output.rfind("chestnutstand: " + settings +
                                       ": admin_prot: unknown key, expected one of address, ",
                                   0),
              0U)
        << refused.output;
    const auto valid = write_file("a.json", R"({"owner": "t", "services": [
        {"name": "s", "priorities": [{"name": "p"}]}]})");
    EXPECT_EQ(run("check document " + valid).status, 0);
    const auto duplicate = write_file("b.json", R"({"owner": "t", "services": [
        {"name": "s", "priorities": [{"name": "p"}]}]})");
    EXPECT_EQ(run("check document " + valid + " " + duplicate).status, 3);
    EXPECT_EQ(run("check settings " + (directory_ / "missing").string()).status, 1);
    const auto record = write_file("record.json", R"({"version": 4, "services": [{"name": "s"}],
        "routes": [{"name": "r", "host": "h", "service": "s", "kind": "later"}]})");
    const auto accepted = run("check record " + record);
    EXPECT_EQ(accepted.status, 0);
    EXPECT_NE(accepted.output.find("warning: " + record + ": routes[0].kind: expected one of "),
              std::string::npos)
        << accepted.output;
    EXPECT_EQ(run("check record " + valid).status, 3);
}

// Guards against scripts that send a record with a fault, and against keys of tenants in their
// output.
TEST_F(command_line, check_record_reports_findings_and_differences_without_keys)
{
    const auto in_force = write_file("in_force.json", R"({"version": 4, "services": [{"name": "s"}],
        "routes": [{"name": "r", "host": "h", "service": "s"}],
        "tenants": [{"name": "t", "keys": ["secret-1"]}]})");
    const auto clean = write_file("clean.json", R"({"version": 5, "services": [{"name": "s"}],
        "routes": [{"name": "r", "host": "h", "service": "s", "attempts": 2}],
        "tenants": [{"name": "t", "keys": ["secret-1", "secret-2"]}]})");
    const auto faulty = write_file("faulty.json", R"({"version": 5, "services": [{"name": "s"}],
        "routes": [{"name": "r", "host": "h", "service": "s"}],
        "tenants": [{"name": "t", "keys": ["secret-1"]}, {"name": "u", "keys": ["secret-1"]}]})");
    const auto invalid = write_file("invalid.json", R"({"version": 5, "services": [{"name": "s"}],
        "routes": [], "tenants": [{"name": "t", "keys": "secret-1"}]})");
    const auto cut = write_file("cut.json", R"({"version": 5, "tenants": [{"keys": ["secret-1)");
    const auto accepted = run("check record " + clean + " --against " + in_force);
    EXPECT_EQ(accepted.status, 0);
    EXPECT_NE(accepted.output.find("changed: route r (h/): attempts 1 -> 2"), std::string::npos);
    EXPECT_NE(accepted.output.find("changed: tenant t: keys: 1 added, 0 removed"),
              std::string::npos);
    const auto found = run("check record " + faulty + " --json --against " + in_force);
    EXPECT_EQ(found.status, 1);
    EXPECT_NE(found.output.find("\"contradiction\""), std::string::npos);
    EXPECT_EQ(run("check record " + in_force + " --against " + in_force).status, 1);
    EXPECT_EQ(run("check record " + clean + " --nodes none").status, 2);
    EXPECT_EQ(run("check settings " + clean + " --json").status, 2);
    const auto refused = run("check record " + invalid);
    EXPECT_EQ(refused.status, 3);
    const auto unreadable = run("check record " + cut);
    EXPECT_EQ(unreadable.status, 3);
    EXPECT_EQ(run("check record " + (directory_ / "missing").string()).status, 3);
    for (const auto& each : {accepted, found, refused, unreadable}) {
        EXPECT_EQ(each.output.find("secret"), std::string::npos) << each.output;
    }
}

// Guards against a status of a node that is taken from a response without a valid status.
TEST_F(command_line, refuses_an_invalid_status_of_the_admin_port)
{
    const auto exit_status_for = [](const std::string& status) {
        const auto listener = raw_socket::listen_on_loopback();
        std::thread server{[&] {
            const auto connection = listener.accept();
            connection.receive_until_text("\r\n\r\n");
            connection.send(response_with_status(status, "{}"));
        }};
        const auto result =
            run("status --admin http://127.0.0.1:" + std::to_string(listener.port()));
        server.join();
        return result.status;
    };
    for (const std::string& status : invalid_statuses) {
        EXPECT_EQ(exit_status_for(status), 1) << status;
    }
    EXPECT_EQ(exit_status_for("200"), 0);
}

// Guards against an unreachable node being reported as success or as a usage error.
TEST_F(command_line, unreachable_node_exits_with_1)
{
    // Port 1 is reserved; no process listens on it.
    const auto result = run("status --admin http://127.0.0.1:1");
    EXPECT_EQ(result.status, 1);
    EXPECT_EQ(result.output, "chestnutstand: no answer from the node at http://127.0.0.1:1: "
                             "connection refused\n");
}

// Guards against publish, show, status and drain commands that have a wrong effect or a wrong exit
// status on a running node.
TEST_F(command_line, operates_a_node)
{
    fleet test_fleet;
    auto& node = test_fleet.add("east", "");
    const auto admin = " --admin http://127.0.0.1:" + std::to_string(node.admin_port);
    const auto file = write_file("main.json", section_content("platform", {"alpha"}));
    const auto publish = "config publish " + file + admin + " --section main";

    auto result = run(publish + " --team platform --base-version 0");
    EXPECT_EQ(result.status, 0) << result.output;
    EXPECT_EQ(result.output, "accepted, version 1\n");
    result = run(publish + " --team intruders --base-version 1");
    EXPECT_EQ(result.status, 1);
    EXPECT_EQ(result.output, "chestnutstand: change rejected: section main is owned by team "
                             "platform, the change is from team intruders\n");
    EXPECT_EQ(run("config publish " + write_file("bad.json", "{}") + admin +
                  " --section main --team platform --base-version 1")
                  .status,
              3);

    result = run("config show --section main" + admin);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.output.rfind("// section main, version 1, owner platform\n", 0), 0U);
    const auto shown = write_file("shown.json", result.output);
    EXPECT_EQ(run("check document " + shown).status, 0);
    EXPECT_EQ(run("config show --section other" + admin).status, 1);

    const auto node_status = nlohmann::json::parse(run("status" + admin).output, nullptr, false);
    EXPECT_EQ(node_status.value("config_version", 0), 1);
    EXPECT_EQ(run("drain" + admin).status, 0);
    EXPECT_EQ(node.node->wait(), 0);
}

} // namespace
} // namespace chestnutstand::testing
