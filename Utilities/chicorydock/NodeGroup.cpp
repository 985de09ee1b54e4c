#include <Utilities/chicorydock/NodeGroup.h>

namespace Chicorydock {

OperatorHandler& NodeGroup::connectedNode()
{
    try {
        if (!m_node)
            m_node = m_connect(m_addresses[m_current]);
    } catch (const Error& error) {
        throw ToolFailure { ExitCode::Unreachable, "unreachable", error.message() };
    }
    return *m_node;
}

void NodeGroup::selectNextNode()
{
    m_node.reset();
    m_current = (m_current + 1) % m_addresses.size();
}

}
