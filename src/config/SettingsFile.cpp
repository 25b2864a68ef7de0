#include "config/SettingsFile.h"

#include "base/LifecycleSignals.h"
#include "config/JsonDocument.h"

#include <fstream>
#include <iterator>
#include <ostream>
#include <thread>

namespace jasminestack {

namespace {

    // A file that is overwritten in place can have an error anywhere, not only at its end.
    bool isWhole(std::string_view text)
    {
        JsonProblems problems;
        (void)parseJson(text, problems);
        return problems.empty();
    }

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
        auto text = readFile(path);
        if (text && isWhole(*text))
            return { .text = std::move(text) };
        if (isStopSignalPending())
            return { .text = std::move(text), .isStopRequested = true };
        if (clock.now() - start >= options.timeLimit)
            return { .text = std::move(text) };
        if (!hasNotified)
            notices << "jasminestack: " << path << (text ? " is not whole" : " cannot be read")
                    << ", trying again for at most " << options.timeLimit.count << " ms" << std::endl;
        std::this_thread::sleep_for(std::chrono::milliseconds(options.interval.count));
    }
}

}
