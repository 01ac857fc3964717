#include "chestnutstand/support/log.h"

#include "chestnutstand/support/log_limit.h"
#include "chestnutstand/support/name_table.h"

#include <log4cplus/appender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <nlohmann/json.hpp>

#include <climits>
#include <memory>
#include <mutex>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace chestnutstand {
namespace {

/// A pipe takes as many bytes at once, or none.
constexpr std::size_t max_line_bytes = PIPE_BUF;
/// Bounds of each kind of message; a node at its usual load stays below.
constexpr double lines_per_s = 200.0;
constexpr double line_burst = 400.0;

/// Writes the already formatted JSON lines to standard output. A reader that does not keep up loses
/// lines and never stops the process.
class line_appender final : public log4cplus::Appender {
public:
    ~line_appender() override { destructorImpl(); }

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        std::string line = event.getMessage();
        if (lost_lines_ > 0) {
            line.insert(line.size() - 1, ",\"lines_lost\":" + std::to_string(lost_lines_));
        }
        if (line.size() >= max_line_bytes) {
            line = R"({"level":"warning","message":"log line too long"})";
        }
        line += '\n';
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool writable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!writable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++lost_lines_;
            return;
        }
        lost_lines_ = 0;
    }

private:
    /// Lines that standard output did not take since the last one that it took. The calls of
    /// append() are serialized.
    std::uint64_t lost_lines_ = 0;
};

constexpr name_table<log_level, 4> level_names{{"debug", "info", "warning", "error"}};

log4cplus::LogLevel to_log4cplus(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::optional<std::uint64_t> admit_line(std::string_view kind)
{
    static std::mutex mutex;
    static log_limit limit{lines_per_s, line_burst};
    const std::lock_guard lock{mutex};
    return limit.admit(kind, ms_clock::now());
}

} // namespace

log_level log_level_from(std::string_view name)
{
    return level_names.find(name).value_or(log_level::info);
}

void init_logging(log_level lowest)
{
    static log4cplus::Initializer initializer;
    auto logger = log4cplus::Logger::getRoot();
    logger.removeAllAppenders();
    logger.addAppender(log4cplus::SharedAppenderPtr{new line_appender});
    set_log_level(lowest);
}

void set_log_level(log_level lowest)
{
    log4cplus::Logger::getRoot().setLogLevel(to_log4cplus(lowest));
}

void log_event(log_level level, std::string_view message, std::initializer_list<log_field> fields)
{
    auto logger = log4cplus::Logger::getRoot();
    const auto native_level = to_log4cplus(level);
    if (!logger.isEnabledFor(native_level)) {
        return;
    }
    const auto left_out = admit_line(message);
    if (!left_out) {
        return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = unix_now_ms();
    line["level"] = level_names.name(level);
    line["message"] = message;
    for (const auto& field : fields) {
        std::visit([&](const auto& value) { line[std::string{field.key}] = value; }, field.value);
    }
    if (*left_out > 0) {
        line["lines_left_out"] = *left_out;
    }
    // Invalid UTF-8 in a value must not stop the process.
    logger.forcedLog(native_level,
                     line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace chestnutstand
