#include "routing/PlacementDecision.h"

namespace jasminestack {

namespace {

    // Cost of an output token in prompt tokens; the reported throughput uses the same weight.
    constexpr double outputTokenWeight = 2.0;

    AdmissionInput admissionInput(const PlacementInputs& inputs, const PlacementQuery& query, Millis now)
    {
        // Plain requests (not streams) add no prompt processing ahead of streams, so only their own objective bounds
        // their wait.
        return { .objective = query.latencyObjective,
            .tightestPoolObjective = query.isStream ? inputs.table.tightestObjective(query.pool) : Millis {},
            .overrunFactor = inputs.fleetView.pools[query.pool].latencyModel.overrunFactor,
            .fairShareRatio = fairShareRatio(inputs.shares, query.workspace),
            .timeSinceArrival = now - query.arrivedAt,
            .timeSinceFirstArrival = now - query.firstArrival,
            .timeToDeadline = query.deadline - now };
    }

    EndpointChoice chooseForQuery(
        const PlacementInputs& inputs, const PlacementQuery& query, const AdmissionLimits& limits, Millis now)
    {
        return chooseEndpoint(inputs.fleetView, inputs.table, query.pool, query.workload(),
            { .limits = limits,
                .availabilityZone = query.availabilityZone,
                .triedEndpoints = query.triedEndpoints,
                .isRepeatable = query.isRepeatable,
                .shard = inputs.shard,
                .streamTimeLeft = query.isStream ? query.deadline - now : Millis {},
                .options = inputs.options },
            now);
    }

}

PlacementDecision decidePlacement(
    const PlacementInputs& inputs, const PlacementQuery& query, Random& random, Millis now)
{
    AdmissionInput input = admissionInput(inputs, query, now);
    AdmissionLimits limits = admissionLimits(input);
    PlacementDecision decision { .choice = chooseForQuery(inputs, query, limits, now) };
    const EndpointChoice& choice = decision.choice;
    decision.isLate = isLate(limits, choice.prediction);
    if (choice.endpoint && (choice.isWithinLimits || inputs.admitsAll)) {
        decision.verdict = PlacementVerdict::Send;
    } else if (mayWait(input, limits, choice.prediction)) {
        decision.verdict = PlacementVerdict::Wait;
    } else {
        decision.verdict = PlacementVerdict::Refuse;
        decision.retryAfter = retryDelay(input, limits, choice.prediction, random);
    }
    return decision;
}

EndpointChoice bestEndpoint(const PlacementInputs& inputs, const PlacementQuery& query, Millis now)
{
    return chooseForQuery(inputs, query, admissionLimits(admissionInput(inputs, query, now)), now);
}

WaitingOrder waitingOrder(const PlacementQuery& query, const WorkspaceShares& shares, bool isLateRequest) noexcept
{
    bool isCallerRetry = query.firstArrival < query.arrivedAt;
    return { isLateRequest, !isCallerRetry, fairShareRatio(shares, query.workspace), query.firstArrival.count };
}

double chargedTokens(const PlacementQuery& query) noexcept
{
    return static_cast<double>(query.promptTokens) + outputTokenWeight * static_cast<double>(query.maxOutputTokens);
}

}
