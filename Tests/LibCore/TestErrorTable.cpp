#include <LibCore/ErrorTable.h>

#include <catch2/catch.hpp>

#include <set>

using namespace Chicorydock;

// Guards against two kinds that a client could not tell apart.
TEST_CASE("error names are unique and can be looked up")
{
    std::set<std::string_view> names;
    for (const ErrorRow& row : errorTable()) {
        CHECK(names.insert(row.name).second);
        CHECK(findErrorRow(row.name) == &row);
        CHECK(errorRow(row.kind).name == row.name);
    }
    CHECK(findErrorRow("no such name") == nullptr);
}

// Guards against a retry hint on an error that no retry can mend.
TEST_CASE("only retryable errors tell the caller when to come back")
{
    for (const ErrorRow& row : errorTable()) {
        INFO(row.name);
        CHECK((!row.sendsRetryAfter || row.retryable));
    }
}
