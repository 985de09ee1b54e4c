#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>
#include <string>

namespace Chicorydock {

/// Checks a rapidcheck property with `runs` cases from a fixed seed, so that every run checks the same cases.
template <typename Testable>
void checkSeededProperty(const std::string& description, uint64_t seed, int runs, Testable testable)
{
    rc::detail::TestMetadata metadata;
    metadata.description = description;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = runs;
    const auto result = rc::detail::checkTestable(std::move(testable), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

}
