#include <LibOperator/OperatorClient.h>
#include <Utilities/chicorydock/Tool.h>

#include <iostream>
#include <thread>

int main(int argc, char** argv)
{
    using namespace Chicorydock;
    const ToolEnvironment environment {
        .connect =
            [](const std::string& address, Milliseconds timeout) {
                OperatorClient::Timeouts timeouts;
                timeouts.connect = std::min(timeouts.connect, timeout);
                timeouts.call = timeout;
                return std::make_shared<OperatorClient>(address, timeouts);
            },
        .sleep = [](Milliseconds duration) { std::this_thread::sleep_for(duration); },
    };
    return run({ argv + 1, argv + argc }, std::cout, std::cerr, environment);
}
