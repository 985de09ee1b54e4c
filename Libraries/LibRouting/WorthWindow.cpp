#include <LibRouting/WorthWindow.h>

#include <algorithm>

namespace Chicorydock {

double WorthWindow::rankAndAdd(double worth, Random& random)
{
    double* const begin = m_sorted.data();
    double* end = begin + m_size;
    const auto [low, high] = std::equal_range(begin, end, worth);
    const double below = static_cast<double>(low - begin);
    const double equal = static_cast<double>(high - low);
    const double rank = m_size == 0 ? 1 : (below + equal * random.unit()) / static_cast<double>(m_size);

    if (m_size == capacity) {
        double* const oldest = std::lower_bound(begin, end, m_ring[m_next]);
        std::move(oldest + 1, end, oldest);
        --end;
    } else {
        ++m_size;
    }
    double* const position = std::lower_bound(begin, end, worth);
    std::move_backward(position, end, end + 1);
    *position = worth;
    m_ring[m_next] = worth;
    m_next = (m_next + 1) % capacity;
    return rank;
}

}
