#include "CommandLine.h"
#include "observe/Logging.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <unistd.h>

using namespace jasminestack;

namespace {

const std::string firstLog
    = "time=2026-01-01T10:00:01Z level=info event=request_repeated request=r1 cause=stalled from=e1 to=e2\n"
      "time=2026-01-01T10:00:00Z level=info event=peer_started peer=p\n"
      "time=2026-01-01T10:00:03Z level=info event=request_done request=r1 outcome=ok\n";
const std::string secondLog
    = "time=2026-01-01T10:00:02Z level=warning event=request_failed request=r2 cause=no_room status=503 "
      "may_have_run=0\n"
      "time=2026-01-01T10:00:00.5Z level=warning event=request_failed request=r1 cause=no_room "
      "status=503 may_have_run=0\n";

std::string writeFile(const std::string& text, const std::string& suffix)
{
    std::string path = std::string(P_tmpdir) + "/jasminestack-explain-" + std::to_string(getpid()) + suffix;
    std::ofstream(path) << text;
    return path;
}

}

TEST_CASE("a request's story is told in order over several daemons' logs", "[cli]")
{
    std::string first = writeFile(firstLog, "-1");
    std::string second = writeFile(secondLog, "-2");
    CommandResult story = runCommand({ "explain", "r1", first, second });
    CHECK(story.exitCode == 0);
    CHECK(story.output.find("no_room") < story.output.find("stalled"));
    CHECK(story.output.find("stalled") < story.output.find("outcome=ok"));
    CHECK(story.output.find("r2") == std::string::npos);
    CommandResult summary = runCommand({ "explain", "--summary", first, second });
    CHECK(summary.output.find("2 status=503 cause=no_room may_have_run=0") != std::string::npos);
    CHECK(runCommand({ "explain", "unknown", first }).exitCode == 1);
    CHECK(runCommand({ "explain" }).exitCode == 2);
    unlink(first.c_str());
    unlink(second.c_str());
}

// Guards against a reader of standard output that stops and thereby stops the daemon.
TEST_CASE("a blocked standard output costs lines and no time", "[observe]")
{
    int pipes[2];
    REQUIRE(pipe(pipes) == 0);
    std::fflush(stdout);
    int saved = dup(STDOUT_FILENO);
    dup2(pipes[1], STDOUT_FILENO);
    startBufferedLogging(LogLevel::Info);
    std::string text(200, 'x');
    for (int i = 0; i < 20'000; ++i)
        logEvent(LogLevel::Info, "flood", { { "text", text } });
    flushLog();
    std::uint64_t dropped = droppedLogLines();
    // After the reader is back, the loss is told.
    std::string received(4U << 20U, '\0');
    std::size_t length = 0;
    fcntl(pipes[0], F_SETFL, O_NONBLOCK);
    for (int i = 0; i < 1'000; ++i) {
        ssize_t part = read(pipes[0], received.data() + length, received.size() - length);
        length += part > 0 ? static_cast<std::size_t>(part) : 0;
        flushLog();
    }
    logEvent(LogLevel::Info, "after");
    flushLog();
    ssize_t part = read(pipes[0], received.data() + length, received.size() - length);
    length += part > 0 ? static_cast<std::size_t>(part) : 0;
    dup2(saved, STDOUT_FILENO);
    close(saved);
    close(pipes[0]);
    close(pipes[1]);
    received.resize(length);
    CHECK(dropped > 1'000);
    CHECK(received.find("event=log_lines_dropped count=" + std::to_string(dropped)) != std::string::npos);
    CHECK(received.find("event=after") != std::string::npos);
}
