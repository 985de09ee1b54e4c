#include <LibCore/RcuCell.h>

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace Chicorydock;

// Guards against readers that see a freed value, or an older value after a newer one.
TEST_CASE("readers see whole values in the order of publication")
{
    RcuCell<std::pair<int, int>> cell;
    std::atomic<bool> failed { false };
    std::vector<std::thread> readers;
    for (int n = 0; n < 3; ++n) {
        readers.emplace_back([&] {
            int last = 0;
            while (last < 200) {
                const auto value = cell.read();
                failed = failed || value->first != value->second || value->first < last;
                last = value->first;
            }
        });
    }
    for (int n = 1; n <= 200; ++n)
        cell.publish(std::make_shared<const std::pair<int, int>>(n, n));
    for (std::thread& it : readers)
        it.join();
    CHECK_FALSE(failed);
}
