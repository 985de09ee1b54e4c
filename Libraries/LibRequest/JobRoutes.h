#pragma once

#include <LibBatch/JobService.h>
#include <LibCore/Post.h>
#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Serves `/v1/files` and `/v1/batches`. Calls of the platform block, so they are made on another thread.
class JobRoutes final : public Filter {
public:
    /// `toPlatform` posts to a thread that may block on the platform, `toIoThread` to the I/O thread of the filter.
    JobRoutes(JobService&, const Clock&, Post toPlatform, Post toIoThread);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    HttpResponse makeAnswer(const RequestContext&);
    HttpResponse uploadFile(const RequestContext&);
    HttpResponse describeFile(const RequestContext&);
    HttpResponse fileContent(const RequestContext&);
    HttpResponse submitJob(const RequestContext&);
    HttpResponse listJobs(const RequestContext&);

    JobService& m_jobs;
    const Clock& m_clock;
    Post m_toPlatform;
    Post m_toIoThread;
};

}
