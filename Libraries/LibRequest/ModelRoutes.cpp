#include <LibRequest/ModelRoutes.h>

#include <QJsonArray>
#include <QJsonDocument>

namespace Chicorydock {

namespace {

    QJsonObject toJson(const Model& model)
    {
        return {
            { "id", QString::fromStdString(model.name) },
            { "object", "model" },
            { "created", 0 },
            { "owned_by", QString::fromStdString(model.service) },
        };
    }

    HttpResponse jsonAnswer(const QJsonObject& object)
    {
        return { 200, { { "Content-Type", "application/json" } },
            QJsonDocument(object).toJson(QJsonDocument::Compact) };
    }

}

void ModelRoutes::handle(const RequestContextPtr& context, const Next& next)
{
    if (context->route == Route::ListModels) {
        QJsonArray models;
        for (const Model& model : context->configuration->models)
            models.append(toJson(model));
        context->answer(jsonAnswer({ { "object", "list" }, { "data", models } }));
        return;
    }
    if (context->route == Route::Model) {
        const Model* model = context->configuration->findModel(context->resourceName);
        if (!model)
            throw Error { ErrorKind::UnknownModel, "no model '" + context->resourceName + "' is declared" };
        context->answer(jsonAnswer(toJson(*model)));
        return;
    }
    next(context);
}

}
