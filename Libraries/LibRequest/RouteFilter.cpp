#include <LibRequest/RouteFilter.h>

namespace Chicorydock {

namespace {

    using Parts = QList<QByteArray>;

    constexpr std::string_view servicesPrefix = "/services/";

    struct Found {
        Route route;
        QByteArray name;
    };

    [[noreturn]] void throwMethod(const HttpRequest& request)
    {
        throw Error { ErrorKind::UnsupportedMethod,
            "method " + request.method.toStdString() + " is not supported for " + request.path.toStdString() };
    }

    /// Returns the routes of one path below `/v1/`, by method.
    std::vector<std::pair<QByteArray, Found>> routesOf(const Parts& parts)
    {
        const QByteArray head = parts.value(0);
        const QByteArray name = parts.value(1);
        if (parts.size() == 2 && head == "chat" && name == "completions")
            return { { "POST", { Route::Generation, {} } } };
        if (parts.size() == 1 && head == "completions")
            return { { "POST", { Route::Generation, {} } } };
        if (head == "models" && parts.size() == 1)
            return { { "GET", { Route::ListModels, {} } } };
        if (head == "models" && parts.size() >= 2)
            return { { "GET", { Route::Model, parts.mid(1).join('/') } } };
        if (head == "files" && parts.size() == 1)
            return { { "POST", { Route::UploadFile, {} } } };
        if (head == "files" && parts.size() == 2)
            return { { "GET", { Route::File, name } } };
        if (head == "files" && parts.size() == 3 && parts[2] == "content")
            return { { "GET", { Route::FileContent, name } } };
        if (head == "batches" && parts.size() == 1)
            return { { "POST", { Route::SubmitJob, {} } }, { "GET", { Route::ListJobs, {} } } };
        if (head == "batches" && parts.size() == 2)
            return { { "GET", { Route::Job, name } } };
        if (head == "batches" && parts.size() == 3 && parts[2] == "cancel")
            return { { "POST", { Route::CancelJob, name } } };
        return {};
    }

    Found findRoute(const HttpRequest& request)
    {
        if (request.path.startsWith(servicesPrefix.data())) {
            const qsizetype begin = servicesPrefix.size();
            const qsizetype end = request.path.indexOf('/', begin);
            return { Route::Service, request.path.mid(begin, end < 0 ? -1 : end - begin) };
        }
        if (request.path.startsWith("/v1/")) {
            const auto routes = routesOf(request.path.mid(4).split('/'));
            for (const auto& [method, found] : routes) {
                if (method == request.method)
                    return found;
            }
            if (!routes.empty())
                throwMethod(request);
        }
        throw Error { ErrorKind::UnknownRoute, "no route " + request.path.toStdString() };
    }

}

void RouteFilter::handle(const RequestContextPtr& context, const Next& next)
{
    const Found found = findRoute(context->exchange->request());
    context->route = found.route;
    context->name = found.name.toStdString();
    next(context);
}

}
