#include "cell/callservice.h"

#include "cell/codec.h"
#include "cell/stateloader.h"

#include <algorithm>

namespace apricotwing::cell {

namespace {

/// How long a refusal is remembered. An instance repeats a submission for as
/// long as its caller waits, which is 3 s, and a request may be delayed.
constexpr Duration RefusalRetention{8000};

/// Jobs that wait until the state is loaded, some of them repeatedly. About
/// 3000 usual ones fit, more than arrive during a takeover.
constexpr std::size_t MaxDeferredJobBytes = std::size_t(8) << 20;

} // namespace

CallService::OpenBatch::~OpenBatch() {
  if (Reply.Submitted.empty() && Reply.Answers.empty())
    Respond(std::nullopt);
  else
    Respond(std::move(Reply));
}

void CallService::serve(const CallBatch &Batch, BatchResponder Respond) {
  const auto Open = std::make_shared<OpenBatch>(std::move(Respond));
  Open->Process = Batch.Process;
  Open->PolicyVersion = Batch.PolicyVersion;
  for (const Submission &NewSubmission : Batch.Submissions)
    submit(Open, NewSubmission);
  for (const Query &Request : Batch.Queries)
    query(Open, Request);
}

void CallService::allowActiveJobs() {
  ActiveJobsAllowed = true;
  runDeferred();
}

void CallService::allowAll() {
  AllAllowed = true;
  runDeferred();
}

void CallService::runDeferred() {
  DeferredJobBytes = 0;
  for (const auto &Call : std::exchange(DeferredCalls, {}))
    Call();
}

void CallService::submit(const BatchPointer &Batch,
                         const Submission &NewSubmission) {
  const std::string &Id = NewSubmission.Job.Id;
  const std::uint64_t Tag = NewSubmission.Tag;
  if (!AllAllowed) {
    // Whether the job is already known is clear only once the state is loaded.
    // Beyond the limit the sender repeats the call.
    const std::size_t Bytes = jobs::specBytes(NewSubmission.Job);
    if (DeferredJobBytes + Bytes > MaxDeferredJobBytes)
      return;
    DeferredJobBytes += Bytes;
    DeferredCalls.push_back(
        [this, Batch, NewSubmission] { submit(Batch, NewSubmission); });
    return;
  }
  if (!Deps.StateJournal.isLeaseValid())
    return; // The sender repeats the call.
  const auto Accept = [Batch, Tag] {
    Batch->Reply.Submitted.push_back({Tag, SubmitResult::Accepted, 0});
  };
  if (const auto Waiting = JobsBeingStored.find(Id);
      Waiting != JobsBeingStored.end()) {
    Waiting->second.push_back(Accept);
    return;
  }
  if (const jobs::Job *Known = Deps.Scheduler.find(Id)) {
    if (Known->Phase != jobs::JobPhase::Withdrawn) {
      Accept();
      return;
    }
    JobsBeingStored[Id].push_back(Accept);
    acceptWithdrawn(Id);
    return;
  }
  if (const SubmitAnswer *Earlier = earlierRefusal(Batch, Tag)) {
    Batch->Reply.Submitted.push_back(*Earlier);
    return;
  }
  if (const auto Problem = jobs::validationError(NewSubmission.Job)) {
    Deps.Log.event("job malformed", Id, {{"problem", *Problem}});
    refuse(Batch, Tag, SubmitResult::Malformed, Duration{0});
    return;
  }
  std::string Row = encode(NewSubmission.Job);
  if (Row.size() > MaxValueBytes) {
    Deps.Log.event("job too large", Id,
                   {{"row_bytes", std::to_string(Row.size())},
                    {"limit", std::to_string(MaxValueBytes)},
                    {"steps", std::to_string(NewSubmission.Job.Steps.size())}});
    refuse(Batch, Tag, SubmitResult::Malformed, Duration{0});
    return;
  }
  const std::size_t JobBytes = jobs::activeJobBytes(NewSubmission.Job);
  if (!Deps.Scheduler.memory().canAdmit(JobBytes)) {
    Deps.Log.event("job too large", Id,
                   {{"job_memory", std::to_string(JobBytes)}});
    refuse(Batch, Tag, SubmitResult::Malformed, Duration{0});
    return;
  }
  const jobs::Queue *TargetQueue =
      Deps.Scheduler.queue(NewSubmission.Job.Queue);
  if (!TargetQueue) {
    // The sender has another version of the policy. Without the settings of its
    // queue the job might never run.
    Deps.Log.event("job of unknown queue refused", Id,
                   {{"queue", NewSubmission.Job.Queue},
                    {"sender_policy", std::to_string(Batch->PolicyVersion)}});
    // A sender that names no version does not know this result.
    refuse(Batch, Tag,
           Batch->PolicyVersion > 0 ? SubmitResult::UnknownQueue
                                    : SubmitResult::Busy,
           jobs::AdmissionController::MinRetryAfter);
    return;
  }
  jobs::AdmissionResult Admitted;
  if (const auto RetryAfter =
          refusal(NewSubmission.Job, *TargetQueue, Admitted)) {
    refuse(Batch, Tag, SubmitResult::Busy, *RetryAfter);
    return;
  }
  JobsBeingStored[Id].push_back(Accept);
  Deps.Scheduler.add(NewSubmission.Job, Admitted.BeyondShare, Deps.Time.now());
  Owner.RequestDecision();
  Deps.StateJournal.put(JobTable, Id, std::move(Row));
  Deps.StateJournal.whenCommitted(Guard.wrap([this, Job = NewSubmission.Job] {
    Deps.Log.event("job accepted", Job.Id,
                   {{"queue", Job.Queue},
                    {"account", Job.Account},
                    {"steps", std::to_string(Job.Steps.size())},
                    {"tasks", std::to_string(Job.Steps.front().Count)}});
    Owner.RequestDecision();
    onJobStored(Job.Id);
  }));
}

// Accepts a job whose cancellation arrived first.
void CallService::acceptWithdrawn(const std::string &Id) {
  Deps.Scheduler.submitWithdrawn(Id, Deps.Time.now());
  Deps.StateJournal.put(EndedTable, Id,
                        encodeEndPhase(jobs::JobPhase::Cancelled));
  Deps.StateJournal.whenCommitted(Guard.wrap([this, Id] {
    Deps.Log.event("job submitted after its cancellation", Id, {});
    Deps.Scheduler.markPhaseStored(Id);
    onJobStored(Id);
  }));
}

void CallService::onJobStored(const std::string &Id) {
  const auto Waiting = JobsBeingStored.extract(Id);
  if (!Waiting.empty())
    for (const auto &Callback : Waiting.mapped())
      Callback();
}

// Counts and logs the refusal of a job for which there is no memory.
bool CallService::isRefusedForMemory(const jobs::JobSpec &Job) {
  const std::size_t Bytes = jobs::activeJobBytes(Job);
  if (Deps.Scheduler.memory().admits(Job.Account, Bytes))
    return false;
  ++MemoryRefusals;
  Deps.Log.event("job refused", Job.Id,
                 {{"queue", Job.Queue},
                  {"account", Job.Account},
                  {"cause", "memory"},
                  {"bytes", std::to_string(Bytes)},
                  {"held", std::to_string(Deps.Scheduler.memory().held())}});
  return true;
}

// Returns the time after which the caller should try again if the job must be
// refused.
std::optional<Duration> CallService::refusal(const jobs::JobSpec &Job,
                                             const jobs::Queue &TargetQueue,
                                             jobs::AdmissionResult &Admitted) {
  const Duration Wait = Deps.Scheduler.estimatedWait(TargetQueue.Priority);
  if (isRefusedForMemory(Job))
    return std::clamp(Wait / 2, jobs::AdmissionController::MinRetryAfter,
                      jobs::AdmissionController::MaxRetryAfter);
  Admitted = AdmissionControl.evaluate(Job, TargetQueue,
                                       Deps.Scheduler.account(Job.Account),
                                       Wait, Deps.Time.now());
  if (Admitted.RetryAfter)
    Deps.Log.event("job refused", Job.Id,
                   {{"queue", Job.Queue},
                    {"account", Job.Account},
                    {"beyond_share", Admitted.BeyondShare ? "1" : "0"},
                    {"wait_ms", std::to_string(Wait.count())}});
  return Admitted.RetryAfter;
}

void CallService::refuse(const BatchPointer &Batch, std::uint64_t Tag,
                         SubmitResult Result, Duration RetryAfter) {
  const TimePoint Now = Deps.Time.now();
  while (!RecentRefusals.empty() &&
         Now - RecentRefusals.front().At > RefusalRetention) {
    RefusalAnswers.erase(RecentRefusals.front().Request);
    RecentRefusals.pop_front();
  }
  const SubmitAnswer Answer{Tag, Result, RetryAfter.count()};
  RecentRefusals.push_back({Now, {Batch->Process, Tag}});
  RefusalAnswers[{Batch->Process, Tag}] = Answer;
  Batch->Reply.Submitted.push_back(Answer);
}

const SubmitAnswer *CallService::earlierRefusal(const BatchPointer &Batch,
                                                std::uint64_t Tag) {
  const auto Found = RefusalAnswers.find({Batch->Process, Tag});
  return Found == RefusalAnswers.end() ? nullptr : &Found->second;
}

void CallService::query(const BatchPointer &Batch, const Query &Request) {
  const auto AskAgain = [this, Batch, Request] { query(Batch, Request); };
  // Jobs that have not ended are loaded before ended ones.
  const bool Loaded =
      AllAllowed || (ActiveJobsAllowed && Deps.Scheduler.find(Request.Subject));
  if (!Loaded) {
    DeferredCalls.push_back(AskAgain);
    return;
  }
  // A job that is being stored will be known shortly.
  if (const auto Waiting = JobsBeingStored.find(Request.Subject);
      Waiting != JobsBeingStored.end()) {
    Waiting->second.push_back(AskAgain);
    return;
  }
  if (Request.Kind == QueryKind::Cancel && Deps.StateJournal.isLeaseValid()) {
    if (!cancel(Request.Subject)) {
      QueryAnswer Refusal{Request.Tag, jobs::JobView::Unknown, 0};
      Refusal.Refused = true;
      Batch->Reply.Answers.push_back(Refusal);
      return;
    }
    Deps.StateJournal.whenCommitted(
        Guard.wrap([this, Batch, Request] { answerQuery(Batch, Request); }));
    return;
  }
  answerQuery(Batch, Request);
}

// Returns false if the job is unknown and too many such cancellations are
// remembered.
bool CallService::cancel(const std::string &Id) {
  if (Deps.Scheduler.cancel(Id, Deps.Time.now())) {
    Deps.Log.event("job cancelled", Id, {});
    Owner.RequestDecision();
    Owner.StoreChanges();
    return true;
  }
  if (!Deps.Scheduler.withdraw(Id, Deps.Time.now())) {
    Deps.Log.event("cancellation refused", Id,
                   {{"withdrawn_jobs",
                     std::to_string(jobs::JobScheduler::MaxWithdrawnJobs)}});
    return false;
  }
  Deps.Log.event("unknown job cancelled", Id, {});
  Deps.StateJournal.put(EndedTable, Id,
                        encodeEndPhase(jobs::JobPhase::Withdrawn));
  return true;
}

void CallService::answerQuery(const BatchPointer &Batch, const Query &Request) {
  if (!Deps.StateJournal.isLeaseValid())
    return; // The sender repeats the call.
  QueryAnswer Answer{Request.Tag, jobs::JobView::Unknown, 0};
  if (Request.Kind == QueryKind::Pending)
    Answer.Count = Deps.Scheduler.pending(Request.Subject);
  else
    Answer.View = Deps.Scheduler.view(Request.Subject);
  Batch->Reply.Answers.push_back(Answer);
}

} // namespace apricotwing::cell
