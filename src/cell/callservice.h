/// \file
/// Answers the calls of callers at the leader of a shard.
#ifndef APRICOTWING_CELL_CALLSERVICE_H
#define APRICOTWING_CELL_CALLSERVICE_H

#include "cell/callbackguard.h"
#include "cell/journal.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "jobs/admissioncontroller.h"
#include "jobs/jobscheduler.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::cell {

/// Receives the reply to a batch of calls, or nothing if the batch must not be
/// answered.
using BatchResponder = std::function<void(std::optional<CallBatchReply>)>;

/// Accepts or refuses submissions, cancels jobs and tells their states. An
/// answer is given only while the leader's lease is valid, and a write is
/// confirmed only once it is stored. The cancellation of an unknown job is
/// stored as well: a submission of the job may still be on its way, at another
/// instance or to a later leader. Owned by the leader and used on its thread
/// only.
class CallService {
public:
  struct Ports {
    jobs::JobScheduler &Scheduler;
    Journal &StateJournal;
    const Clock &Time;
    EventLog &Log;
  };
  /// Callbacks to the leader.
  struct Callbacks {
    /// Stores the jobs that the scheduler has changed.
    std::function<void()> StoreChanges;
    /// Requests a scheduling round.
    std::function<void()> RequestDecision;
  };

  CallService(const Ports &Deps, Callbacks Owner)
      : Deps(Deps), Owner(std::move(Owner)) {}

  /// Answers the calls of \p Batch; \p Respond is called exactly once, at the
  /// latest when this object is destroyed.
  void serve(const CallBatch &Batch, BatchResponder Respond);

  /// Allows calls about jobs that have not ended, which are loaded now.
  void allowActiveJobs();

  /// Allows all calls, because all jobs are loaded.
  void allowAll();

  /// Number of submissions that were refused because of the memory of jobs.
  std::uint64_t memoryRefusals() const { return MemoryRefusals; }

private:
  /// A batch that is being answered. Sends the reply when the last call is
  /// answered or dropped.
  class OpenBatch {
  public:
    explicit OpenBatch(BatchResponder Respond) : Respond(std::move(Respond)) {}
    OpenBatch(const OpenBatch &) = delete;
    OpenBatch &operator=(const OpenBatch &) = delete;
    ~OpenBatch();

    std::string Process;
    std::int64_t PolicyVersion = 0; ///< Of the sender; 0: not named.
    CallBatchReply Reply;

  private:
    const BatchResponder Respond;
  };
  using BatchPointer = std::shared_ptr<OpenBatch>;
  /// A submission that was refused. A repetition of the same request gets the
  /// same answer, since the caller may have got it already.
  struct Refusal {
    TimePoint At;
    std::pair<std::string, std::uint64_t> Request; ///< Process and tag.
  };

  void submit(const BatchPointer &Batch, const Submission &NewSubmission);
  void acceptWithdrawn(const std::string &Id);
  void onJobStored(const std::string &Id);
  bool cancel(const std::string &Id);
  void query(const BatchPointer &Batch, const Query &Request);
  void answerQuery(const BatchPointer &Batch, const Query &Request);
  bool isRefusedForMemory(const jobs::JobSpec &Job);
  std::optional<Duration> refusal(const jobs::JobSpec &Job,
                                  const jobs::Queue &TargetQueue,
                                  jobs::AdmissionResult &Admitted);
  void refuse(const BatchPointer &Batch, std::uint64_t Tag, SubmitResult Result,
              Duration RetryAfter);
  const SubmitAnswer *earlierRefusal(const BatchPointer &Batch,
                                     std::uint64_t Tag);
  void runDeferred();

  const Ports Deps;
  const Callbacks Owner;
  jobs::AdmissionController AdmissionControl;
  bool ActiveJobsAllowed = false;
  bool AllAllowed = false;
  std::uint64_t MemoryRefusals = 0;
  /// Calls that arrived before the state was loaded.
  std::vector<std::function<void()>> DeferredCalls;
  std::size_t DeferredJobBytes = 0; ///< Of the submissions among them.
  /// Callbacks that wait until a new job is stored, by job id.
  std::map<std::string, std::vector<std::function<void()>>> JobsBeingStored;
  std::deque<Refusal> RecentRefusals; ///< Oldest first.
  std::map<std::pair<std::string, std::uint64_t>, SubmitAnswer> RefusalAnswers;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
