#pragma once

#include <LibOperator/OperatorHandler.h>
#include <Utilities/chicorydock/ToolFailure.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The nodes that a command may call.
///
/// Thread safety: none.
class NodeGroup {
public:
    /// Connects to a node; throws Error if it cannot be reached.
    using Connect = std::function<std::shared_ptr<OperatorHandler>(const std::string& address)>;

    /// The result of one node, or the failure of the call.
    template <typename Value> struct Response {
        std::string address;
        std::optional<Value> value;
        std::optional<ToolFailure> failure;
    };

    NodeGroup(std::vector<std::string> addresses, Connect connect)
        : m_addresses(std::move(addresses))
        , m_connect(std::move(connect))
    {
    }

    /// Calls the nodes in turn until a call succeeds or fails with an error that is not retryable. A retry at the next
    /// node is safe, because every call may be repeated. Throws ToolFailure with the last error that a node returned,
    /// or with `Unreachable` if no node could be reached.
    template <typename Call> auto callAny(Call call)
    {
        std::optional<ToolFailure> failure;
        for (size_t n = 0; n < m_addresses.size(); ++n) {
            try {
                return call(connectedNode());
            } catch (const Error& error) {
                if (!errorRow(error.kind()).retryable)
                    throw ToolFailure::of(error);
                failure = ToolFailure::of(error);
            } catch (const ToolFailure& unreachable) {
                if (!failure)
                    failure = unreachable;
            }
            selectNextNode();
        }
        throw *failure;
    }

    /// Calls all nodes. Throws ToolFailure if all calls failed.
    template <typename Call> auto callAll(Call call)
    {
        using Value = decltype(call(std::declval<OperatorHandler&>()));
        std::vector<Response<Value>> responses;
        bool hasSucceeded = false;
        for (size_t n = 0; n < m_addresses.size(); ++n) {
            Response<Value> response { m_addresses[m_current], {}, {} };
            try {
                response.value = call(connectedNode());
                hasSucceeded = true;
            } catch (const Error& error) {
                response.failure = ToolFailure::of(error);
            } catch (const ToolFailure& unreachable) {
                response.failure = unreachable;
            }
            responses.push_back(std::move(response));
            selectNextNode();
        }
        if (!hasSucceeded)
            throw *responses.front().failure;
        return responses;
    }

private:
    OperatorHandler& connectedNode();
    void selectNextNode();

    const std::vector<std::string> m_addresses;
    const Connect m_connect;
    size_t m_current { 0 };
    std::shared_ptr<OperatorHandler> m_node;
};

}
