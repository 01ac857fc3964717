#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace chestnutstand::testing {

/// Child process that writes JSON lines. It is killed when the object goes.
class process {
public:
    /// Starts the program; the pipe to its standard input stays open until the object goes. Its
    /// output is also appended to the file unless the name is empty; then only the first lines are
    /// kept in memory.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& output_file = {});
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    /// Waits for the first JSON line on standard output or standard error that satisfies the
    /// predicate; nothing when the process ends or 20 s pass before.
    std::optional<nlohmann::json>
    wait_for_line(const std::function<bool(const nlohmann::json&)>& wanted);

    void signal(int number) const;

    /// Kills with SIGKILL and waits for the end.
    void kill();

    /// Waits for the end; the exit status, or minus the signal number.
    int wait();

    bool running();

    /// State of the process as the kernel tells it and its last lines, for messages of failed
    /// checks.
    std::string describe();
    pid_t pid() const { return pid_; }

private:
    void read_output(int descriptor, const std::string& output_file);

    pid_t pid_ = -1;
    int input_ = -1;
    std::optional<int> exit_status_;
    std::mutex mutex_;
    std::vector<nlohmann::json> lines_;
    bool output_closed_ = false;
    std::thread reader_;
};

/// Port that a stub tells on its first line; 0 when it ended before.
std::uint16_t announced_port(process& stub);

} // namespace chestnutstand::testing
