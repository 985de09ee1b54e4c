#include <LibRequest/GenerationWork.h>

#include <LibRouting/PrefixKeys.h>

#include <QJsonArray>
#include <QJsonDocument>

namespace Chicorydock {

namespace {

    // Only the engines have a tokenizer. Four bytes per token is accurate enough to compare prompt sizes.
    constexpr uint32_t bytesPerToken = 4;

    std::string promptOf(const QJsonObject& body)
    {
        if (body.contains("prompt"))
            return body.value("prompt").toString().toStdString();
        return QJsonDocument(body.value("messages").toArray()).toJson(QJsonDocument::Compact).toStdString();
    }

    uint32_t tokenLimitOf(const QJsonObject& body)
    {
        const QJsonValue value
            = body.contains("max_completion_tokens") ? body.value("max_completion_tokens") : body.value("max_tokens");
        return static_cast<uint32_t>(value.toInt(0));
    }

}

Work makeGenerationWork(const QJsonObject& body, const Model& model, const Workspace& workspace)
{
    const std::string prompt = promptOf(body);
    Work work;
    work.model = model.name;
    work.workspace = workspace.name;
    work.promptTokens = static_cast<uint32_t>(prompt.size() / bytesPerToken + 1);
    work.maxTokens = tokenLimitOf(body);
    work.worth = workspace.worth;
    work.prefixes = prefixKeys(model.name, prompt);
    return work;
}

}
