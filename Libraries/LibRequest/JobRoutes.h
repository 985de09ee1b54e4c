#pragma once

#include <LibBatch/JobService.h>
#include <LibCore/Post.h>
#include <LibRequest/Filter.h>

namespace Chicorydock {

/// Answers `/v1/files` and `/v1/batches`. The platform is asked on another thread, as its calls block.
class JobRoutes final : public Filter {
public:
    /// `toPlatform` reaches a thread that may block on the platform; `toThread` reaches the I/O thread of the filter.
    JobRoutes(JobService&, const Clock&, Post toPlatform, Post toThread);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    HttpResponse answerTo(const RequestContext&);
    HttpResponse uploadFile(const RequestContext&);
    HttpResponse describeFile(const RequestContext&);
    HttpResponse fileContent(const RequestContext&);
    HttpResponse submitJob(const RequestContext&);
    HttpResponse listJobs(const RequestContext&);

    JobService& m_jobs;
    const Clock& m_clock;
    Post m_toPlatform;
    Post m_toThread;
};

}
