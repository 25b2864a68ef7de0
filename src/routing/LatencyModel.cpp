#include "routing/LatencyModel.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // A sample's weight falls to 1/e after this many further samples; enough for a fit over both short and long
    // prompts.
    constexpr double decaySamples = 400.0;

    // Sum of sample weights at which the fit replaces the initial parameters.
    constexpr double minimumSamples = 30.0;

    // A sample far above its prediction comes from a fault, not from load; samples are capped at this multiple of the
    // prediction.
    constexpr double outlierFactor = 3.0;

    // The shortest time may grow by this fraction with each sample, so that it adapts to engines that become slower.
    constexpr double shortestGrowth = 1.0 / 1'000.0;

    // Upper bound on the base time, as a multiple of the shortest time. A longer base comes from load that no daemon
    // has reported.
    constexpr double maximumBaseRatio = 2.0;

    // Each sample moves LatencyModel::overrunFactor by a part of this step, so that in equilibrium one in six samples
    // exceeds the prediction multiplied by the factor.
    constexpr double overrunStep = 0.01;
    constexpr double overrunQuantile = 5.0 / 6.0;
    constexpr double minimumOverrun = 1.0;
    constexpr double maximumOverrun = 2.5;

}

void addSample(LatencyModel& model, double backlogTokens, double milliseconds) noexcept
{
    double predictedMs = std::max(model.predictMs(backlogTokens), 1.0);
    bool isOverPrediction = milliseconds > predictedMs * model.overrunFactor;
    model.overrunFactor += overrunStep * (isOverPrediction ? overrunQuantile : overrunQuantile - 1.0);
    model.overrunFactor = std::clamp(model.overrunFactor, minimumOverrun, maximumOverrun);

    double sampleMs = std::min(milliseconds, predictedMs * outlierFactor);
    model.shortestMs = model.shortestMs == 0 ? sampleMs : std::min(sampleMs, model.shortestMs * (1.0 + shortestGrowth));
    constexpr double decay = 1.0 - 1.0 / decaySamples;
    model.weight = model.weight * decay + 1.0;
    model.sumX = model.sumX * decay + backlogTokens;
    model.sumY = model.sumY * decay + sampleMs;
    model.sumXX = model.sumXX * decay + backlogTokens * backlogTokens;
    model.sumXY = model.sumXY * decay + backlogTokens * sampleMs;
    if (model.weight < minimumSamples)
        return;
    double determinant = model.weight * model.sumXX - model.sumX * model.sumX;
    // Samples with almost equal backlogs do not determine a slope.
    if (determinant <= model.sumXX * 1e-6)
        return;
    double msPerToken = (model.weight * model.sumXY - model.sumX * model.sumY) / determinant;
    double meanMs = model.sumY / model.weight;
    double meanBacklogTokens = model.sumX / model.weight;
    // A negative slope or base would come from noise only.
    msPerToken = std::clamp(msPerToken, 0.0, meanBacklogTokens > 0 ? meanMs / meanBacklogTokens : msPerToken);
    double baseMs = std::max(meanMs - msPerToken * meanBacklogTokens, 0.0);
    // With unreported load at the endpoints, the fit gives a large base and a slope near zero, with which any backlog
    // would be admitted. The excess of the base is attributed to the slope instead.
    double maximumBaseMs = model.shortestMs * maximumBaseRatio;
    if (baseMs > maximumBaseMs && meanBacklogTokens > 0) {
        baseMs = maximumBaseMs;
        msPerToken = (meanMs - baseMs) / meanBacklogTokens;
    }
    model.msPerToken = msPerToken;
    model.baseMs = baseMs;
}

}
