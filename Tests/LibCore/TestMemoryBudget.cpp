#include <LibCore/MemoryBudget.h>

#include <LibCore/SeededRandom.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace Chicorydock;

namespace {

struct Holder {
    explicit Holder(MemoryBudget& budget)
        : account(&budget, [this] { ++revocations; })
    {
    }

    int revocations { 0 };
    MemoryBudget::Account account;
};

}

// Guards against holders that are bounded each and hold more together than the process may.
TEST_CASE("all holders together stay within the limit")
{
    MemoryBudget budget(100);
    Holder first(budget);
    Holder second(budget);
    REQUIRE(first.account.resize(60));
    REQUIRE(second.account.resize(40));
    CHECK(budget.bytes() == 100);
    CHECK_FALSE(first.account.resize(61));
    CHECK(first.account.bytes() == 60);
    CHECK(budget.refusals() == 1);
    CHECK(first.account.resize(10));
    CHECK(budget.bytes() == 50);
    CHECK(budget.peakBytes() == 100);
    CHECK(first.revocations + second.revocations == 0);
}

// Guards against small sound responses that end because another holder grows.
TEST_CASE("the holder with the most bytes gives way")
{
    MemoryBudget budget(100);
    Holder large(budget);
    Holder larger(budget);
    Holder small(budget);
    REQUIRE(large.account.resize(40));
    REQUIRE(larger.account.resize(55));
    CHECK(small.account.resize(10));
    CHECK(larger.revocations == 1);
    CHECK(larger.account.bytes() == 0);
    CHECK(large.revocations == 0);
    CHECK(budget.bytes() == 50);
}

// Guards against a holder that must not give way, and against one that would be told to while it grows.
TEST_CASE("only holders that can give way do")
{
    MemoryBudget budget(100);
    MemoryBudget::Account fixed(&budget);
    REQUIRE(fixed.resize(80));
    Holder holder(budget);
    CHECK_FALSE(holder.account.resize(30));
    CHECK(holder.revocations == 0);
    CHECK(holder.account.resize(20));

    // The response to the holder that gives way counts too.
    MemoryBudget nested(100);
    MemoryBudget::Account answer(&nested);
    MemoryBudget::Account first(&nested, [&] { CHECK_FALSE(answer.resize(80)); });
    Holder second(nested);
    REQUIRE(first.resize(60));
    REQUIRE(second.account.resize(30));
    CHECK(second.account.resize(50));
    CHECK(first.bytes() == 0);
    CHECK_FALSE(answer.resize(60));
    CHECK(second.revocations == 0);
}

// Guards against bytes that count on after their holder has gone.
TEST_CASE("a holder that ends frees its bytes")
{
    MemoryBudget budget(100);
    {
        const std::unique_ptr<Holder> holder = std::make_unique<Holder>(budget);
        REQUIRE(holder->account.resize(100));
    }
    CHECK(budget.bytes() == 0);
    Holder other(budget);
    CHECK(other.account.resize(100));
    other.account.clear();
    CHECK(budget.bytes() == 0);
    MemoryBudget::Account successor(&budget);
    REQUIRE(other.account.resize(40));
    successor.takeFrom(other.account);
    CHECK(successor.bytes() == 40);
    CHECK(budget.bytes() == 40);
    MemoryBudget::Account unlimited(nullptr);
    CHECK(unlimited.resize(1'000'000));
}

// Guards against a sum that differs from what is held after any course of changes, or exceeds the limit.
TEST_CASE("the sum is right after any course of changes")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        SeededRandom random(seed);
        MemoryBudget budget(1'000);
        std::vector<std::unique_ptr<Holder>> holders;
        for (int step = 0; step < 200; ++step) {
            if (holders.size() < 20)
                holders.push_back(std::make_unique<Holder>(budget));
            const size_t n = random.below(holders.size());
            const size_t bytes = random.below(300);
            if (random.unit() < 0.1)
                holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(n));
            else if (holders[n]->account.resize(bytes))
                REQUIRE(holders[n]->account.bytes() == bytes);
            size_t sum = 0;
            for (const auto& it : holders)
                sum += it->account.bytes();
            REQUIRE(sum == budget.bytes());
            REQUIRE(sum <= budget.limit());
        }
    }
}
