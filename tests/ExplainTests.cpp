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

TEST_CASE("a request's log lines are printed in the order of their times across several daemons' logs", "[cli]")
{
    std::string firstPath = writeFile(firstLog, "-1");
    std::string secondPath = writeFile(secondLog, "-2");
    CommandResult requestLines = runCommand({ "explain", "r1", firstPath, secondPath });
    CHECK(requestLines.exitCode == 0);
    CHECK(requestLines.output.find("no_room") < requestLines.output.find("stalled"));
    CHECK(requestLines.output.find("stalled") < requestLines.output.find("outcome=ok"));
    CHECK(requestLines.output.find("r2") == std::string::npos);
    CommandResult summary = runCommand({ "explain", "--summary", firstPath, secondPath });
    CHECK(summary.output.find("2 status=503 cause=no_room may_have_run=0") != std::string::npos);
    CHECK(runCommand({ "explain", "unknown", firstPath }).exitCode == 1);
    CHECK(runCommand({ "explain" }).exitCode == 2);
    unlink(firstPath.c_str());
    unlink(secondPath.c_str());
}

// Guards against a daemon that blocks because the reader of its standard output stops reading.
TEST_CASE("a blocked standard output drops log lines and does not block the daemon", "[observe]")
{
    int pipeEnds[2];
    REQUIRE(pipe(pipeEnds) == 0);
    std::fflush(stdout);
    int savedOutput = dup(STDOUT_FILENO);
    dup2(pipeEnds[1], STDOUT_FILENO);
    startBufferedLogging(LogLevel::Info);
    std::string text(200, 'x');
    for (int i = 0; i < 20'000; ++i)
        logEvent(LogLevel::Info, "flood", { { "text", text } });
    flushLog();
    std::uint64_t dropped = droppedLogLines();
    // When reading resumes, the number of dropped lines is logged.
    std::string received(4U << 20U, '\0');
    std::size_t length = 0;
    fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    for (int i = 0; i < 1'000; ++i) {
        ssize_t bytesRead = read(pipeEnds[0], received.data() + length, received.size() - length);
        length += bytesRead > 0 ? static_cast<std::size_t>(bytesRead) : 0;
        flushLog();
    }
    logEvent(LogLevel::Info, "after");
    flushLog();
    ssize_t bytesRead = read(pipeEnds[0], received.data() + length, received.size() - length);
    length += bytesRead > 0 ? static_cast<std::size_t>(bytesRead) : 0;
    dup2(savedOutput, STDOUT_FILENO);
    close(savedOutput);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
    received.resize(length);
    CHECK(dropped > 1'000);
    CHECK(received.find("event=log_lines_dropped count=" + std::to_string(dropped)) != std::string::npos);
    CHECK(received.find("event=after") != std::string::npos);
}
