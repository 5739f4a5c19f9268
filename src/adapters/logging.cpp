#include "adapters/logging.hpp"

#include "adapters/clock.hpp"
#include "core/events/hybrid_clock.hpp"

#include <atomic>
#include <fstream>

#include <boost/json.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

constexpr std::string_view replacement_character = "\xef\xbf\xbd";

// Size in bytes of the UTF-8 character at the start of `text`, which is not
// empty; 0 if it is malformed.
std::size_t character_size(std::string_view text)
{
    const auto byte = [&](std::size_t index)
    {
        return static_cast<unsigned char>(text[index]);
    };
    const auto continues = [&](std::size_t index)
    {
        return index < text.size() && (byte(index) & 0xc0) == 0x80;
    };
    const unsigned char first = byte(0);
    if (first < 0x80)
    {
        return 1;
    }
    if (first >= 0xc2 && first <= 0xdf)
    {
        return continues(1) ? 2 : 0;
    }
    if (first >= 0xe0 && first <= 0xef && continues(1) && continues(2))
    {
        const bool overlong = first == 0xe0 && byte(1) < 0xa0;
        const bool surrogate = first == 0xed && byte(1) >= 0xa0;
        return overlong || surrogate ? 0 : 3;
    }
    if (first >= 0xf0 && first <= 0xf4 && continues(1) && continues(2) &&
        continues(3))
    {
        const bool overlong = first == 0xf0 && byte(1) < 0x90;
        const bool too_large = first == 0xf4 && byte(1) >= 0x90;
        return overlong || too_large ? 0 : 4;
    }
    return 0;
}

json::string to_json_text(std::string_view text)
{
    json::string result;
    while (!text.empty())
    {
        const std::size_t size = character_size(text);
        const std::string_view piece =
            size == 0 ? replacement_character : text.substr(0, size);
        result.append(json::string_view(piece.data(), piece.size()));
        text.remove_prefix(size == 0 ? 1 : size);
    }
    return result;
}

struct to_json_value
{
    json::value operator()(std::string_view text) const
    {
        return to_json_text(text);
    }
    template <class Value>
    json::value operator()(Value value) const
    {
        return value;
    }
};

log4cplus::LogLevel library_level_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

// Writes the message only, which is already the whole line.
std::unique_ptr<log4cplus::Layout> make_layout()
{
    return std::make_unique<log4cplus::PatternLayout>("%m%n");
}

log4cplus::SharedAppenderPtr make_appender(const std::string& file)
{
    log4cplus::SharedAppenderPtr appender;
    if (file == "-" || file == "stdout")
    {
        const bool to_error_stream = file == "-";
        appender = new log4cplus::ConsoleAppender(to_error_stream, true);
    }
    else
    {
        appender = new log4cplus::FileAppender(file, std::ios_base::app);
    }
    appender->setLayout(make_layout());
    return appender;
}

// Returns a new logger for each log, so that nodes in one process have separate
// logs.
log4cplus::Logger make_logger()
{
    static const log4cplus::Initializer initializer;
    static std::atomic<std::uint64_t> last_number{0};
    auto logger = log4cplus::Logger::getInstance(
        "cyclamenhold." + std::to_string(++last_number));
    logger.setAdditivity(false);
    return logger;
}

} // namespace

struct json_log::sink
{
    std::string node;
    log_level lowest = log_level::info;
    log4cplus::Logger logger;
};

std::string format_log_line(
    std::uint64_t wall_ms, log_level level, std::string_view node,
    std::string_view message, std::initializer_list<log_field> fields)
{
    json::object line;
    line["time"] = format_utc(wall_ms);
    line["level"] = to_json_text(name_of(level));
    line["node"] = to_json_text(node);
    line["message"] = to_json_text(message);
    for (const auto& [name, value] : fields)
    {
        line[to_json_text(name)] = std::visit(to_json_value(), value);
    }
    return json::serialize(line);
}

absl::Status open_log(
    json_log& log, const std::string& node, log_level lowest,
    const std::string& file)
{
    const bool is_stream = file == "-" || file == "stdout";
    if (!is_stream && !std::ofstream(file, std::ios::app))
    {
        return absl::NotFoundError(file + ": cannot be opened as the log file");
    }
    auto logger = make_logger();
    logger.addAppender(make_appender(file));
    logger.setLogLevel(library_level_of(lowest));
    log.out = std::make_shared<const json_log::sink>(
        json_log::sink{node, lowest, logger});
    return absl::OkStatus();
}

void write_log(
    const json_log& log, log_level level, std::string_view message,
    std::initializer_list<log_field> fields)
{
    if (!log.out || level < log.out->lowest)
    {
        return;
    }
    log.out->logger.log(
        library_level_of(level),
        format_log_line(
            wall_clock_ms(), level, log.out->node, message, fields));
}

} // namespace cyclamenhold
