#include <LibRequest/RouteFilter.h>

namespace Chicorydock {

namespace {

    using PathSegments = QList<QByteArray>;

    constexpr std::string_view servicesPrefix = "/services/";

    struct RouteMatch {
        Route route;
        QByteArray resourceName;
    };

    [[noreturn]] void throwUnsupportedMethod(const HttpRequest& request)
    {
        throw Error { ErrorKind::UnsupportedMethod,
            "method " + request.method.toStdString() + " is not supported for " + request.path.toStdString() };
    }

    /// Returns the routes that a path below `/v1/` has, each with its HTTP method.
    std::vector<std::pair<QByteArray, RouteMatch>> routesByMethod(const PathSegments& segments)
    {
        const QByteArray collection = segments.value(0);
        const QByteArray name = segments.value(1);
        if (segments.size() == 2 && collection == "chat" && name == "completions")
            return { { "POST", { Route::Generation, {} } } };
        if (segments.size() == 1 && collection == "completions")
            return { { "POST", { Route::Generation, {} } } };
        if (collection == "models" && segments.size() == 1)
            return { { "GET", { Route::ListModels, {} } } };
        if (collection == "models" && segments.size() >= 2)
            return { { "GET", { Route::Model, segments.mid(1).join('/') } } };
        if (collection == "files" && segments.size() == 1)
            return { { "POST", { Route::UploadFile, {} } } };
        if (collection == "files" && segments.size() == 2)
            return { { "GET", { Route::File, name } } };
        if (collection == "files" && segments.size() == 3 && segments[2] == "content")
            return { { "GET", { Route::FileContent, name } } };
        if (collection == "batches" && segments.size() == 1)
            return { { "POST", { Route::SubmitJob, {} } }, { "GET", { Route::ListJobs, {} } } };
        if (collection == "batches" && segments.size() == 2)
            return { { "GET", { Route::Job, name } } };
        if (collection == "batches" && segments.size() == 3 && segments[2] == "cancel")
            return { { "POST", { Route::CancelJob, name } } };
        return {};
    }

    RouteMatch findRoute(const HttpRequest& request)
    {
        if (request.path.startsWith(servicesPrefix.data())) {
            const qsizetype begin = servicesPrefix.size();
            const qsizetype end = request.path.indexOf('/', begin);
            return { Route::Service, request.path.mid(begin, end < 0 ? -1 : end - begin) };
        }
        if (request.path.startsWith("/v1/")) {
            const auto routes = routesByMethod(request.path.mid(4).split('/'));
            for (const auto& [method, match] : routes) {
                if (method == request.method)
                    return match;
            }
            if (!routes.empty())
                throwUnsupportedMethod(request);
        }
        throw Error { ErrorKind::UnknownRoute, "no route " + request.path.toStdString() };
    }

}

void RouteFilter::handle(const RequestContextPtr& context, const Next& next)
{
    const RouteMatch match = findRoute(context->exchange->request());
    context->route = match.route;
    context->resourceName = match.resourceName.toStdString();
    next(context);
}

}
