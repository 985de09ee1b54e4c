#include <LibLog/LineLimiter.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against a log that one kind of line fills, and against lines that are left out without a word.
TEST_CASE("lines beyond the rate are left out and counted in the next line that is written")
{
    LineLimiter limiter(2);
    const MonotonicTime start;
    CHECK(limiter.admit(start) == 0);
    CHECK(limiter.admit(start) == 0);
    CHECK_FALSE(limiter.admit(start + Milliseconds { 1 }));
    CHECK_FALSE(limiter.admit(start + Milliseconds { 999 }));
    CHECK(limiter.admit(start + Milliseconds { 1'000 }) == 2);
    CHECK(limiter.admit(start + Milliseconds { 1'000 }) == 0);
    CHECK_FALSE(limiter.admit(start + Milliseconds { 1'001 }));
    CHECK(limiter.admit(start + Milliseconds { 5'000 }) == 1);
}
