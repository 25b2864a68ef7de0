#include "observe/ProcessStart.h"

#include "base/Clock.h"
#include "observe/ProcessUsage.h"

#include <array>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace jasminestack {

namespace {

    // The system's clock and the process's start time do not belong together if they are further apart at the start.
    constexpr Millis maxStartAge { 600'000 };

    struct StartTimes {
        Millis stepBegan {};
        std::array<Millis, 3> steps {};
    };

    static_assert(StartTimes {}.steps.size() == static_cast<std::size_t>(StartStep::Addresses) + 1);

    StartTimes& startTimes()
    {
        static StartTimes times;
        return times;
    }

    void addLimit(std::vector<LogField>& fields, std::string_view key, int resource)
    {
        rlimit limit {};
        if (getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
            fields.emplace_back(key, limit.rlim_cur);
    }

    void addAge(std::vector<LogField>& fields)
    {
        if (auto age = processAge(); age && *age <= maxStartAge)
            fields.emplace_back("since_exec_ms", age->count);
    }

}

void logStarting(std::string_view settingsPath)
{
    startTimes().stepBegan = SystemClock().now();
    std::vector<LogField> fields { { "pid", getpid() }, { "settings", settingsPath },
        { "cores", sysconf(_SC_NPROCESSORS_ONLN) }, { "system_memory_bytes", systemMemoryBytes() } };
    addLimit(fields, "memory_limit_bytes", RLIMIT_AS);
    addLimit(fields, "descriptor_limit", RLIMIT_NOFILE);
    addLimit(fields, "file_size_limit", RLIMIT_FSIZE);
    addAge(fields);
    logEvent(LogLevel::Info, "starting", fields);
}

void endStartStep(StartStep step)
{
    Millis now = SystemClock().now();
    startTimes().steps[static_cast<std::size_t>(step)] = now - startTimes().stepBegan;
    startTimes().stepBegan = now;
}

void logStarted(std::initializer_list<LogField> fields)
{
    std::vector<LogField> all(fields);
    const auto& steps = startTimes().steps;
    all.emplace_back("settings_ms", steps[static_cast<std::size_t>(StartStep::Settings)].count);
    all.emplace_back("construction_ms", steps[static_cast<std::size_t>(StartStep::Construction)].count);
    all.emplace_back("addresses_ms", steps[static_cast<std::size_t>(StartStep::Addresses)].count);
    addAge(all);
    logEvent(LogLevel::Info, "started", all);
}

}
