#include "process.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace chestnutstand::testing {
namespace {

constexpr std::size_t lines_kept_beside_file = 100;
constexpr std::size_t described_lines = 30;
constexpr int exec_failed_status = 127;
constexpr auto line_wait_limit = std::chrono::seconds{20};
constexpr auto poll_interval = std::chrono::milliseconds{5};

int decode_status(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

[[noreturn]] void run_child(const std::string& program, std::vector<char*>& argv, int input,
                            int output)
{
    // Puts the child into its own process group. Otherwise the kernel continues a child that a test
    // stopped when the shell of a background job ends, with all stopped processes of its group.
    ::setpgid(0, 0);
    // Ends the child also when the test is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(input, STDIN_FILENO);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execv(program.c_str(), argv.data());
    ::_exit(exec_failed_status);
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& output_file)
{
    int input[2] = {};
    int output[2] = {};
    if (::pipe2(input, O_CLOEXEC) != 0 || ::pipe2(output, O_CLOEXEC) != 0) {
        std::abort();
    }
    std::vector<char*> argv{const_cast<char*>(program.c_str())};
    for (const auto& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
        run_child(program, argv, input[0], output[1]);
    }
    ::close(input[0]);
    ::close(output[1]);
    input_ = input[1];
    reader_ = std::thread{
        [this, descriptor = output[0], output_file] { read_output(descriptor, output_file); }};
}

process::~process()
{
    kill();
    ::close(input_);
    reader_.join();
}

void process::read_output(int descriptor, const std::string& output_file)
{
    std::ofstream file;
    if (!output_file.empty()) {
        file.open(output_file, std::ios::app);
    }
    FILE* stream = ::fdopen(descriptor, "r");
    char* line = nullptr;
    std::size_t capacity = 0;
    while (::getline(&line, &capacity, stream) > 0) {
        file << line << std::flush;
        if (file.is_open() && lines_.size() >= lines_kept_beside_file) {
            continue;
        }
        auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (!parsed.is_object()) {
            std::fprintf(stderr, "[%d] %s", static_cast<int>(pid_), line);
            continue;
        }
        const std::lock_guard lock{mutex_};
        lines_.push_back(std::move(parsed));
    }
    std::free(line);
    std::fclose(stream);
    const std::lock_guard lock{mutex_};
    output_closed_ = true;
}

std::optional<nlohmann::json>
process::wait_for_line(const std::function<bool(const nlohmann::json&)>& predicate)
{
    const auto limit = std::chrono::steady_clock::now() + line_wait_limit;
    std::size_t checked = 0;
    while (std::chrono::steady_clock::now() < limit) {
        {
            const std::lock_guard lock{mutex_};
            for (; checked < lines_.size(); ++checked) {
                if (predicate(lines_[checked])) {
                    return lines_[checked];
                }
            }
            if (output_closed_) {
                return std::nullopt;
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return std::nullopt;
}

void process::signal(int number) const
{
    ::kill(pid_, number);
}

void process::kill()
{
    if (!exit_status_) {
        signal(SIGKILL);
        wait();
    }
}

int process::wait()
{
    if (!exit_status_) {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        exit_status_ = decode_status(status);
    }
    return *exit_status_;
}

std::string process::describe()
{
    std::ifstream file{"/proc/" + std::to_string(pid_) + "/stat"};
    std::string text;
    std::getline(file, text);
    text += '\n';
    const std::lock_guard lock{mutex_};
    const std::size_t first = lines_.size() > described_lines ? lines_.size() - described_lines : 0;
    for (std::size_t i = first; i < lines_.size(); ++i) {
        text += lines_[i].dump() + '\n';
    }
    return text;
}

std::uint16_t announced_port(process& stub)
{
    const auto line =
        stub.wait_for_line([](const auto& fields) { return fields.contains("port"); });
    return line ? (*line)["port"].get<std::uint16_t>() : 0;
}

bool process::running()
{
    if (exit_status_) {
        return false;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        exit_status_ = decode_status(status);
    }
    return !exit_status_;
}

} // namespace chestnutstand::testing
