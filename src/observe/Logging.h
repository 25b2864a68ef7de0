#pragma once

#include "base/Result.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace jasminestack {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// \brief One key and value of a log line.
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }
    LogField(std::string_view name, const char* text)
        : key(name)
        , value(text)
    {
    }
    LogField(std::string_view name, const std::string& text)
        : key(name)
        , value(text)
    {
    }
    template <typename Number>
    requires std::integral<Number> || std::floating_point<Number> LogField(std::string_view name, Number number)
        : key(name)
        , value(std::to_string(number))
    {
    }
};

/// \brief Starts logging to standard error, line by line; call it before the first event. Lines that cannot be written
/// are kept and dropped as by startBufferedLogging(). Ends logging to elsewhere.
void startLogging(LogLevel);

/// \brief Starts logging to standard output without blocking: lines are collected in a bounded buffer and written by
/// flushLog(), or as soon as 32 KiB are buffered. If the buffer is full, lines are dropped and counted.
/// Ends logging to elsewhere.
void startBufferedLogging(LogLevel);

/// \brief Writes buffered lines until standard output would block; call it a few times a second and before exit.
void flushLog();

/// \brief Writes the buffered lines before the process ends and waits for a slow reader, for at most a tenth of a
/// second.
void finishLog();

/// \brief Writes the buffered lines and then \p line, which has no line break, as finishLog() does. It neither
/// allocates memory nor takes locks, so that signal handlers may call it. Buffered lines are left out if the signal
/// interrupted a change of the buffer.
void writeFinalLine(std::string_view line) noexcept;

/// \returns Number of lines dropped since the start because the buffer was full.
[[nodiscard]] std::uint64_t droppedLogLines() noexcept;

/// \brief Changes the level at run time. Events below it are dropped before they are formatted.
void setLogLevel(LogLevel) noexcept;

[[nodiscard]] LogLevel logLevel() noexcept;

/// \param name "debug", "info", "warning" or "error".
/// \returns The level, or BadRequest for any other name.
[[nodiscard]] Result<LogLevel> parseLogLevel(std::string_view name);

/// \brief Writes one line `time=... level=... event=NAME key=value ...`. Values with spaces or quotes are quoted.
///
/// \code
/// logEvent(LogLevel::Warning, "endpoint_lost", { { "endpoint", id.value }, { "in_flight", 3 } });
/// \endcode
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});
void logEvent(LogLevel, std::string_view event, std::span<const LogField> fields);

/// \returns The line without time and level, as logEvent() writes it.
[[nodiscard]] std::string formatEvent(std::string_view event, std::span<const LogField> fields);
[[nodiscard]] std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

}
