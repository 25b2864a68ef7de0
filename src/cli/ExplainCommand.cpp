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
    std::string valueOf(const std::string& line, std::string_view key)
    {
        std::string needle = " " + std::string(key) + "=";
        std::size_t start = line.find(needle);
        if (start == std::string::npos)
            return {};
        start += needle.size();
        if (start < line.size() && line[start] == '"')
            return line.substr(start + 1, line.find('"', start + 1) - start - 1);
        return line.substr(start, line.find(' ', start) - start);
    }

    // Lines of a request, or the counts of failures, out of the logs of any number of daemons.
    class LogDigest {
    public:
        explicit LogDigest(std::string request)
            : m_request(std::move(request))
        {
        }

        void read(std::istream& log, const std::string& name)
        {
            for (std::string line; std::getline(log, line);) {
                std::string event = valueOf(line, "event");
                std::size_t time = line.find("time=");
                if (!m_request.empty() && time != std::string::npos && valueOf(line, "request") == m_request)
                    m_story.emplace(line.substr(time), name);
                if (event == "request_failed")
                    ++m_failures["status=" + valueOf(line, "status") + " cause=" + valueOf(line, "cause")
                        + " may_have_run=" + valueOf(line, "may_have_run")];
                else if (event == "request_refused" || event == "request_unreadable")
                    ++m_failures["status=" + valueOf(line, "status") + " kind=" + valueOf(line, "kind")];
                m_requests += event == "request_done" ? 1 : 0;
            }
        }

        [[nodiscard]] bool printStory() const
        {
            // The time stands first in each line, so that the map's order is the story's.
            for (const auto& [line, name] : m_story)
                std::cout << name << ": " << line << "\n";
            return !m_story.empty();
        }

        void printSummary() const
        {
            std::vector<std::pair<std::string, std::size_t>> order(m_failures.begin(), m_failures.end());
            std::stable_sort(
                order.begin(), order.end(), [](const auto& a, const auto& b) { return a.second > b.second; });
            std::cout << m_requests << " requests ended\n";
            for (const auto& [cause, count] : order)
                std::cout << count << " " << cause << "\n";
        }

    private:
        std::string m_request;
        std::multimap<std::string, std::string> m_story;
        std::map<std::string, std::size_t> m_failures;
        std::size_t m_requests { 0 };
    };

}

int runExplain(const std::vector<std::string>& arguments)
{
    const bool summary = absl::GetFlag(FLAGS_summary);
    if (!summary && arguments.empty()) {
        std::cerr << "jasminestack: 'explain' needs the id of a request, or --summary\n";
        return exit_code::usage;
    }
    LogDigest digest(summary ? std::string() : arguments.front());
    std::vector<std::string> files(arguments.begin() + (summary ? 0 : 1), arguments.end());
    if (files.empty())
        digest.read(std::cin, "log");
    for (const std::string& file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << "jasminestack: cannot read " << file << "\n";
            return exit_code::failure;
        }
        digest.read(log, file);
    }
    if (summary) {
        digest.printSummary();
        return exit_code::success;
    }
    if (digest.printStory())
        return exit_code::success;
    std::cerr << "jasminestack: no line mentions request " << arguments.front() << "\n";
    return exit_code::failure;
}

}
