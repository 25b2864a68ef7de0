#include "observe/ProcessEnd.h"

#include "observe/Logging.h"

#include <absl/debugging/symbolize.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <cxxabi.h>
#include <event2/event.h>
#include <exception>
#include <execinfo.h>
#include <memory>
#include <span>
#include <typeinfo>
#include <unistd.h>

namespace jasminestack {

namespace {

#if defined(__SANITIZE_ADDRESS__)
    constexpr bool reportsSignals = false;
#else
    constexpr bool reportsSignals = true;
#endif

    struct FatalSignal {
        int number;
        std::string_view name;
    };

    // Signals that end a process by default and that no part of the program handles.
    constexpr std::array fatalSignals {
        FatalSignal { SIGSEGV, "SIGSEGV" },
        FatalSignal { SIGBUS, "SIGBUS" },
        FatalSignal { SIGILL, "SIGILL" },
        FatalSignal { SIGFPE, "SIGFPE" },
        FatalSignal { SIGABRT, "SIGABRT" },
        FatalSignal { SIGQUIT, "SIGQUIT" },
        FatalSignal { SIGXCPU, "SIGXCPU" },
        FatalSignal { SIGALRM, "SIGALRM" },
    };

    constexpr std::array ignoredSignals { SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2 };

    constexpr std::size_t maxFrames = 32;
    constexpr std::size_t maxSymbolBytes = 160;

    // For the signal handler, since a stack overflow leaves no room on the thread's stack.
    constexpr std::size_t signalStackBytes = 64U << 10U;

    /// A log line in memory of fixed size, because signal handlers and a process without memory must not allocate.
    /// What does not fit is cut off.
    class FixedLine {
    public:
        void clear() noexcept { m_size = 0; }

        void append(std::string_view text) noexcept
        {
            std::size_t count = std::min(text.size(), m_text.size() - m_size);
            std::memcpy(m_text.data() + m_size, text.data(), count);
            m_size += count;
        }

        void appendNumber(std::uint64_t number, int base = 10, std::size_t minDigits = 1) noexcept
        {
            std::array<char, 24> digits;
            auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
            auto count = static_cast<std::size_t>(end - digits.data());
            for (std::size_t i = count; i < minDigits; ++i)
                append("0");
            append({ digits.data(), count });
        }

        /// \brief Appends \p text without characters that would end a quoted value or the line.
        void appendInsideQuotes(std::string_view text) noexcept
        {
            for (char character : text) {
                bool isUnsafe = static_cast<unsigned char>(character) < 0x20 || character == '"' || character == '\\';
                append(isUnsafe ? std::string_view(" ") : std::string_view(&character, 1));
            }
        }

        [[nodiscard]] std::string_view text() const noexcept { return { m_text.data(), m_size }; }

    private:
        std::array<char, 8U << 10U> m_text;
        std::size_t m_size { 0 };
    };

    void appendTime(FixedLine& line) noexcept
    {
        using namespace std::chrono;
        auto now = time_point_cast<microseconds>(system_clock::now());
        auto day = floor<days>(now);
        year_month_day date { day };
        hh_mm_ss time { now - day };
        auto appendPart = [&line](auto value, std::size_t digits, std::string_view separator) {
            line.appendNumber(static_cast<std::uint64_t>(value), 10, digits);
            line.append(separator);
        };
        appendPart(static_cast<int>(date.year()), 4, "-");
        appendPart(static_cast<unsigned>(date.month()), 2, "-");
        appendPart(static_cast<unsigned>(date.day()), 2, "T");
        appendPart(time.hours().count(), 2, ":");
        appendPart(time.minutes().count(), 2, ":");
        appendPart(time.seconds().count(), 2, ".");
        appendPart(time.subseconds().count(), 6, "Z");
    }

    void startLine(FixedLine& line, std::string_view event) noexcept
    {
        line.clear();
        line.append("time=");
        appendTime(line);
        line.append(" level=error event=");
        line.append(event);
    }

    void appendStack(FixedLine& line, std::span<void* const> frames) noexcept
    {
        std::array<char, maxSymbolBytes> symbol;
        line.append(" stack=\"");
        for (std::size_t i = 0; i < frames.size(); ++i) {
            auto address = reinterpret_cast<std::uintptr_t>(frames[i]);
            line.append(i == 0 ? "0x" : "; 0x");
            line.appendNumber(address, 16);
            // A return address may already belong to the next function.
            const void* call = static_cast<const char*>(frames[i]) - 1;
            if (!absl::Symbolize(call, symbol.data(), static_cast<int>(symbol.size())))
                continue;
            line.append(" ");
            line.appendInsideQuotes(symbol.data());
        }
        line.append("\"");
    }

    std::string_view signalName(int number) noexcept
    {
        for (const FatalSignal& signal : fatalSignals) {
            if (signal.number == number)
                return signal.name;
        }
        return "unknown";
    }

    void appendSignal(FixedLine& line, int number, const siginfo_t& info) noexcept
    {
        line.append(" signal=");
        line.append(signalName(number));
        // Codes up to 0 are signals that a process sent, also this one by abort().
        if (info.si_code <= 0) {
            line.append(" sender=");
            line.appendNumber(static_cast<std::uint64_t>(info.si_pid));
        } else {
            line.append(" code=");
            line.appendNumber(static_cast<std::uint64_t>(info.si_code));
            line.append(" address=0x");
            line.appendNumber(reinterpret_cast<std::uintptr_t>(info.si_addr), 16);
        }
        line.append(" pid=");
        line.appendNumber(static_cast<std::uint64_t>(getpid()));
    }

    FixedLine signalLine;
    std::atomic_flag isReportingSignal;

    void onFatalSignal(int number, siginfo_t* info, void*)
    {
        // A fault while the stack trace is made leads here again; what was collected until then is written.
        if (!isReportingSignal.test_and_set()) {
            startLine(signalLine, "fatal_signal");
            appendSignal(signalLine, number, *info);
            std::array<void*, maxFrames> frames;
            int count = backtrace(frames.data(), static_cast<int>(frames.size()));
            appendStack(signalLine, std::span(frames).first(static_cast<std::size_t>(std::max(count, 0))));
        }
        writeFinalLine(signalLine.text());
        // Blocked until this function returns; SA_RESETHAND has restored the default action.
        (void)raise(number);
    }

    void watchFatalSignals()
    {
        alignas(std::max_align_t) static std::array<std::byte, signalStackBytes> stack;
        stack_t alternateStack {};
        alternateStack.ss_sp = stack.data();
        alternateStack.ss_size = stack.size();
        (void)sigaltstack(&alternateStack, nullptr);

        // The first call loads the unwinder, which a signal handler must not do.
        std::array<void*, 1> frame;
        (void)backtrace(frame.data(), 1);

        struct sigaction action { };
        action.sa_sigaction = onFatalSignal;
        action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
        for (const FatalSignal& signal : fatalSignals)
            (void)sigaction(signal.number, &action, nullptr);
    }

    void appendException(FixedLine& line) noexcept
    {
        const std::type_info* type = abi::__cxa_current_exception_type();
        if (!type) {
            line.append(" exception=none");
            return;
        }
        int status = 0;
        std::unique_ptr<char, decltype(&std::free)> name(
            abi::__cxa_demangle(type->name(), nullptr, nullptr, &status), &std::free);
        line.append(" exception=\"");
        line.appendInsideQuotes(name ? name.get() : type->name());
        line.append("\"");
        try {
            std::rethrow_exception(std::current_exception());
        } catch (const std::exception& exception) {
            line.append(" message=\"");
            line.appendInsideQuotes(exception.what());
            line.append("\"");
        } catch (...) {
            // Exceptions of other types have no message.
        }
    }

    [[noreturn]] void onTerminate() noexcept
    {
        static FixedLine line;
        static std::atomic_flag isReporting;
        if (!isReporting.test_and_set()) {
            startLine(line, "process_terminated");
            appendException(line);
            writeFinalLine(line.text());
        }
        std::abort();
    }

    void onEventLoopMessage(int severity, const char* message)
    {
        LogLevel level = LogLevel::Debug;
        if (severity == EVENT_LOG_ERR)
            level = LogLevel::Error;
        else if (severity == EVENT_LOG_WARN)
            level = LogLevel::Warning;
        else if (severity == EVENT_LOG_MSG)
            level = LogLevel::Info;
        logEvent(level, "event_loop_message", { { "message", message } });
    }

    // Libevent logs the reason before it calls this function.
    void onEventLoopError(int code)
    {
        logEvent(LogLevel::Error, "event_loop_error", { { "code", code } });
        finishLog();
        std::abort();
    }

}

void observeProcessEnd()
{
    for (int number : ignoredSignals)
        (void)std::signal(number, SIG_IGN);
    std::set_terminate(onTerminate);
    event_set_log_callback(onEventLoopMessage);
    event_set_fatal_callback(onEventLoopError);
    if (reportsSignals)
        watchFatalSignals();
}

int logExit(int code, std::string_view reason, std::string_view message)
{
    LogLevel level = code == 0 ? LogLevel::Info : LogLevel::Error;
    if (message.empty())
        logEvent(level, "process_exit", { { "code", code }, { "reason", reason } });
    else
        logEvent(level, "process_exit", { { "code", code }, { "reason", reason }, { "message", message } });
    finishLog();
    return code;
}

}
