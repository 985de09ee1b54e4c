#include <LibCore/Error.h>
#include <LibPlatform/MemoryObjectStore.h>
#include <LibPlatform/MemoryTableService.h>
#include <LibPlatform/TableWire.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against a transaction that is applied partially when a later condition fails.
TEST_CASE("a transaction with a failed condition changes nothing")
{
    MemoryTableService tables;
    const auto first = tables.commit({ Operation::insert("t", "a", "1") });
    REQUIRE(first.committed);
    const auto second
        = tables.commit({ Operation::put("t", "a", "2", first.versions[0]), Operation::check("t", "b", 7) });
    CHECK_FALSE(second.committed);
    CHECK(second.conflictingOperation == 1);
    CHECK(tables.get("t", "a")->value == "1");
}

// Guards against a stale lease holder whose expected version matches again after the row was removed and reinserted.
TEST_CASE("a removed and reinserted row never gets an earlier version again")
{
    MemoryTableService tables;
    const uint64_t version = tables.commit({ Operation::insert("t", "a", "1") }).versions[0];
    tables.commit({ Operation::remove("t", "a") });
    CHECK(tables.commit({ Operation::insert("t", "a", "1") }).versions[0] > version);
}

// Guards against pages that repeat or skip a row, and against rows of another prefix.
TEST_CASE("a scan pages through the rows of one prefix in the order of keys")
{
    MemoryTableService tables;
    for (const char* key : { "b/2", "a/1", "b/1", "b/3", "c/1" })
        tables.commit({ Operation::insert("t", key, key) });
    const auto first = tables.scan("t", "b/", "", 2);
    REQUIRE(first.size() == 2);
    CHECK(first[0].key == "b/1");
    CHECK(first[1].key == "b/2");
    const auto second = tables.scan("t", "b/", first[1].key, 2);
    REQUIRE(second.size() == 1);
    CHECK(second[0].key == "b/3");
}

// Guards against an object that changes after it was written.
TEST_CASE("an object keeps its first content")
{
    MemoryObjectStore objects;
    objects.put("o", "1");
    objects.put("o", "1");
    CHECK_THROWS_AS(objects.put("o", "2"), Error);
    CHECK(objects.get("o") == "1");
}

// Guards against values that change on the wire: binary content, a byte order mark, large versions.
TEST_CASE("rows and transactions keep their content on the wire")
{
    for (const std::string value : { "text", "\xff\xfe binary", "\xef\xbb\xbfmark", "\xc3\xa9" }) {
        const Row row { "key", value, (1ULL << 60) + 1 };
        CHECK(TableWire::rowFromJson(TableWire::toJson(row)) == row);
        const Transaction transaction { Operation::put("t", "k", value), Operation::insert("t", "l", value),
            Operation::remove("t", "m", 3), Operation::check("t", "n", 4) };
        CHECK(TableWire::transactionFromJson(TableWire::toJson(transaction)) == transaction);
    }
}
