#include "Journal.h"

#include <nlohmann/json.hpp>

namespace jasminestack::standins {

std::size_t Journal::addRun(RunRecord record)
{
    m_records.push_back(std::move(record));
    return m_records.size() - 1;
}

nlohmann::json Journal::toJson(std::size_t firstIndex) const
{
    auto runs = nlohmann::json::array();
    for (std::size_t i = firstIndex; i < m_records.size(); ++i) {
        const RunRecord& run = m_records[i];
        runs.push_back({ { "endpoint", run.endpoint }, { "request", run.requestId }, { "workspace", run.workspace },
            { "marker", run.marker }, { "arrived", run.arrived }, { "start", run.start }, { "decode", run.decode },
            { "end", run.end }, { "from", run.from }, { "tokens", run.tokenCount }, { "cost", run.cost },
            { "outcome", run.outcome } });
    }
    return { { "next", m_records.size() }, { "runs", std::move(runs) } };
}

}
