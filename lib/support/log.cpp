#include "chestnutstand/support/log.h"

#include "chestnutstand/support/name_table.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>

namespace chestnutstand {
namespace {

/// Writes the already formatted JSON line as it is.
class json_line_layout : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output,
                         const log4cplus::spi::InternalLoggingEvent& event) override
    {
        output << event.getMessage() << '\n';
    }
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

std::int64_t unix_time_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
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
    log4cplus::SharedAppenderPtr appender{
        new log4cplus::ConsoleAppender{/*logToStdErr=*/true, /*immediateFlush=*/true}};
    appender->setLayout(std::make_unique<json_line_layout>());
    logger.addAppender(appender);
    logger.setLogLevel(to_log4cplus(lowest));
}

void log_event(log_level level, std::string_view message, std::initializer_list<log_field> fields)
{
    auto logger = log4cplus::Logger::getRoot();
    const auto native_level = to_log4cplus(level);
    if (!logger.isEnabledFor(native_level)) {
        return;
    }
    nlohmann::ordered_json line;
    line["time_ms"] = unix_time_ms();
    line["level"] = level_names.name(level);
    line["message"] = message;
    for (const auto& field : fields) {
        std::visit([&](const auto& value) { line[std::string{field.key}] = value; }, field.value);
    }
    // Invalid UTF-8 in a value must not stop the process.
    logger.forcedLog(native_level,
                     line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace chestnutstand
