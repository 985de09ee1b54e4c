#include <LibRequest/ClassifyFilter.h>

#include <LibRequest/GenerationWork.h>

#include <QJsonArray>
#include <QJsonDocument>

namespace Chicorydock {

namespace {

    [[noreturn]] void throwInvalidMember(const char* name, const char* expected)
    {
        throw Error { ErrorKind::MalformedRequest, std::string("member '") + name + "' must be " + expected };
    }

    void checkTokenLimit(const QJsonObject& body, const char* name)
    {
        const QJsonValue value = body.value(QLatin1String(name));
        if (value.isUndefined() || value.isNull())
            return;
        const double number = value.toDouble(-1);
        constexpr double maxLimit = 1'000'000;
        if (!value.isDouble() || number < 1 || number > maxLimit || number != static_cast<uint32_t>(number))
            throwInvalidMember(name, "a whole number from 1 to 1000000");
    }

    void checkMessages(const QJsonObject& body)
    {
        const QJsonValue messages = body.value("messages");
        if (!messages.isArray() || messages.toArray().isEmpty())
            throwInvalidMember("messages", "a list of at least one message");
        for (const QJsonValue& message : messages.toArray()) {
            if (!message.isObject() || !message.toObject().value("role").isString())
                throwInvalidMember("messages", "a list of objects with the members 'role' and 'content'");
        }
    }

    bool isUnrepeatableRoute(const Service& service, const HttpRequest& request)
    {
        // The routes are declared relative to the service, for example `POST /certificates`.
        const QByteArray prefix = "/services/" + QByteArray::fromStdString(service.name);
        const std::string methodAndPath = (request.method + ' ' + request.path.mid(prefix.size())).toStdString();
        return std::ranges::any_of(
            service.unrepeatableRoutes, [&](const std::string& route) { return methodAndPath.starts_with(route); });
    }

    bool isMarkedUnrepeatable(const HttpRequest& request)
    {
        const auto value = request.headers.find("X-Unrepeatable");
        if (!value)
            return false;
        const QByteArray word = value->trimmed().toLower();
        if (word != "true" && word != "false")
            throw Error { ErrorKind::MalformedRequest, "the header X-Unrepeatable must be 'true' or 'false'" };
        return word == "true";
    }

    std::string parseIdempotencyKey(const HttpRequest& request)
    {
        constexpr qsizetype maxKeyLength = 255;
        const auto value = request.headers.find("Idempotency-Key");
        if (!value)
            return {};
        if (value->isEmpty() || value->size() > maxKeyLength || value->contains('/'))
            throw Error { ErrorKind::MalformedRequest,
                "the header Idempotency-Key must have 1 to 255 characters and no '/'" };
        return value->toStdString();
    }

    void classifyGeneration(RequestContext& context)
    {
        const HttpRequest& request = context.exchange->request();
        context.body = parseGenerationBody(request.body, request.path);
        context.model = context.configuration->findModel(context.body.value("model").toString().toStdString());
        if (!context.model) {
            throw Error { ErrorKind::UnknownModel,
                "no model '" + context.body.value("model").toString().toStdString() + "' is declared" };
        }
        context.service = context.configuration->findService(context.model->service);
    }

    void classifyService(RequestContext& context)
    {
        context.service = context.configuration->findService(context.resourceName);
        if (!context.service || context.service->kind != Service::Kind::Plain)
            throw Error { ErrorKind::UnknownService, "no plain service '" + context.resourceName + "' is declared" };
    }

}

QJsonObject parseGenerationBody(const QByteArray& body, const QByteArray& path)
{
    QJsonParseError parseError;
    const QJsonDocument document = QJsonDocument::fromJson(body, &parseError);
    if (parseError.error != QJsonParseError::NoError) {
        throw Error { ErrorKind::MalformedRequest,
            "the body is not JSON: " + parseError.errorString().toStdString() + " at byte "
                + std::to_string(parseError.offset) };
    }
    if (!document.isObject())
        throw Error { ErrorKind::MalformedRequest, "the body must be a JSON object" };
    checkGenerationBody(document.object(), path);
    return document.object();
}

void checkGenerationBody(const QJsonObject& body, const QByteArray& path)
{
    if (!body.value("model").isString())
        throwInvalidMember("model", "a string");
    if (path.endsWith("/chat/completions"))
        checkMessages(body);
    else if (!body.value("prompt").isString())
        throwInvalidMember("prompt", "a string");
    checkTokenLimit(body, "max_tokens");
    checkTokenLimit(body, "max_completion_tokens");
    if (body.contains("stream") && !body.value("stream").isBool())
        throwInvalidMember("stream", "true or false");
    if (body.contains("n") && body.value("n").toInt() != 1)
        throwInvalidMember("n", "1");
}

void ClassifyFilter::handle(const RequestContextPtr& context, const Next& next)
{
    const HttpRequest& request = context->exchange->request();
    if (context->route == Route::Generation)
        classifyGeneration(*context);
    else if (context->route == Route::Service)
        classifyService(*context);
    if (context->service) {
        context->idempotencyKey = parseIdempotencyKey(request);
        context->isUnrepeatable = isMarkedUnrepeatable(request) || isUnrepeatableRoute(*context->service, request);
    }
    next(context);
}

}
