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
        auto at = [&values](double part) {
            auto index = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
            return values[std::clamp<std::size_t>(index, 1, values.size()) - 1];
        };
        double sum = 0;
        for (float value : values)
            sum += value;
        return { { "count", values.size() }, { "mean", sum / static_cast<double>(values.size()) }, { "p50", at(0.5) },
            { "p95", at(0.95) }, { "p99", at(0.99) }, { "max", values.back() } };
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
    json all = json::object();
    for (const auto& [name, index] : byName) {
        const GroupStatistics& group = groups[index];
        all[name] = { { "workspace", group.workspace }, { "sent", group.sent }, { "completed", group.completed },
            { "tokens", group.tokens }, { "cost", group.cost }, { "wrong", group.wrong }, { "partial", group.partial },
            { "notSent", group.notSent }, { "costBuckets", group.costBuckets }, { "outstanding", group.outstanding },
            { "firstByteMs", quantiles(group.firstByteMs) }, { "latencyMs", quantiles(group.latencyMs) },
            { "interChunkMs", quantiles(group.interChunkMs) }, { "errors", group.errors } };
    }
    json refused = json::array();
    for (const NotRunResponse& answer : notRun) {
        refused.push_back({ { "request", answer.request }, { "marker", answer.marker }, { "kind", answer.kind },
            { "at", answer.at } });
    }
    json attempts = json::array();
    for (const BookingAttempt& attempt : bookings) {
        attempts.push_back({ { "booking", attempt.booking }, { "target", attempt.target },
            { "outcome", attempt.outcome }, { "runStatus", attempt.runStatus }, { "request", attempt.request },
            { "start", attempt.start }, { "end", attempt.end } });
    }
    return { { "startMs", startMs }, { "endMs", endMs }, { "bucketMs", bucketMs }, { "groups", std::move(all) },
        { "notRun", std::move(refused) }, { "bookings", std::move(attempts) }, { "events", events } };
}

}
