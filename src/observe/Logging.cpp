#include "observe/Logging.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/shared_ptr.hpp>
#include <cerrno>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

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

    // Lines that wait for standard output; about a minute of a busy daemon's lines.
    constexpr std::size_t bufferLimit = 1U << 20U;

    // Lines beyond this leave at once instead of with the next flushLog().
    constexpr std::size_t writeThreshold = 32U << 10U;

    /// Collects lines for a standard output that may not be read.
    class LineBuffer {
    public:
        void add(std::string_view line)
        {
            if (m_bytes.size() - m_written + line.size() >= bufferLimit) {
                ++m_dropped;
                return;
            }
            if (m_dropped != m_reported) {
                m_bytes
                    += "level=warning event=log_lines_dropped count=" + std::to_string(m_dropped - m_reported) + "\n";
                m_reported = m_dropped;
            }
            m_bytes.append(line).push_back('\n');
            if (m_bytes.size() - m_written >= writeThreshold)
                flush();
        }

        void flush()
        {
            while (m_written < m_bytes.size()) {
                ssize_t taken = write(STDOUT_FILENO, m_bytes.data() + m_written, m_bytes.size() - m_written);
                if (taken <= 0)
                    break;
                m_written += static_cast<std::size_t>(taken);
            }
            m_bytes.erase(0, m_written);
            m_written = 0;
        }

        [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

    private:
        std::string m_bytes;
        std::size_t m_written { 0 };
        std::uint64_t m_dropped { 0 };
        std::uint64_t m_reported { 0 };
    };

    LineBuffer& lineBuffer()
    {
        static LineBuffer buffer;
        return buffer;
    }

    class BufferBackend final
        : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding> {
    public:
        void consume(const logging::record_view&, const std::string& line) { lineBuffer().add(line); }
    };

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

void startBufferedLogging(LogLevel level)
{
    setLogLevel(level);
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    auto sink = boost::make_shared<logging::sinks::synchronous_sink<BufferBackend>>();
    sink->set_formatter(&formatRecord);
    logging::core::get()->add_sink(sink);
    logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
}

void flushLog() { lineBuffer().flush(); }

std::uint64_t droppedLogLines() noexcept { return lineBuffer().dropped(); }

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
