#include "observe/ProcessMonitor.h"
#include "observe/ProcessUsage.h"
#include "observe/Watermark.h"

#include <catch2/catch.hpp>
#include <cstring>
#include <sys/mman.h>
#include <unistd.h>
#include <vector>

using namespace jasminestack;

// Guards against the field after a program name with spaces and parentheses being read as the start time.
TEST_CASE("the start time is found behind any program name", "[usage]")
{
    const std::string_view rest = " S 1 2 3 0 -1 4194560 100 0 0 0 5 6 0 0 20 0 1 0 123456 1000 200";
    CHECK(parseStartTicks("77 (router)" + std::string(rest)) == 123'456);
    CHECK(parseStartTicks("77 (a) S 1 (b)" + std::string(rest)) == 123'456);
}

// Guards against numbers that are made up where the system tells nothing, or something else.
TEST_CASE("a stat file of another form has no start time", "[usage]")
{
    CHECK(!parseStartTicks(""));
    CHECK(!parseStartTicks("77 (router"));
    CHECK(!parseStartTicks("77 (router) S 1 2"));
    CHECK(!parseStartTicks("77 (router) S 1 2 3 0 -1 4194560 100 0 0 0 5 6 0 0 20 0 1 0 soon 1000"));
}

// Guards against an age that is far from the time since this program was started.
TEST_CASE("the process has an age", "[usage]")
{
    auto age = processAge();
    REQUIRE(age);
    CHECK(age->count < 3'600'000);
}

// Guards against memory figures of the wrong field or unit.
TEST_CASE("memory is read in bytes from the first two fields", "[usage]")
{
    auto memory = parseMemoryUsage("1000 250 90 3 0 800 0\n", 4'096);
    REQUIRE(memory);
    CHECK(memory->virtualBytes == 4'096'000);
    CHECK(memory->residentBytes == 1'024'000);
    CHECK(!parseMemoryUsage("", 4'096));
    CHECK(!parseMemoryUsage("1000", 4'096));
    CHECK(!parseMemoryUsage("1000 many", 4'096));
}

// Guards against a reader that returns the figures of its first call again.
TEST_CASE("memory and descriptors follow what the process uses", "[usage]")
{
    MemoryReader reader;
    auto before = reader.read();
    // Memory of the heap may be resident already.
    constexpr std::size_t mappedBytes = 50'000'000;
    void* mapped = mmap(nullptr, mappedBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    REQUIRE(mapped != MAP_FAILED);
    std::memset(mapped, 1, mappedBytes);
    auto after = reader.read();
    munmap(mapped, mappedBytes);
    REQUIRE(before);
    REQUIRE(after);
    CHECK(after->residentBytes >= before->residentBytes + mappedBytes / 2);
    auto count = countDescriptors();
    REQUIRE(count);
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    CHECK(countDescriptors() == *count + 2);
    close(ends[0]);
    close(ends[1]);
    CHECK(countDescriptors() == *count);
}

// Guards against a log that is flooded by a process near its limit, and against a use that hovers around the limit.
TEST_CASE("a high use is warned of when it begins and every 10 s", "[usage]")
{
    Watermark watermark;
    CHECK(!updateWatermark(watermark, 79, 100, { 0 }));
    CHECK(updateWatermark(watermark, 80, 100, { 1'000 }));
    CHECK(!updateWatermark(watermark, 99, 100, { 2'000 }));
    CHECK(!updateWatermark(watermark, 75, 100, { 10'999 }));
    CHECK(updateWatermark(watermark, 75, 100, { 11'000 })); // Still above 70.
    CHECK(!updateWatermark(watermark, 69, 100, { 22'000 }));
    CHECK(!updateWatermark(watermark, 75, 100, { 33'000 })); // Was below 70, and is not above 80 yet.
    CHECK(updateWatermark(watermark, 81, 100, { 34'000 }));
    CHECK(!updateWatermark(watermark, 60, 100, { 35'000 }));
    CHECK(!updateWatermark(watermark, 81, 100, { 36'000 })); // Less than 10 s after the last warning.
    CHECK(!updateWatermark(watermark, 1e12, 0, { 90'000 })); // No limit.
}

// Guards against metrics without the standard names, and limits that a configuration does not set.
TEST_CASE("the process's metrics have their standard names", "[usage]")
{
    Metrics metrics;
    ProcessMonitor monitor(metrics, { .memoryBytes = 260'000'000, .descriptors = 4 });
    monitor.update({ 1'000 }, { .requestBytes = 11, .requestLimit = 100, .unreadResponseBytes = 22, .connections = 3 });
    std::string text = metrics.text();
    CAPTURE(text);
    auto valueOf = [&text](const std::string& name) {
        std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1.0 : std::stod(text.substr(at + name.size() + 2));
    };
    CHECK(valueOf("process_resident_memory_bytes") > 1e6);
    CHECK(valueOf("process_virtual_memory_bytes") >= valueOf("process_resident_memory_bytes"));
    CHECK(valueOf("process_open_fds") >= 3);
    CHECK(valueOf("process_max_fds") >= valueOf("process_open_fds"));
    CHECK(valueOf("process_start_time_seconds") > 1e9);
    CHECK(valueOf("process_cpu_seconds_total") > 0);
    CHECK(valueOf("jasminestack_memory_limit_bytes") == 260e6);
    CHECK(valueOf("jasminestack_descriptor_limit") == 4);
    CHECK(valueOf("jasminestack_request_bytes") == 11);
    CHECK(valueOf("jasminestack_request_limit_bytes") == 100);
    CHECK(valueOf("jasminestack_unread_response_bytes") == 22);
    CHECK(valueOf("jasminestack_unread_response_limit_bytes") == -1);
    CHECK(valueOf("jasminestack_open_caller_connections") == 3);
}

// Measures the processor time of one call; run it by its name.
TEST_CASE("cost of the process's metrics", "[.measure][usage]")
{
    Metrics metrics;
    ProcessMonitor monitor(metrics, { .memoryBytes = 260'000'000, .descriptors = 1'000'000 });
    constexpr int calls = 20'000;
    double before = processorSeconds();
    for (int i = 0; i < calls; ++i)
        monitor.update({ 1 }, {});
    double each = (processorSeconds() - before) / calls;
    std::vector<int> descriptors(4'000);
    for (int& descriptor : descriptors)
        descriptor = dup(STDIN_FILENO);
    constexpr int counts = 1'000;
    before = processorSeconds();
    for (int i = 0; i < counts; ++i)
        (void)countDescriptors();
    double count = (processorSeconds() - before) / counts;
    WARN("update: " << each * 1e6 << " us, counting " << countDescriptors().value_or(0)
                    << " descriptors: " << count * 1e6 << " us");
    for (int descriptor : descriptors)
        close(descriptor);
}
