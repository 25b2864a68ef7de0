#include "config/SettingsFile.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace jasminestack;

namespace {

/// \brief A path in the folder for temporary files, which is removed in the end.
struct TemporaryFile {
    std::filesystem::path path
        = std::filesystem::temp_directory_path() / ("jasminestack-settings-" + std::to_string(getpid()) + ".json");

    ~TemporaryFile() { std::filesystem::remove(path); }

    void write(std::string_view text) const { std::ofstream(path, std::ios::trunc) << text; }
};

constexpr SettingsWaitOptions shortWait { .timeLimit = Millis { 20 }, .interval = Millis { 1 } };

}

// Guards against a start that fails because the platform is just writing the settings.
TEST_CASE("a settings file that appears or becomes whole later is read", "[settings-file]")
{
    const std::string whole = R"({ "router": { "id": "edge-1" } })";
    for (std::string_view firstContent : { "", "{ \"router\": { \"id\"" }) {
        TemporaryFile file;
        if (!firstContent.empty())
            file.write(firstContent);
        std::thread writer([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
            file.write(whole);
        });
        std::ostringstream notices;
        auto read = awaitSettingsText(
            file.path.string(), notices, { .timeLimit = Millis { 60'000 }, .interval = Millis { 1 } });
        writer.join();
        CHECK(read.text == whole);
        CHECK_FALSE(read.isStopRequested);
    }
}

// Guards against a service that waits for ever, and against a lost message about what is wrong with the file.
TEST_CASE("a settings file that stays incomplete is returned after the time limit", "[settings-file]")
{
    TemporaryFile file;
    std::ostringstream notices;
    CHECK_FALSE(awaitSettingsText(file.path.string(), notices, shortWait).text.has_value());
    CHECK(notices.str() == "jasminestack: " + file.path.string() + " cannot be read, trying again for at most 20 ms\n");
    file.write("{ \"router\"");
    CHECK(awaitSettingsText(file.path.string(), notices, shortWait).text == "{ \"router\"");
}

// Guards against a start that is delayed, or a line that alarms, although the document is whole.
TEST_CASE("a whole settings file is returned without a notice, whatever its values", "[settings-file]")
{
    TemporaryFile file;
    file.write(R"({ "router": -1 })");
    std::ostringstream notices;
    CHECK(awaitSettingsText(file.path.string(), notices).text == R"({ "router": -1 })");
    CHECK(notices.str().empty());
}

// Guards against settings that stay as they were because the file was read while it was written, and against a line for
// each attempt to read a file that stays broken.
TEST_CASE("a failed reload is repeated until the file can be used", "[settings-file]")
{
    TemporaryFile file;
    file.write("{}");
    SettingsFile settings { .path = file.path.string() };
    CHECK(takeReload(settings, false));
    CHECK_FALSE(takeReload(settings, false));
    CHECK(takeReload(settings, true));
    CHECK(recordReloadFailure(settings, "cut off"));
    CHECK(takeReload(settings, false));
    CHECK_FALSE(recordReloadFailure(settings, "cut off"));
    recordReload(settings);
    CHECK_FALSE(takeReload(settings, false));
    SettingsFile unwatched;
    CHECK_FALSE(takeReload(unwatched, true));
}
