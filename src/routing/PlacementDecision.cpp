#include "routing/PlacementDecision.h"

namespace jasminestack {

namespace {

    // Cost of an output token in prompt tokens, as the operators' throughput figure counts them.
    constexpr double outputCost = 2.0;

    AdmissionInput admissionFacts(const PlacementInputs& inputs, const PlacementQuery& query, Millis now)
    {
        // No engine reads prompts behind a plain request, so its wait is bounded by its own objective only.
        return { .objective = query.objective,
            .tightest = query.isStream ? inputs.table.tightestObjective(query.pool) : Millis {},
            .overrun = inputs.fleetView.pools[query.pool].latency.overrun,
            .fairShareRatio = fairShareRatio(inputs.shares, query.workspace),
            .waited = now - query.arrivedAt,
            .age = now - query.firstArrival,
            .timeLeft = query.deadline - now };
    }

    EndpointChoice chooseWithin(
        const PlacementInputs& inputs, const PlacementQuery& query, const AdmissionLimits& limits, Millis now)
    {
        return chooseEndpoint(inputs.fleetView, inputs.table, query.pool, query.workload(),
            { .limits = limits,
                .availabilityZone = query.availabilityZone,
                .triedEndpoints = query.triedEndpoints,
                .repeatable = query.isRepeatable,
                .shard = inputs.shard,
                .options = inputs.options },
            now);
    }

}

PlacementDecision decidePlacement(
    const PlacementInputs& inputs, const PlacementQuery& query, Random& random, Millis now)
{
    AdmissionInput facts = admissionFacts(inputs, query, now);
    AdmissionLimits limits = admissionLimits(facts);
    PlacementDecision decision { .choice = chooseWithin(inputs, query, limits, now) };
    const EndpointChoice& choice = decision.choice;
    decision.isLate = isLate(limits, choice.prediction);
    if (choice.endpoint && (choice.isWithinLimits || inputs.admitAll)) {
        decision.verdict = PlacementVerdict::Send;
    } else if (mayWait(facts, limits, choice.prediction)) {
        decision.verdict = PlacementVerdict::Wait;
    } else {
        decision.verdict = PlacementVerdict::Refuse;
        decision.retryAfter = retryDelay(facts, limits, choice.prediction, random);
    }
    return decision;
}

EndpointChoice bestEndpoint(const PlacementInputs& inputs, const PlacementQuery& query, Millis now)
{
    return chooseWithin(inputs, query, admissionLimits(admissionFacts(inputs, query, now)), now);
}

WaitingOrder waitingOrder(const PlacementQuery& query, const WorkspaceShares& shares, bool late) noexcept
{
    bool returning = query.firstArrival < query.arrivedAt;
    return { late, !returning, fairShareRatio(shares, query.workspace), query.firstArrival.count };
}

double chargedTokens(const PlacementQuery& query) noexcept
{
    return static_cast<double>(query.promptTokens) + outputCost * static_cast<double>(query.maxOutputTokens);
}

}
