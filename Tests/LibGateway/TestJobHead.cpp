#include <LibGateway/JobHead.h>

#include <LibCore/SeededRandom.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

std::vector<StoredRow> toRows(const std::vector<RowWrite>& writes)
{
    std::vector<StoredRow> rows;
    for (const RowWrite& it : writes)
        rows.push_back({ it.row, it.value, 1, false });
    std::ranges::sort(rows, {}, [](const StoredRow& it) { return it.address.key; });
    return rows;
}

}

// Guards against stored data that the next owner of a job decodes differently.
TEST_CASE("encoded job data decodes to the same values")
{
    JobHead head { "j1", JobHead::State::Cancelled, "n1", "r1", "h.example", 123, 4, Milliseconds { 99 }, "object", 0 };
    StoredRow row { JobRows::record("j1"), encodeJobHead(head), 12, false };
    head.version = 12;
    CHECK(decodeJobHead(row) == head);
    row.value = "no record";
    CHECK_FALSE(decodeJobHead(row));

    const std::vector<JobItem> items { { "i1", "/a?b", { { "Model", "m" } }, QByteArray("\0\xff", 2), 7 },
        { "i2", "/c", {}, "", 0 } };
    CHECK(decodeJobItems(encodeJobItems(items)) == items);
    CHECK_FALSE(decodeJobItems(encodeJobItems(items).chopped(1)));

    const JobResult result { "i1", true, "one\ntwo" };
    CHECK(decodeJobResult(encodeJobResult(result)) == result);
    CHECK_FALSE(decodeJobResult("x"));

    std::vector<ItemProgress> progress { { "i1", 4, 9, "one", { "lm", "v1" }, 2 } };
    const QByteArray encoded = encodeJobProgress(progress);
    CHECK(decodeJobProgress(encoded) == progress);
    // Earlier builds wrote no origin (two texts, each with its length) and no number of failed runs.
    progress[0].origin = {};
    progress[0].failedRuns = 0;
    CHECK(decodeJobProgress(encoded.chopped(4 + 2 + 4 + 2 + 4)) == progress);
}

// Guards against outputs that are too large for one row, and against pages that end between the rows of one content.
TEST_CASE("split content is reassembled, and omitted while rows are missing")
{
    const QByteArray large(maxRowBytes * 2 + 17, 'x');
    std::vector<RowWrite> writes;
    const std::vector<QByteArray> contents { "", "small", large, "last" };
    for (size_t n = 0; n < contents.size(); ++n) {
        for (RowWrite& it : JobRows::split(JobRows::result("j", n), contents[n])) {
            CHECK(it.value.size() <= maxRowBytes + 16);
            writes.push_back(std::move(it));
        }
    }
    std::vector<StoredRow> rows = toRows(writes);
    auto joined = JobRows::join(rows);
    REQUIRE(joined.size() == contents.size());
    for (size_t n = 0; n < contents.size(); ++n)
        CHECK(joined[n].second == contents[n]);

    rows.erase(rows.begin() + 4, rows.end());
    CHECK(JobRows::join(rows).size() == 2);
}

// Guards against reads of one job that return rows of another.
TEST_CASE("the ranges of a job contain only its own rows")
{
    const auto contains = [](const RowRange& range, const RowAddress& address) {
        return address.key >= range.from && address.key < range.until;
    };
    CHECK(contains(JobRows::resultRange("ab", 0), JobRows::result("ab", 0)));
    CHECK(contains(JobRows::resultRange("ab", 7), JobRows::result("ab", 199)));
    CHECK_FALSE(contains(JobRows::resultRange("ab", 7), JobRows::result("ab", 6)));
    CHECK_FALSE(contains(JobRows::resultRange("ab", 0), JobRows::result("ab0", 0)));
    CHECK_FALSE(contains(JobRows::resultRange("ab", 0), JobRows::result("a", 0)));
    CHECK(contains(JobRows::inputRange("ab"), JobRows::split(JobRows::input("ab"), QByteArray(100'000, 'x'))[1].row));
    CHECK_FALSE(contains(JobRows::inputRange("ab"), JobRows::input("ab0")));
    CHECK(JobRows::partition("ab") == JobRows::result("ab", 3).partition);
}

// Guards against a process that ends because another writer left a row that states more parts than there can be.
TEST_CASE("content that states more rows than there are is omitted")
{
    std::vector<StoredRow> rows = toRows(JobRows::split(JobRows::result("j", 0), "first"));
    rows.push_back({ JobRows::result("j", 1), "18446744073709551615\nsecond", 2, false });
    CHECK(JobRows::join(rows).size() == 1);
}

// Guards against rows of other writers that nodes claim again and again, and against numbers that wrap around.
TEST_CASE("a row that is not the head of a job is ignored, and its numbers have bounds")
{
    const auto decode = [](const QByteArray& value) {
        return decodeJobHead({ JobRows::record("j"), value, 3, false });
    };
    CHECK_FALSE(decode("{}"));
    CHECK_FALSE(decode(R"({"state":"open"})"));
    CHECK_FALSE(decode(R"({"state":"open","route":7})"));
    CHECK_FALSE(decode(R"({"state":"dormant","route":"r"})"));
    CHECK_FALSE(decode(QByteArray("[").repeated(100'000)));
    const auto highest
        = decode(R"({"state":"open","route":"r","tokens":9e18,"items":4294967296,"submitted_at_ms":9e18})");
    REQUIRE(highest);
    CHECK(highest->tokens == 1'000'000'000'000);
    CHECK(highest->itemCount == 4'294'967'295);
    CHECK(highest->submittedAt == std::chrono::hours { 24 * 365 * 100 });
    const auto lowest = decode(R"({"state":"open","route":"r","tokens":-1,"items":-1,"submitted_at_ms":-9e18})");
    REQUIRE(lowest);
    CHECK(lowest->tokens == 0);
    CHECK(lowest->itemCount == 0);
    CHECK(lowest->submittedAt == Milliseconds { 0 });
}
