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

/// Child process that writes JSON lines. It is killed when the object is destroyed.
class process {
public:
    /// Starts the program. The pipe to its standard input stays open until the object is destroyed.
    /// If an output file is named, the output is appended to it as well, and only the first lines
    /// are kept in memory.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& output_file = {});
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    /// Waits for the first JSON line on standard output or standard error that satisfies the
    /// predicate. Returns nothing if the process ends or 20 s pass before.
    std::optional<nlohmann::json>
    wait_for_line(const std::function<bool(const nlohmann::json&)>& predicate);

    void signal(int number) const;

    /// Sends SIGKILL and waits until the process has ended.
    void kill();

    /// Waits until the process has ended. Returns its exit status, or minus the signal number.
    int wait();

    bool running();

    /// Returns the line of /proc/PID/stat and the last output lines, for messages of failed checks.
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

/// Returns the port that a stub prints on its first line; 0 if it printed none.
std::uint16_t announced_port(process& stub);

} // namespace chestnutstand::testing
