#include <Tests/Fakes/engine/EngineCompletion.h>

#include <LibCore/Digest.h>

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <array>

namespace Chicorydock {

namespace {

    constexpr uint32_t bytesPerToken = 4;
    constexpr std::array<const char*, 16> syllables { "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra",
        "se", "ti", "vo", "wu", "za" };

    uint32_t tokenLimitOf(const QJsonObject& body)
    {
        const QJsonValue value
            = body.contains("max_completion_tokens") ? body.value("max_completion_tokens") : body.value("max_tokens");
        return static_cast<uint32_t>(std::max<qint64>(0, value.toInteger(0)));
    }

    uint32_t naturalLength(const EngineCompletion& completion, const EngineSettings& settings)
    {
        const uint64_t hash = stableHash(completion.prompt, stableHash(completion.model));
        const uint64_t range = uint64_t { settings.maxTokens } - settings.minTokens + 1;
        const auto length = static_cast<uint32_t>(settings.minTokens + hash % range);
        const double draw = static_cast<double>(stableHash("straggler", hash) >> 11) * 0x1p-53;
        return draw < settings.stragglerShare ? length * settings.stragglerFactor : length;
    }

}

std::string EngineCompletion::token(uint32_t n) const
{
    uint64_t hash = stableHash(prompt, stableHash(model, n));
    std::string word = " ";
    for (int syllable = 0; syllable < 3; ++syllable) {
        word += syllables[hash % syllables.size()];
        hash /= syllables.size();
    }
    return word;
}

std::string promptOf(const QJsonObject& body)
{
    if (body.contains("prompt"))
        return body.value("prompt").toString().toStdString();
    return QJsonDocument(body.value("messages").toArray()).toJson(QJsonDocument::Compact).toStdString();
}

EngineCompletion makeEngineCompletion(const QJsonObject& body, const EngineSettings& settings)
{
    EngineCompletion completion;
    completion.model = body.value("model").toString().toStdString();
    completion.prompt = promptOf(body);
    completion.promptTokens = static_cast<uint32_t>(completion.prompt.size() / bytesPerToken + 1);
    const uint32_t natural = naturalLength(completion, settings);
    const uint32_t limit = tokenLimitOf(body);
    const bool isTruncated = limit > 0 && limit < natural;
    completion.tokens = isTruncated ? limit : natural;
    completion.finishReason = isTruncated ? "length" : "stop";
    return completion;
}

}
