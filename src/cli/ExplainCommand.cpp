#include "cli/Commands.h"
#include "cli/Flags.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace jasminestack {

namespace {

    // The value of `key=value` in a log line, without quotes; empty if the line has no such key.
    std::string fieldValue(const std::string& line, std::string_view key)
    {
        std::string prefix = " " + std::string(key) + "=";
        std::size_t start = line.find(prefix);
        if (start == std::string::npos)
            return {};
        start += prefix.size();
        if (start < line.size() && line[start] == '"')
            return line.substr(start + 1, line.find('"', start + 1) - start - 1);
        return line.substr(start, line.find(' ', start) - start);
    }

    // Collects the lines of one request and the counts of failures from the logs of several daemons.
    class LogReport {
    public:
        explicit LogReport(std::string requestId)
            : m_requestId(std::move(requestId))
        {
        }

        void read(std::istream& log, const std::string& sourceName)
        {
            for (std::string line; std::getline(log, line);) {
                std::string event = fieldValue(line, "event");
                std::size_t timeStart = line.find("time=");
                if (!m_requestId.empty() && timeStart != std::string::npos
                    && fieldValue(line, "request") == m_requestId)
                    m_requestLines.emplace(line.substr(timeStart), sourceName);
                if (event == "request_failed")
                    ++m_failureCounts["status=" + fieldValue(line, "status") + " cause=" + fieldValue(line, "cause")
                        + " may_have_run=" + fieldValue(line, "may_have_run")];
                else if (event == "request_refused" || event == "request_unreadable")
                    ++m_failureCounts["status=" + fieldValue(line, "status") + " kind=" + fieldValue(line, "kind")];
                m_endedRequestCount += event == "request_done" ? 1 : 0;
            }
        }

        [[nodiscard]] bool printRequestLines() const
        {
            // Each stored line starts with its time, so that the order of the map is chronological.
            for (const auto& [line, sourceName] : m_requestLines)
                std::cout << sourceName << ": " << line << "\n";
            return !m_requestLines.empty();
        }

        void printSummary() const
        {
            std::vector<std::pair<std::string, std::size_t>> sortedCounts(
                m_failureCounts.begin(), m_failureCounts.end());
            std::stable_sort(sortedCounts.begin(), sortedCounts.end(),
                [](const auto& left, const auto& right) { return left.second > right.second; });
            std::cout << m_endedRequestCount << " requests ended\n";
            for (const auto& [cause, count] : sortedCounts)
                std::cout << count << " " << cause << "\n";
        }

    private:
        std::string m_requestId;
        std::multimap<std::string, std::string> m_requestLines;
        std::map<std::string, std::size_t> m_failureCounts;
        std::size_t m_endedRequestCount { 0 };
    };

}

int runExplain(const std::vector<std::string>& arguments)
{
    const bool summary = absl::GetFlag(FLAGS_summary);
    if (!summary && arguments.empty()) {
        std::cerr << "jasminestack: 'explain' needs the id of a request, or --summary\n";
        return exit_code::usage;
    }
    LogReport report(summary ? std::string() : arguments.front());
    std::vector<std::string> files(arguments.begin() + (summary ? 0 : 1), arguments.end());
    if (files.empty())
        report.read(std::cin, "log");
    for (const std::string& file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << "jasminestack: cannot read " << file << "\n";
            return exit_code::failure;
        }
        report.read(log, file);
    }
    if (summary) {
        report.printSummary();
        return exit_code::success;
    }
    if (report.printRequestLines())
        return exit_code::success;
    std::cerr << "jasminestack: no log line has the request id " << arguments.front() << "\n";
    return exit_code::failure;
}

}
