#include "observe/Logging.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/shared_ptr.hpp>
#include <iostream>

namespace jasminestack {

namespace {

    namespace logging = boost::log;

    using Backend = logging::sinks::text_ostream_backend;
    using Source = logging::sources::severity_logger<LogLevel>;

    std::atomic<LogLevel> currentLevel { LogLevel::Info };

    std::string_view toString(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "error";
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
    }

    void appendValue(std::string& line, std::string_view value)
    {
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        for (char c : value) {
            // Control characters would let a value from outside forge a log line.
            if (c == '"' || c == '\\')
                line += '\\';
            line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
        line += '"';
    }

    void formatRecord(const logging::record_view& record, logging::formatting_ostream& stream)
    {
        auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", record);
        auto level = logging::extract<LogLevel>("Severity", record);
        if (time)
            stream << "time=" << boost::posix_time::to_iso_extended_string(time.get()) << "Z ";
        if (level)
            stream << "level=" << toString(level.get()) << ' ';
        stream << record[logging::expressions::smessage];
    }

}

void startLogging(LogLevel level)
{
    setLogLevel(level);
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(&formatRecord);
    logging::core::get()->add_sink(sink);
    logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
}

void setLogLevel(LogLevel level) noexcept { currentLevel.store(level, std::memory_order_relaxed); }

LogLevel logLevel() noexcept { return currentLevel.load(std::memory_order_relaxed); }

Result<LogLevel> parseLogLevel(std::string_view name)
{
    for (LogLevel level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (toString(level) == name)
            return level;
    }
    return Error { .kind = ErrorKind::BadRequest,
        .message = "log level '" + std::string(name) + "' is not one of debug, info, warning, error" };
}

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (const LogField& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < logLevel())
        return;
    static Source source;
    BOOST_LOG_SEV(source, level) << formatEvent(event, fields);
}

}
