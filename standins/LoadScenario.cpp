#include "LoadScenario.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace jasminestack::standins {

using nlohmann::json;

namespace {

    TokenDistribution parseDistribution(const json& value)
    {
        TokenDistribution result;
        if (value.is_number()) {
            result.mean = value.get<double>();
            return result;
        }
        result.shape = value.value("shape", result.shape);
        result.mean = value.value("mean", result.mean);
        result.sigma = value.value("sigma", result.sigma);
        result.minimum = value.value("min", result.minimum);
        result.maximum = value.value("max", result.maximum);
        result.maximumPart = value.value("largePart", result.maximumPart);
        return result;
    }

    CallerGroup parseGroup(const json& value)
    {
        CallerGroup group;
        group.workspace = value.value("workspace", group.workspace);
        group.name = value.value("name", group.workspace);
        group.key = value.value("key", group.key);
        group.targets = value.value("targets", group.targets);
        group.kind = value.value("kind", group.kind);
        group.isOpenLoop = value.value("mode", "closed") == "open";
        group.connections = value.value("connections", group.connections);
        group.ratePerSecond = value.value("ratePerSecond", group.ratePerSecond);
        group.startMs = value.value("startMs", group.startMs);
        group.stopMs = value.value("stopMs", group.stopMs);
        group.thinkMs = value.value("thinkMs", group.thinkMs);
        group.model = value.value("model", group.model);
        group.path = value.value("path", group.path);
        if (value.contains("tokens"))
            group.tokens = parseDistribution(value["tokens"]);
        group.promptTokens = value.value("promptTokens", group.promptTokens);
        group.prefixes = value.value("prefixes", group.prefixes);
        group.hint = value.value("hint", group.hint);
        group.falseHint = value.value("falseHint", group.falseHint);
        group.streamPart = value.value("streamPart", group.streamPart);
        group.deadlineMs = value.value("deadlineMs", group.deadlineMs);
        group.timeoutMs = value.value("timeoutMs", group.timeoutMs);
        group.crashMarker = value.value("crashMarker", group.crashMarker);
        group.sameContent = value.value("sameContent", group.sameContent);
        group.retries = value.value("resends", group.retries);
        group.duplicatePart = value.value("duplicatePart", group.duplicatePart);
        group.idempotencyKey = value.value("idempotencyKey", group.idempotencyKey);
        return group;
    }

}

unsigned TokenDistribution::sample(Random& random) const
{
    double value = mean;
    if (shape == "uniform") {
        value = minimum + random.uniformReal() * (maximum - minimum);
    } else if (shape == "bimodal") {
        value = random.uniformReal() < maximumPart ? maximum : minimum;
    } else if (shape == "lognormal") {
        // Box-Muller; 1 - uniformReal() avoids the logarithm of 0.
        double normal = std::sqrt(-2 * std::log(1 - random.uniformReal()))
            * std::cos(2 * 3.14159265358979 * random.uniformReal());
        value = mean * std::exp(sigma * normal - sigma * sigma / 2);
    }
    return static_cast<unsigned>(std::lround(std::clamp(value, std::max(minimum, 1.0), std::max(maximum, 1.0))));
}

Result<LoadScenario> parseScenario(const json& value)
{
    LoadScenario scenario;
    if (!value.is_object())
        return Error { .kind = ErrorKind::BadRequest, .message = "the scenario is not a JSON object" };
    scenario.seed = value.value("seed", scenario.seed);
    scenario.seconds = value.value("seconds", scenario.seconds);
    scenario.drainSeconds = value.value("drainSeconds", scenario.drainSeconds);
    for (const json& entry : value.value("groups", json::array())) {
        scenario.groups.push_back(parseGroup(entry));
        if (scenario.groups.back().targets.empty())
            return Error { .kind = ErrorKind::BadRequest,
                .message = "group '" + scenario.groups.back().name + "' has no targets" };
    }
    return scenario;
}

}
