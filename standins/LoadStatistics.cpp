#include "LoadStatistics.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace jasminestack::standins {

using nlohmann::json;

namespace {

    constexpr double bucketMs = 100;

    json quantiles(std::vector<float> values)
    {
        if (values.empty())
            return json({ { "count", 0 } });
        std::sort(values.begin(), values.end());
        auto quantile = [&values](double part) {
            auto index = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
            return values[std::clamp<std::size_t>(index, 1, values.size()) - 1];
        };
        double sum = 0;
        for (float value : values)
            sum += value;
        return { { "count", values.size() }, { "mean", sum / static_cast<double>(values.size()) },
            { "p50", quantile(0.5) }, { "p95", quantile(0.95) }, { "p99", quantile(0.99) }, { "max", values.back() } };
    }

}

void GroupStatistics::addCost(double value, double sinceStartMs)
{
    cost += value;
    auto bucket = static_cast<std::size_t>(std::max(sinceStartMs, 0.0) / bucketMs);
    if (costBuckets.size() <= bucket)
        costBuckets.resize(bucket + 1);
    costBuckets[bucket] += value;
}

json LoadStatistics::toJson() const
{
    json groupResults = json::object();
    for (const auto& [name, index] : groupIndexByName) {
        const GroupStatistics& group = groups[index];
        groupResults[name] = { { "workspace", group.workspace }, { "sent", group.sent },
            { "completed", group.completed }, { "tokens", group.tokens }, { "cost", group.cost },
            { "wrong", group.wrong }, { "partial", group.partial }, { "notSent", group.notSent },
            { "costBuckets", group.costBuckets }, { "outstanding", group.outstanding },
            { "firstByteMs", quantiles(group.firstByteMs) }, { "latencyMs", quantiles(group.latencyMs) },
            { "interChunkMs", quantiles(group.interChunkMs) }, { "errors", group.errors } };
    }
    json notRunResponses = json::array();
    for (const NotRunResponse& response : notRun) {
        notRunResponses.push_back({ { "request", response.requestId }, { "marker", response.marker },
            { "kind", response.kind }, { "at", response.receivedMs } });
    }
    json attemptResults = json::array();
    for (const BookingAttempt& attempt : bookings) {
        attemptResults.push_back({ { "booking", attempt.booking }, { "target", attempt.target },
            { "outcome", attempt.outcome }, { "runStatus", attempt.runStatus }, { "request", attempt.requestId },
            { "start", attempt.startMs }, { "end", attempt.endMs } });
    }
    return { { "startMs", startMs }, { "endMs", endMs }, { "bucketMs", bucketMs },
        { "groups", std::move(groupResults) }, { "notRun", std::move(notRunResponses) },
        { "bookings", std::move(attemptResults) }, { "events", events } };
}

}
