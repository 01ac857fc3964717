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

/// A write of up to this size to a pipe is atomic: it writes all bytes or none.
constexpr std::size_t max_line_bytes = PIPE_BUF;
/// Rate limit of each message. A node at its usual load stays below it.
constexpr double lines_per_s = 200.0;
constexpr double line_burst = 400.0;

/// Writes formatted JSON lines to standard output. When the reader is too slow, lines are dropped
/// and counted, so that logging never blocks the process.
class line_appender final : public log4cplus::Appender {
public:
    ~line_appender() override { destructorImpl(); }

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        std::string line = event.getMessage();
        if (dropped_lines_ > 0) {
            line.insert(line.size() - 1, ",\"lines_lost\":" + std::to_string(dropped_lines_));
        }
        if (line.size() >= max_line_bytes) {
            line = R"({"level":"warning","message":"log line too long"})";
        }
        line += '\n';
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool writable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!writable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++dropped_lines_;
            return;
        }
        dropped_lines_ = 0;
    }

private:
    /// Lines dropped since the last successful write. log4cplus serializes the calls of append().
    std::uint64_t dropped_lines_ = 0;
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
    const auto suppressed = admit_line(message);
    if (!suppressed) {
        return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = unix_now_ms();
    line["level"] = level_names.name(level);
    line["message"] = message;
    for (const auto& field : fields) {
        std::visit([&](const auto& value) { line[std::string{field.key}] = value; }, field.value);
    }
    if (*suppressed > 0) {
        line["lines_left_out"] = *suppressed;
    }
    // Replaces invalid UTF-8 in a value; otherwise dump() would throw.
    logger.forcedLog(native_level,
                     line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace chestnutstand
