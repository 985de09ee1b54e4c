#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>

namespace Chicorydock {

/// Checks a rapidcheck property with a fixed seed, so that its verdict never varies.
template <typename Property> void checkProperty(uint64_t seed, int cases, int maxSize, Property property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    params.maxSize = maxSize;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

}
