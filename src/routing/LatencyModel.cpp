#include "routing/LatencyModel.h"

#include <algorithm>

namespace jasminestack {

namespace {

    // A sample's weight after so many further ones is 1/e; long enough to hold both short and long prompts.
    constexpr double memorySamples = 400.0;

    // Samples before the fit replaces the starting point.
    constexpr double minimumSamples = 30.0;

    // A sample far beyond its prediction comes from a fault, not from the load; it counts as this many times as long.
    constexpr double outlierFactor = 3.0;

    // The shortest time grows by this part with each sample, so that it follows engines that get slower.
    constexpr double shortestGrowth = 1.0 / 1'000.0;

    // Time without work ahead, over the shortest time seen. Anything beyond comes from work that nobody has told of.
    constexpr double maximumBase = 2.0;

    // Steps of the quantile estimate: one in six samples exceeds the prediction times the factor.
    constexpr double overrunStep = 0.01;
    constexpr double overrunQuantile = 5.0 / 6.0;
    constexpr double minimumOverrun = 1.0;
    constexpr double maximumOverrun = 2.5;

}

void addSample(LatencyModel& model, double work, double milliseconds) noexcept
{
    double predicted = std::max(model.predict(work), 1.0);
    bool over = milliseconds > predicted * model.overrun;
    model.overrun += overrunStep * (over ? overrunQuantile : overrunQuantile - 1.0);
    model.overrun = std::clamp(model.overrun, minimumOverrun, maximumOverrun);

    double y = std::min(milliseconds, predicted * outlierFactor);
    model.shortest = model.shortest == 0 ? y : std::min(y, model.shortest * (1.0 + shortestGrowth));
    constexpr double keep = 1.0 - 1.0 / memorySamples;
    model.weight = model.weight * keep + 1.0;
    model.sumX = model.sumX * keep + work;
    model.sumY = model.sumY * keep + y;
    model.sumXX = model.sumXX * keep + work * work;
    model.sumXY = model.sumXY * keep + work * y;
    if (model.weight < minimumSamples)
        return;
    double determinant = model.weight * model.sumXX - model.sumX * model.sumX;
    if (determinant <= model.sumXX * 1e-6)
        return;
    double slope = (model.weight * model.sumXY - model.sumX * model.sumY) / determinant;
    double mean = model.sumY / model.weight;
    double meanWork = model.sumX / model.weight;
    // A negative slope or base would come from noise only.
    slope = std::clamp(slope, 0.0, meanWork > 0 ? mean / meanWork : slope);
    double base = std::max(mean - slope * meanWork, 0.0);
    // Late answers behind unknown work look like a long time without work and no time for it, with which any amount of
    // work would be admitted. They count as slow work instead.
    double limit = model.shortest * maximumBase;
    if (base > limit && meanWork > 0) {
        base = limit;
        slope = (mean - base) / meanWork;
    }
    model.perUnit = slope;
    model.base = base;
}

}
