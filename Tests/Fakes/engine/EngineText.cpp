#include <Tests/Fakes/engine/EngineText.h>

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

    uint32_t naturalLength(const EngineAnswer& answer, const EngineSettings& settings)
    {
        const uint64_t hash = stableHash(answer.prompt, stableHash(answer.model));
        const uint64_t range = uint64_t { settings.maxTokens } - settings.minTokens + 1;
        const auto length = static_cast<uint32_t>(settings.minTokens + hash % range);
        const double draw = static_cast<double>(stableHash("straggler", hash) >> 11) * 0x1p-53;
        return draw < settings.stragglerShare ? length * settings.stragglerFactor : length;
    }

}

std::string EngineAnswer::token(uint32_t n) const
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

EngineAnswer makeEngineAnswer(const QJsonObject& body, const EngineSettings& settings)
{
    EngineAnswer answer;
    answer.model = body.value("model").toString().toStdString();
    answer.prompt = promptOf(body);
    answer.promptTokens = static_cast<uint32_t>(answer.prompt.size() / bytesPerToken + 1);
    const uint32_t natural = naturalLength(answer, settings);
    const uint32_t limit = tokenLimitOf(body);
    const bool isCut = limit > 0 && limit < natural;
    answer.tokens = isCut ? limit : natural;
    answer.finishReason = isCut ? "length" : "stop";
    return answer;
}

}
