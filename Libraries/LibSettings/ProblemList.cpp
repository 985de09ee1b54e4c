#include <LibSettings/ProblemList.h>

#include <LibCore/Error.h>

#include <algorithm>

namespace Chicorydock {

void ProblemList::add(uint32_t line, std::string_view key, std::string_view found, std::string_view expected)
{
    std::string text = m_fileName + ":" + std::to_string(line) + ": ";
    if (!key.empty())
        text.append(key).append(": ");
    text.append("found ").append(found).append(", expected ").append(expected);
    m_problems.push_back({ line, std::move(text) });
}

void ProblemList::throwIfAny() const
{
    if (m_problems.empty())
        return;
    auto problems = m_problems;
    std::ranges::stable_sort(problems, {}, &Problem::line);
    std::string message;
    for (const Problem& it : problems) {
        if (!message.empty())
            message += '\n';
        message += it.text;
    }
    throw Error(ErrorKind::InvalidConfiguration, message);
}

}
