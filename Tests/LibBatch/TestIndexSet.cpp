#include <LibBatch/IndexSet.h>
#include <Tests/Support/SeededProperty.h>

#include <set>

using namespace Chicorydock;

// Guards against ranges that lose, add or duplicate an index when they are adjacent or merge.
TEST_CASE("an index set agrees with std::set")
{
    checkSeededProperty("index set", 1, 300, [] {
        const auto indices = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 40));
        IndexSet set;
        std::set<uint32_t> model;
        for (const uint32_t index : indices) {
            set.add(index);
            model.insert(index);
        }
        const IndexSet part = set.restrictedTo(10, 20);
        for (uint32_t index = 0; index < 42; ++index) {
            RC_ASSERT(set.contains(index) == model.contains(index));
            RC_ASSERT(part.contains(index) == (model.contains(index) && index >= 10 && index < 20));
        }
        RC_ASSERT(set.count() == model.size());
        RC_ASSERT(IndexSet::fromJson(set.toJson()) == set);
    });
}
