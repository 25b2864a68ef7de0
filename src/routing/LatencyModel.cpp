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
    model.perUnit = slope;
    model.base = std::max(mean - slope * meanWork, 0.0);
}

}
