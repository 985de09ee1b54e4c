#pragma once

#include <LibEndpoint/EndpointClient.h>

#include <functional>
#include <optional>

namespace Chicorydock {

/// Records the events of a generation.
class RecordingGeneration final : public GenerationObserver {
public:
    void onHandedOver() override { ++handedOver; }
    void onTokens(const GeneratedTokens& tokens) override
    {
        text += tokens.text;
        count += tokens.count;
        if (tokensHook)
            tokensHook();
    }
    void onFinished(const GenerationEnd& newEnd) override { end = newEnd; }
    void onFailed(const EndpointFailure& newFailure) override { failure = newFailure; }

    bool hasEnded() const { return end || failure; }

    std::function<void()> tokensHook;
    int handedOver { 0 };
    std::string text;
    uint32_t count { 0 };
    std::optional<GenerationEnd> end;
    std::optional<EndpointFailure> failure;
};

}
