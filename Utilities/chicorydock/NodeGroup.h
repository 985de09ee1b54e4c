#pragma once

#include <LibOperator/OperatorHandler.h>
#include <Utilities/chicorydock/ToolFailure.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The nodes that a command may ask.
///
/// Thread safety: none.
class NodeGroup {
public:
    /// Connects to a node; throws Error if it cannot be reached.
    using Connect = std::function<std::shared_ptr<OperatorHandler>(const std::string& address)>;

    /// The answer of one node or the reason why there is none.
    template <typename Value> struct Answer {
        std::string address;
        std::optional<Value> value;
        std::optional<ToolFailure> failure;
    };

    NodeGroup(std::vector<std::string> addresses, Connect connect)
        : m_addresses(std::move(addresses))
        , m_connect(std::move(connect))
    {
    }

    /// Asks the nodes in turn until one of them answers. Goes on to the next node after a retryable error, which is
    /// safe because every call may be repeated. Throws ToolFailure with the last error of a node, or Unreachable.
    template <typename Call> auto askFirst(Call call)
    {
        std::optional<ToolFailure> failure;
        for (size_t n = 0; n < m_addresses.size(); ++n) {
            try {
                return call(connected());
            } catch (const Error& error) {
                if (!errorRow(error.kind()).retryable)
                    throw ToolFailure::of(error);
                failure = ToolFailure::of(error);
            } catch (const ToolFailure& unreachable) {
                if (!failure)
                    failure = unreachable;
            }
            useNext();
        }
        throw *failure;
    }

    /// Asks all nodes. Throws ToolFailure if none of them answered.
    template <typename Call> auto askAll(Call call)
    {
        using Value = decltype(call(std::declval<OperatorHandler&>()));
        std::vector<Answer<Value>> answers;
        bool isAnswered = false;
        for (size_t n = 0; n < m_addresses.size(); ++n) {
            Answer<Value> answer { m_addresses[m_current], {}, {} };
            try {
                answer.value = call(connected());
                isAnswered = true;
            } catch (const Error& error) {
                answer.failure = ToolFailure::of(error);
            } catch (const ToolFailure& unreachable) {
                answer.failure = unreachable;
            }
            answers.push_back(std::move(answer));
            useNext();
        }
        if (!isAnswered)
            throw *answers.front().failure;
        return answers;
    }

private:
    OperatorHandler& connected();
    void useNext();

    const std::vector<std::string> m_addresses;
    const Connect m_connect;
    size_t m_current { 0 };
    std::shared_ptr<OperatorHandler> m_node;
};

}
