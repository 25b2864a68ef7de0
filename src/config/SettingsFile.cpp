#include "config/SettingsFile.h"

#include "base/LifecycleSignals.h"
#include "config/JsonDocument.h"

#include <fstream>
#include <iterator>
#include <ostream>
#include <sys/stat.h>
#include <thread>
#include <utility>

namespace jasminestack {

namespace {

    // A file that is overwritten in place can have an error anywhere, not only at its end.
    bool isWhole(std::string_view text)
    {
        JsonProblems problems;
        (void)parseJson(text, problems);
        return problems.empty();
    }

    std::int64_t modificationTimeNs(const std::string& path)
    {
        constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
        struct stat status { };
        if (stat(path.c_str(), &status) != 0)
            return 0;
        return status.st_mtim.tv_sec * nanosecondsPerSecond + status.st_mtim.tv_nsec;
    }

}

bool takeReload(SettingsFile& file, bool isSignalled)
{
    if (file.path.empty())
        return false;
    std::int64_t modifiedNs = modificationTimeNs(file.path);
    bool isChanged = modifiedNs != 0 && modifiedNs != file.modifiedNs;
    if (!isSignalled && !isChanged && !file.isRetryDue)
        return false;
    file.modifiedNs = modifiedNs;
    return true;
}

bool recordReloadFailure(SettingsFile& file, std::string_view message)
{
    file.isRetryDue = true;
    return std::exchange(file.lastFailure, std::string(message)) != message;
}

void recordReload(SettingsFile& file)
{
    file.isRetryDue = false;
    file.lastFailure.clear();
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return std::nullopt;
    std::string text { std::istreambuf_iterator<char>(stream), {} };
    if (stream.bad())
        return std::nullopt;
    return text;
}

SettingsText awaitSettingsText(const std::string& path, std::ostream& notices, const SettingsWaitOptions& options)
{
    SystemClock clock;
    Millis start = clock.now();
    for (bool hasNotified = false;; hasNotified = true) {
        std::int64_t modifiedNs = modificationTimeNs(path);
        auto text = readFile(path);
        bool isComplete = text && isWhole(*text);
        bool isStopRequested = !isComplete && isStopSignalPending();
        if (isComplete || isStopRequested || clock.now() - start >= options.timeLimit)
            return { .text = std::move(text), .modifiedNs = modifiedNs, .isStopRequested = isStopRequested };
        if (!hasNotified)
            notices << "jasminestack: " << path << (text ? " is not whole" : " cannot be read")
                    << ", trying again for at most " << options.timeLimit.count << " ms" << std::endl;
        std::this_thread::sleep_for(std::chrono::milliseconds(options.interval.count));
    }
}

}
