#include "observe/Logging.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/shared_ptr.hpp>
#include <cerrno>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace jasminestack {

namespace {

    namespace logging = boost::log;

    using LevelLogger = logging::sources::severity_logger<LogLevel>;

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

    // Maximum number of bytes not yet written to standard output, about one minute of a busy daemon's log.
    constexpr std::size_t maxBufferedBytes = 1U << 20U;

    // A buffered log is written at once when it reaches this size, without waiting for the next flushLog().
    constexpr std::size_t flushThresholdBytes = 32U << 10U;

    // Longest time for which a process that ends waits for the reader of its log.
    constexpr int finalWaitMs = 100;

    // Where lines are written; unset until logging is started.
    std::atomic<int> logDescriptor { -1 };

    /// \brief Writes \p text, waiting for a slow reader while \p waitMs lasts; signal handlers may call it.
    void writeWaiting(std::string_view text, int& waitMs) noexcept
    {
        while (!text.empty()) {
            ssize_t writtenCount = write(logDescriptor, text.data(), text.size());
            if (writtenCount > 0) {
                text.remove_prefix(static_cast<std::size_t>(writtenCount));
                continue;
            }
            if (writtenCount < 0 && errno == EINTR)
                continue;
            constexpr int stepMs = 10;
            pollfd output { .fd = logDescriptor, .events = POLLOUT };
            if (writtenCount == 0 || errno != EAGAIN || waitMs <= 0)
                return;
            waitMs -= stepMs;
            (void)poll(&output, 1, stepMs);
        }
    }

    /// Marks the time in which an object is inconsistent, for signal handlers.
    class ChangeMark {
    public:
        explicit ChangeMark(std::atomic<bool>& isChanging)
            : m_isChanging(isChanging)
        {
            m_isChanging = true;
        }
        ~ChangeMark() { m_isChanging = false; }
        ChangeMark(const ChangeMark&) = delete;
        ChangeMark& operator=(const ChangeMark&) = delete;

    private:
        std::atomic<bool>& m_isChanging;
    };

    /// Buffers lines for an output whose reader may be slow or stopped, or that takes no more bytes.
    class LineBuffer {
    public:
        /// \brief Lines are written as soon as \p bytes are buffered.
        void setFlushThreshold(std::size_t bytes)
        {
            m_flushThreshold = bytes;
            m_flushAt = bytes;
        }

        void addLine(std::string_view line)
        {
            if (m_buffer.size() - m_writtenBytes + line.size() >= maxBufferedBytes) {
                ++m_droppedLines;
                return;
            }
            appendLine(line);
            if (m_buffer.size() - m_writtenBytes >= m_flushAt)
                flush();
        }

        void appendLine(std::string_view line)
        {
            ChangeMark mark(m_isChanging);
            if (m_droppedLines != m_reportedDroppedLines) {
                m_buffer += "level=warning event=log_lines_dropped count="
                    + std::to_string(m_droppedLines - m_reportedDroppedLines) + "\n";
                m_reportedDroppedLines = m_droppedLines;
            }
            m_buffer.append(line).push_back('\n');
        }

        void flush()
        {
            while (m_writtenBytes < m_buffer.size()) {
                ssize_t writtenCount
                    = write(logDescriptor, m_buffer.data() + m_writtenBytes, m_buffer.size() - m_writtenBytes);
                if (writtenCount <= 0)
                    break;
                m_writtenBytes += static_cast<std::size_t>(writtenCount);
            }
            ChangeMark mark(m_isChanging);
            m_buffer.erase(0, m_writtenBytes);
            m_writtenBytes = 0;
            // An output that takes no bytes is not tried again for each line.
            m_flushAt = m_buffer.size() + m_flushThreshold;
        }

        /// \brief Writes the buffered lines, then \p line.
        void writeFinal(std::string_view line) noexcept
        {
            int waitMs = finalWaitMs;
            if (!m_isChanging) {
                std::size_t start = std::exchange(m_writtenBytes, m_buffer.size());
                writeWaiting(std::string_view(m_buffer).substr(start), waitMs);
            }
            writeWaiting(line, waitMs);
            writeWaiting("\n", waitMs);
        }

        void finish()
        {
            int waitMs = finalWaitMs;
            writeWaiting(std::string_view(m_buffer).substr(m_writtenBytes), waitMs);
            ChangeMark mark(m_isChanging);
            m_buffer.clear();
            m_writtenBytes = 0;
        }

        [[nodiscard]] std::uint64_t droppedLines() const noexcept { return m_droppedLines; }

    private:
        std::string m_buffer;
        std::size_t m_flushThreshold { flushThresholdBytes };
        std::size_t m_flushAt { flushThresholdBytes }; ///< Unwritten bytes at which the next line calls flush().
        std::size_t m_writtenBytes { 0 };
        std::uint64_t m_droppedLines { 0 };
        std::uint64_t m_reportedDroppedLines { 0 };
        std::atomic<bool> m_isChanging { false };
    };

    LineBuffer& lineBuffer()
    {
        static LineBuffer buffer;
        return buffer;
    }

    class BufferBackend final
        : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding> {
    public:
        void consume(const logging::record_view&, const std::string& line) { lineBuffer().addLine(line); }
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
        for (char character : value) {
            if (character == '"' || character == '\\')
                line += '\\';
            // Control characters become spaces, because a line break in a caller's value could forge a log line.
            line += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
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

    void startWriting(int descriptor, std::size_t flushThreshold, LogLevel level)
    {
        setLogLevel(level);
        logDescriptor = descriptor;
        lineBuffer().setFlushThreshold(flushThreshold);
        auto sink = boost::make_shared<logging::sinks::synchronous_sink<BufferBackend>>();
        sink->set_formatter(&formatRecord);
        logging::core::get()->remove_all_sinks();
        logging::core::get()->add_sink(sink);
        logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    }

}

void startLogging(LogLevel level)
{
    constexpr std::size_t afterEachLine = 0;
    startWriting(STDERR_FILENO, afterEachLine, level);
}

void startBufferedLogging(LogLevel level)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    startWriting(STDOUT_FILENO, flushThresholdBytes, level);
}

void flushLog() { lineBuffer().flush(); }

void finishLog() { lineBuffer().finish(); }

void writeFinalLine(std::string_view line) noexcept { lineBuffer().writeFinal(line); }

std::uint64_t droppedLogLines() noexcept { return lineBuffer().droppedLines(); }

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
    return formatEvent(event, std::span(fields.begin(), fields.size()));
}

std::string formatEvent(std::string_view event, std::span<const LogField> fields)
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
    logEvent(level, event, std::span(fields.begin(), fields.size()));
}

void logEvent(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    if (level < logLevel())
        return;
    static LevelLogger logger;
    BOOST_LOG_SEV(logger, level) << formatEvent(event, fields);
}

}
