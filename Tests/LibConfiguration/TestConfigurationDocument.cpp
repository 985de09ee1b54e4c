#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/ConfigurationValidator.h>
#include <LibCore/Error.h>

#include "SampleConfiguration.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

Configuration manyWorkspaces(uint64_t revision)
{
    Configuration configuration = sampleConfiguration();
    configuration.revision = revision;
    for (int n = 0; n < 560; ++n)
        configuration.workspaces.push_back({ "w" + std::to_string(n), { std::string(64, 'b') }, 1, 0 });
    return configuration;
}

std::string validationMessage(const Configuration& configuration)
{
    try {
        validate(configuration);
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::InvalidConfiguration);
        return error.message();
    }
    return {};
}

}

// Guards against fields that are lost between the operator and the nodes.
TEST_CASE("a document contains the whole configuration")
{
    Configuration configuration = sampleConfiguration();
    configuration.revision = 5;
    CHECK(decodeDocument(encodeDocument(configuration), nullptr) == configuration);
}

// Guards against control traffic that grows with the number of workspaces instead of the size of a change.
TEST_CASE("a difference turns the base into the target and is small")
{
    const Configuration base = manyWorkspaces(7);
    Configuration target = base;
    target.revision = 9;
    target.requestId = "change-9";
    target.models.front().version = "4";
    target.workspaces.erase(target.workspaces.begin() + 17);
    target.workspaces[3].worth = 9;
    target.services.push_back({ "clamps", Service::Kind::Plain, false, {}, 1500, 27 });
    const std::string difference = encodeDifference(base, target);
    CHECK(difference.size() < 500);
    CHECK(encodeDocument(target).size() > 20'000);
    CHECK(decodeDocument(difference, &base) == target);

    // Items in another order cannot be expressed as a difference.
    std::swap(target.workspaces[0], target.workspaces[1]);
    CHECK(decodeDocument(encodeDifference(base, target), &base) == target);
}

// Guards against a difference that is applied to another configuration, and against malformed documents.
TEST_CASE("unusable documents are rejected")
{
    const Configuration base = manyWorkspaces(7);
    Configuration other = base;
    other.revision = 6;
    const std::string difference = encodeDifference(base, manyWorkspaces(8));
    CHECK_THROWS_AS(decodeDocument(difference, nullptr), Error);
    CHECK_THROWS_AS(decodeDocument(difference, &other), Error);
    CHECK_THROWS_AS(decodeDocument("not a document", nullptr), Error);
    CHECK_THROWS_AS(decodeDocument("", nullptr), Error);
    const std::string complete = encodeDocument(base);
    CHECK_THROWS_AS(decodeDocument(std::string_view(complete).substr(0, complete.size() / 2), nullptr), Error);
}

// Guards against a configuration that no node could serve, and against errors that do not locate the fault.
TEST_CASE("validation names the item and the field")
{
    CHECK(validationMessage(sampleConfiguration()).empty());
    Configuration configuration = sampleConfiguration();
    configuration.models.front().service = "registry";
    CHECK(validationMessage(configuration) == "model \"rink-rules\": service: \"registry\" is not an engine service");
    configuration.models.front().service = "nothing";
    CHECK(validationMessage(configuration) == "model \"rink-rules\": service: \"nothing\" is not declared");
    configuration = sampleConfiguration();
    configuration.workspaces.push_back(configuration.workspaces.front());
    CHECK(validationMessage(configuration) == "workspace \"north-rink\": name: is used twice");
    configuration.workspaces.back().name = "south-rink";
    CHECK(validationMessage(configuration)
        == "workspace \"south-rink\": keyDigests: a key belongs to two workspaces or is listed twice");
    configuration = sampleConfiguration();
    configuration.services.back().unrepeatableRoutes = { "certificates" };
    CHECK(validationMessage(configuration)
        == "service \"registry\": unrepeatableRoutes: \"certificates\" is not METHOD /path/prefix");
    configuration = sampleConfiguration();
    configuration.workspaces.front().worth = 0;
    CHECK(validationMessage(configuration) == "workspace \"north-rink\": worth: is not a positive number");
    configuration = sampleConfiguration("");
    CHECK(validationMessage(configuration) == "configuration: requestId: is empty");
}
