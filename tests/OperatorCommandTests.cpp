#include "CommandLine.h"
#include "base/Hash.h"
#include "daemon/AdminRoutes.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <unistd.h>

using namespace jasminestack;
using nlohmann::json;

namespace {

/// Fault in the handling of publish requests.
enum class Fault : std::uint8_t {
    None,
    ResponseLost, ///< The record is appended, but the response is not sent.
    RecordLost, ///< The record is not appended, and the response says that the outcome is unknown.
    LostAfterOtherChange, ///< Like RecordLost, but another operator's change is accepted on the same base.
    LogDown,
};

/// Runs an admin server with a configuration replica and a log in memory on a separate thread.
class FakeDaemon {
public:
    explicit FakeDaemon(Fault fault = Fault::None)
        : m_fault(fault)
        , m_base(event_base_new(), &event_base_free)
    {
        append("setup", 0,
            R"({"workspaces":{"guild":{"share":2,"keys":["sha256:)" + std::string(64, 'a')
                + R"("]},"harbour":{}},"presets":{"peaks":{"shares":{"guild":5},"admit":["guild"]}}})");
        AdminHandlers handlers;
        handlers.configuration = [this] { return configurationJson(m_state); };
        handlers.history = [this](std::string_view id) { return historyJson(m_state, id); };
        handlers.publish
            = [this](const PublishRequest& request, const AdminResponseCallback& reply) { publish(request, reply); };
        auto listening = AdminServer::listen(
            *m_base, { .address = "127.0.0.1:0", .operatorToken = "operator-secret" }, std::move(handlers));
        REQUIRE(listening);
        m_server = std::move(listening).value();
        m_tokenFile = std::filesystem::temp_directory_path() / ("jasminestack-token-" + std::to_string(getpid()));
        std::ofstream(m_tokenFile) << "operator-secret\n";
        m_thread = std::thread([this] {
            // Wakes up regularly to check for the stop request, since no other thread may use the event base.
            while (!m_stopRequested) {
                timeval interval { .tv_sec = 0, .tv_usec = 5'000 };
                event_base_loopexit(m_base.get(), &interval);
                event_base_loop(m_base.get(), 0);
            }
        });
    }

    ~FakeDaemon()
    {
        stop();
        std::filesystem::remove(m_tokenFile);
    }

    FakeDaemon(const FakeDaemon&) = delete;
    FakeDaemon& operator=(const FakeDaemon&) = delete;

    void stop()
    {
        m_stopRequested = true;
        if (m_thread.joinable())
            m_thread.join();
        m_server.reset();
    }

    CommandResult run(std::vector<std::string> words, bool withToken = true)
    {
        // Only a lost response or record makes a command wait for its timeout.
        const bool waitsForTimeout = m_fault == Fault::ResponseLost || m_fault == Fault::RecordLost;
        words.insert(
            words.end(), { "--admin", m_server->address(), "--timeout-ms", waitsForTimeout ? "1000" : "10000" });
        if (withToken)
            words.insert(words.end(), { "--token-file", m_tokenFile.string(), "--author", "ada" });
        return runCommand(std::move(words));
    }

    /// Valid after stop().
    [[nodiscard]] const ConfigurationReplica& state() const { return m_state; }
    [[nodiscard]] json document() const { return json::parse(m_state.document); }

private:
    ChangeResult append(const std::string& id, std::uint64_t base, const std::string& patch)
    {
        LogBatch batch { .firstRetainedOffset = 0, .endOffset = m_state.throughOffset + 2 };
        batch.records.push_back({ .offset = m_state.throughOffset + 1,
            .timestampMs = 1'700'000'000'000,
            .payload = makeChangeRecord(id, "ada", base, patch).value() });
        return applyRecords(m_state, batch).front();
    }

    void publish(const PublishRequest& request, const AdminResponseCallback& reply)
    {
        if (const auto validation = validateChange(m_state, request.baseVersion, request.patch); !validation) {
            reply(publishReply(validation.error(), request.changeId, m_state.version));
            return;
        }
        const Error unknownOutcome { .kind = ErrorKind::ConfigurationOutcomeUnknown,
            .message = "the log does not respond" };
        switch (m_fault) {
        case Fault::None:
            reply(publishReply(append(request.changeId, request.baseVersion, request.patch)));
            break;
        case Fault::ResponseLost:
            (void)append(request.changeId, request.baseVersion, request.patch);
            break;
        case Fault::RecordLost:
            reply(publishReply(unknownOutcome, request.changeId, m_state.version));
            break;
        case Fault::LostAfterOtherChange:
            (void)append("other", request.baseVersion, R"({"limits":{"cellSize":8}})");
            reply(publishReply(unknownOutcome, request.changeId, m_state.version));
            break;
        case Fault::LogDown:
            reply(publishReply(
                Error { .kind = ErrorKind::LogUnavailable, .message = "the log is down" }, request.changeId, 0));
            break;
        }
    }

    Fault m_fault;
    ConfigurationReplica m_state;
    std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
    std::unique_ptr<AdminServer> m_server;
    std::filesystem::path m_tokenFile;
    std::atomic<bool> m_stopRequested { false };
    std::thread m_thread;
};

struct TemporaryFile {
    std::filesystem::path path
        = std::filesystem::temp_directory_path() / ("jasminestack-document-" + std::to_string(getpid()) + ".json");
    explicit TemporaryFile(const std::string& text) { std::ofstream(path) << text; }
    ~TemporaryFile() { std::filesystem::remove(path); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
};

}

// Guards against API keys in plain text in the configuration, which every daemon and reader of the log can read.
TEST_CASE("workspace create prints a key and publishes only its hash", "[cli]")
{
    FakeDaemon daemon;
    const auto run = daemon.run({ "workspace", "create", "yard", "--share", "3", "--queue-requests", "50" });
    INFO(run.errorOutput);
    REQUIRE(run.exitCode == 0);
    const auto start = run.output.find("jsk_");
    REQUIRE(start != std::string::npos);
    const std::string key = run.output.substr(start, 52);
    REQUIRE(run.output.find("version 2 is in force") != std::string::npos);
    REQUIRE(daemon.run({ "workspace", "create", "yard" }).exitCode == 3);
    REQUIRE(daemon.run({ "workspace", "create", "not an id" }).exitCode == 3);
    daemon.stop();
    REQUIRE(daemon.document()["workspaces"]["yard"]
        == json { { "keys", { "sha256:" + sha256Hex(key) } }, { "queueRequests", 50 }, { "share", 3.0 } });
    REQUIRE(daemon.state().document.find(key) == std::string::npos);
}

TEST_CASE("workspaces are listed, changed and removed", "[cli]")
{
    FakeDaemon daemon;
    const auto list = daemon.run({ "workspace", "list" }, false);
    REQUIRE(list.exitCode == 0);
    REQUIRE(list.output.find("WORKSPACE  SHARE  KEYS") != std::string::npos);
    REQUIRE(daemon.run({ "workspace", "set", "guild", "--share", "7", "--preset", "peaks" }).exitCode == 0);
    REQUIRE(daemon.run({ "workspace", "set", "harbour", "--share=0.5" }).exitCode == 0);
    REQUIRE(daemon.run({ "workspace", "set", "guild", "--add-key" }).output.find("jsk_") != std::string::npos);
    REQUIRE(daemon.run({ "workspace", "set", "guild", "--remove-key", "aaaa" }).exitCode == 0);
    REQUIRE(daemon.run({ "workspace", "set", "guild", "--remove-key", "aaaa" }).exitCode == 3);
    REQUIRE(daemon.run({ "workspace", "set", "nobody", "--share", "1" }).exitCode == 3);
    REQUIRE(daemon.run({ "workspace", "set", "guild" }).exitCode == 2);
    REQUIRE(daemon.run({ "workspace", "set", "guild", "--share", "-1" }).exitCode == 2);
    REQUIRE(daemon.run({ "workspace", "set", "guild", "--queue-requests", "-1" }).exitCode == 3);
    daemon.stop();
    REQUIRE(daemon.document()["presets"]["peaks"]["shares"]["guild"] == 7.0);
    REQUIRE(daemon.document()["workspaces"]["harbour"]["share"] == 0.5);
    REQUIRE(daemon.document()["workspaces"]["guild"]["keys"].size() == 1);
}

TEST_CASE("removing a workspace also removes it from the presets", "[cli]")
{
    FakeDaemon daemon;
    REQUIRE(daemon.run({ "workspace", "remove", "guild" }).exitCode == 0);
    daemon.stop();
    REQUIRE_FALSE(daemon.document()["workspaces"].contains("guild"));
    REQUIRE(daemon.document()["presets"]["peaks"]["admit"].empty());
}

TEST_CASE("presets are shown and put in force", "[cli]")
{
    FakeDaemon daemon;
    const auto show = daemon.run({ "preset", "show" }, false);
    REQUIRE(show.output.find("WORKSPACE  peaks") != std::string::npos);
    REQUIRE(daemon.run({ "preset", "use", "maintenance" }).exitCode == 3);
    REQUIRE(daemon.run({ "preset", "use", "peaks" }).exitCode == 0);
    REQUIRE(daemon.run({ "preset", "use", "peaks" }).output == "nothing to change in version 2\n");
    REQUIRE(daemon.run({ "preset", "show", "peaks", "--json" }, false).output.find("\"inForce\": \"peaks\"")
        != std::string::npos);
    REQUIRE(daemon.run({ "preset", "use", "ordinary" }).exitCode == 0);
}

// Guards against an edited copy of an older version that reverts the changes of other operators.
TEST_CASE("an edited configuration is published only on the version on which it is based", "[cli]")
{
    FakeDaemon daemon;
    const auto shown = daemon.run({ "config", "show" }, false);
    REQUIRE(shown.output.starts_with("// version 1\n"));
    std::string text = shown.output;
    text.replace(text.find("\"harbour\": {}"), 13, "\"harbour\": {\"share\": 4}");
    const TemporaryFile file(text);
    const auto diff = daemon.run({ "config", "diff", file.path.string(), "--json" }, false);
    REQUIRE(json::parse(diff.output)["patch"] == json::parse(R"({"workspaces":{"harbour":{"share":4}}})"));
    REQUIRE(daemon.run({ "config", "publish", file.path.string() }).exitCode == 0);
    REQUIRE(daemon.run({ "preset", "use", "peaks" }).exitCode == 0);
    const auto stale = daemon.run({ "config", "publish", file.path.string() });
    REQUIRE(stale.exitCode == 4);
    REQUIRE(stale.errorOutput.find("based on version 1, but version 3 is in force") != std::string::npos);
    REQUIRE(daemon.run({ "config", "publish", file.path.string(), "--base", "3" }).exitCode == 0);
    const auto history = daemon.run({ "config", "history", "--limit", "2", "--json" }, false);
    REQUIRE(json::parse(history.output)["changes"].size() == 2);
    REQUIRE(daemon.run({ "config", "history" }, false).output.find("setup") != std::string::npos);
    daemon.stop();
    REQUIRE_FALSE(daemon.document().contains("presetInForce"));
}

TEST_CASE("the errors of an invalid configuration file are printed with their positions", "[cli]")
{
    FakeDaemon daemon;
    const TemporaryFile file("{\n  \"limits\": {\"cellSize\": 0}\n}");
    const auto run = daemon.run({ "config", "publish", file.path.string() });
    REQUIRE(run.exitCode == 3);
    REQUIRE(run.errorOutput.find(":2:26: limits.cellSize: 0 is out of range") != std::string::npos);
}

// Guards against applying a change twice after its response was lost, and against printing a wrong outcome for it.
TEST_CASE("after a lost response the outcome is looked up in the history", "[cli]")
{
    SECTION("the change was applied")
    {
        FakeDaemon daemon(Fault::ResponseLost);
        const auto run = daemon.run({ "workspace", "set", "harbour", "--share", "9" });
        REQUIRE(run.exitCode == 0);
        REQUIRE(run.output.find("version 2 is in force") != std::string::npos);
        daemon.stop();
        REQUIRE(daemon.state().version == 2);
        REQUIRE(daemon.state().throughOffset == 1);
    }
    SECTION("another change was accepted on the same base, so that this one can no longer be accepted")
    {
        FakeDaemon daemon(Fault::LostAfterOtherChange);
        const auto run = daemon.run({ "workspace", "set", "harbour", "--share", "9" });
        REQUIRE(run.exitCode == 4);
        REQUIRE(run.errorOutput.find("by ada was accepted; version 2 is in force") != std::string::npos);
    }
    SECTION("the outcome stays unknown: the change is not sent again")
    {
        FakeDaemon daemon(Fault::RecordLost);
        const auto run = daemon.run({ "workspace", "create", "yard" });
        REQUIRE(run.exitCode == 6);
        REQUIRE(run.errorOutput.find("is unknown; do not send it again") != std::string::npos);
        REQUIRE(run.output.find("jsk_") != std::string::npos);
        daemon.stop();
        REQUIRE(daemon.state().throughOffset == 0);
    }
}

TEST_CASE("each kind of failure has a distinct exit code", "[cli]")
{
    FakeDaemon daemon(Fault::LogDown);
    REQUIRE(daemon.run({ "preset", "use", "peaks" }).exitCode == 1);
    REQUIRE(daemon.run({ "preset", "use", "peaks" }, false).exitCode == 2);
    REQUIRE(daemon.run({ "config", "history", "--id", "no-such-id" }, false).exitCode == 6);
    REQUIRE(runCommand({ "status", "--admin", "127.0.0.1:1" }).exitCode == 5);
    REQUIRE(runCommand({ "status", "--admin", "nonsense" }).exitCode == 5);
    const TemporaryFile token("wrong\n");
    REQUIRE(daemon.run({ "preset", "use", "peaks", "--token-file", token.path.string() }, false).exitCode == 1);
}
