#include "router/ShutdownTimes.h"

#include <catch2/catch.hpp>

using namespace jasminestack;

// Guards against a process that is killed in its shutdown because it uses the whole grace time.
TEST_CASE("the shutdown ends before the grace time", "[drain]")
{
    ShutdownTimes times = shutdownTimes(Millis { 8'000 });
    CHECK(times.refusal == Millis { 2'500 });
    CHECK(times.finalAnswers == Millis { 7'500 });
    CHECK(times.exit == Millis { 7'700 });
}

// Guards against negative times of a short grace time, by which the process would end in the turn of the stop request.
TEST_CASE("the steps of a shutdown are in order for each grace time", "[drain]")
{
    for (std::int64_t grace = 100; grace < 4'000; grace += 50) {
        ShutdownTimes times = shutdownTimes(Millis { grace });
        CAPTURE(grace);
        CHECK(times.refusal > Millis {});
        CHECK(times.finalAnswers >= Millis {});
        CHECK(times.finalAnswers < times.exit);
        CHECK(times.refusal <= times.exit);
        CHECK(times.exit < Millis { grace });
    }
}
