#include <LibCore/ErrorTable.h>

#include <catch2/catch.hpp>

#include <set>

using namespace Chicorydock;

// Guards against two error kinds that a client cannot distinguish.
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

// Guards against a retry hint on an error that a retry cannot fix.
TEST_CASE("only retryable errors carry Retry-After")
{
    for (const ErrorRow& row : errorTable()) {
        INFO(row.name);
        CHECK((!row.sendsRetryAfter || row.retryable));
    }
}
