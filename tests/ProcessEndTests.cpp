#include "observe/Logging.h"
#include "observe/ProcessEnd.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <event2/event.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

using namespace jasminestack;

namespace {

struct ProcessEnd {
    int waitStatus { 0 };
    std::string output;
};

// Runs body in a child process with buffered logging and returns what it wrote.
ProcessEnd runInChild(const std::function<void()>& body)
{
    int pipeEnds[2];
    REQUIRE(pipe(pipeEnds) == 0);
    pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        dup2(pipeEnds[1], STDOUT_FILENO);
        close(pipeEnds[0]);
        close(pipeEnds[1]);
        signal(SIGABRT, SIG_DFL); // Instead of the test framework's handler.
        alarm(30); // Ends a child that hangs.
        startBufferedLogging(LogLevel::Info);
        observeProcessEnd();
        logEvent(LogLevel::Info, "before");
        body();
        _exit(0);
    }
    close(pipeEnds[1]);
    ProcessEnd end;
    char bytes[4096];
    for (ssize_t count = 0; (count = read(pipeEnds[0], bytes, sizeof bytes)) > 0;)
        end.output.append(bytes, static_cast<std::size_t>(count));
    close(pipeEnds[0]);
    REQUIRE(waitpid(child, &end.waitStatus, 0) == child);
    return end;
}

bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

std::size_t countOf(const std::string& text, std::string_view part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

void throwFromNoexcept(const std::function<void()>& body) noexcept { body(); }

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Winfinite-recursion"
[[gnu::noinline]] int overflowStack(volatile int* depth)
{
    volatile char frame[4096] = {};
    frame[0] = static_cast<char>(*depth);
    *depth = *depth + 1;
    return overflowStack(depth) + frame[0];
}
#pragma GCC diagnostic pop

}

// Guards against an exception that ends the process without a line and takes the buffered lines with it.
TEST_CASE("an uncaught exception is logged with type and message after the buffered lines", "[ends]")
{
    auto end = runInChild([] { throwFromNoexcept([] { throw std::runtime_error("no \"room\"\nleft"); }); });
    CAPTURE(end.output);
    CHECK(WIFSIGNALED(end.waitStatus));
    CHECK(WTERMSIG(end.waitStatus) == SIGABRT);
    CHECK(countOf(end.output, "event=before\n") == 1);
    CHECK(contains(end.output, "level=error event=process_terminated exception=\"std::runtime_error\""));
    CHECK(contains(end.output, "message=\"no  room  left\"\n"));
    CHECK(end.output.find("event=before") < end.output.find("event=process_terminated"));
}

// Guards against a handler that fails for exceptions of other types, or without one.
TEST_CASE("std::terminate is logged for other types and without an exception", "[ends]")
{
    auto withNumber = runInChild([] { throwFromNoexcept([] { throw 7; }); });
    CAPTURE(withNumber.output);
    CHECK(contains(withNumber.output, "event=process_terminated exception=\"int\"\n"));
    auto without = runInChild([] { std::terminate(); });
    CAPTURE(without.output);
    CHECK(contains(without.output, "event=process_terminated exception=none\n"));
}

// Guards against a fatal error of libevent that ends the process with a message on standard error only.
TEST_CASE("a fatal error of libevent is logged with its reason", "[ends]")
{
    auto end = runInChild([] {
        event_base* base = event_base_new();
        event* reader = event_new(
            base, 1'000'000, EV_READ, [](evutil_socket_t, short, void*) {}, nullptr);
        event_add(reader, nullptr); // A warning: there is no such descriptor.
        event_enable_debug_mode(); // A fatal error once there is an event base.
    });
    CAPTURE(end.output);
    CHECK(contains(end.output, "level=warning event=event_loop_message message="));
    CHECK(contains(end.output, "level=error event=event_loop_message message="));
    CHECK(contains(end.output, "level=error event=event_loop_error code="));
    CHECK(WIFSIGNALED(end.waitStatus));
    CHECK(WTERMSIG(end.waitStatus) == SIGABRT);
}

// AddressSanitizer reports signals itself.
#if !defined(__SANITIZE_ADDRESS__)

// Guards against a fatal signal that leaves no line, or hides the signal from the parent process.
TEST_CASE("a fatal signal is logged with a stack trace and keeps its number", "[ends]")
{
    auto end = runInChild([] { raise(SIGSEGV); });
    CAPTURE(end.output);
    CHECK(WIFSIGNALED(end.waitStatus));
    CHECK(WTERMSIG(end.waitStatus) == SIGSEGV);
    CHECK(countOf(end.output, "event=before\n") == 1);
    CHECK(countOf(end.output, "event=fatal_signal") == 1);
    CHECK(contains(end.output, " level=error event=fatal_signal signal=SIGSEGV sender="));
    CHECK(contains(end.output, "raise"));
    CHECK(contains(end.output, "stack=\"0x"));
    CHECK(end.output.ends_with("\"\n"));
}

// Guards against a handler that needs the stack that has just overflowed.
TEST_CASE("a stack overflow is logged with its address", "[ends]")
{
    auto end = runInChild([] {
        volatile int depth = 0;
        overflowStack(&depth);
    });
    CAPTURE(end.output);
    CHECK(WTERMSIG(end.waitStatus) == SIGSEGV);
    CHECK(contains(end.output, "event=fatal_signal signal=SIGSEGV code="));
    CHECK(contains(end.output, "overflowStack"));
}

// Guards against lines that are written twice when std::abort follows std::terminate.
TEST_CASE("an uncaught exception is followed by one stack trace", "[ends]")
{
    auto end = runInChild([] { throwFromNoexcept([] { throw std::runtime_error("x"); }); });
    CAPTURE(end.output);
    CHECK(countOf(end.output, "event=before\n") == 1);
    CHECK(countOf(end.output, "event=process_terminated") == 1);
    CHECK(countOf(end.output, "event=fatal_signal signal=SIGABRT") == 1);
    CHECK(contains(end.output, "__cxa_throw"));
    CHECK(contains(end.output, "runInChild"));
}

// Guards against an output that takes no bytes and costs a system call for each line. (The sanitizers' own
// calls of write() would be counted, too.)
TEST_CASE("an output that takes no bytes is tried once for each 32 KiB", "[ends]")
{
    auto end = runInChild([] {
        int pipeEnds[2];
        (void)!pipe2(pipeEnds, O_NONBLOCK);
        std::string filler(65'536, 'x');
        (void)!write(pipeEnds[1], filler.data(), filler.size());
        int output = dup(STDOUT_FILENO);
        dup2(pipeEnds[1], STDOUT_FILENO);
        auto callsOf = [] {
            std::ifstream file("/proc/self/io");
            for (std::string word; file >> word;) {
                if (word == "syscw:") {
                    int count = 0;
                    file >> count;
                    return count;
                }
            }
            return -1;
        };
        int before = callsOf();
        std::string text(1'000, 'x');
        for (int i = 0; i < 500; ++i)
            logEvent(LogLevel::Info, "flood", { { "text", text } });
        std::string report = "calls=" + std::to_string(callsOf() - before) + (before < 0 ? " unknown" : "") + "\n";
        (void)!write(output, report.data(), report.size());
    });
    std::size_t at = end.output.find("calls=");
    REQUIRE(at != std::string::npos);
    int calls = std::stoi(end.output.substr(at + 6));
    CAPTURE(calls);
    CHECK(!contains(end.output, "unknown"));
    CHECK(calls >= 1);
    CHECK(calls <= 500'000 / 32'768 + 2);
}

#endif

// Guards against a chosen exit whose last lines stay in the buffer.
TEST_CASE("an exit is logged with code and reason", "[ends]")
{
    auto end = runInChild([] { _exit(logExit(3, "settings_invalid", "line 1: 'x'")); });
    CAPTURE(end.output);
    CHECK(WEXITSTATUS(end.waitStatus) == 3);
    CHECK(contains(
        end.output, "level=error event=process_exit code=3 reason=settings_invalid message=\"line 1: 'x'\"\n"));
}

// Guards against daemons whose later lines are lost after one write to standard error failed.
TEST_CASE("lines that cannot be written are written later, in order", "[ends]")
{
    auto end = runInChild([] {
        int output = dup(STDOUT_FILENO);
        int full = open("/dev/full", O_WRONLY);
        dup2(full, STDERR_FILENO);
        startLogging(LogLevel::Info);
        logEvent(LogLevel::Info, "unwritten", { { "n", 1 } });
        dup2(output, STDERR_FILENO);
        logEvent(LogLevel::Info, "written", { { "n", 2 } });
        _exit(logExit(0, "stopped"));
    });
    CAPTURE(end.output);
    CHECK(countOf(end.output, "event=unwritten n=1\n") == 1);
    CHECK(end.output.find("event=unwritten n=1\n") < end.output.find("event=written n=2\n"));
    CHECK(contains(end.output, "event=process_exit code=0 reason=stopped\n"));
}
