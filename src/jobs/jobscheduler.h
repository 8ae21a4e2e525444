/// \file
/// Decides which task runs on which worker, and when.
#ifndef APRICOTWING_JOBS_JOBSCHEDULER_H
#define APRICOTWING_JOBS_JOBSCHEDULER_H

#include "core/time.h"
#include "jobs/clusterpolicy.h"
#include "jobs/job.h"
#include "jobs/run.h"
#include "jobs/worker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotwing::jobs {

/// What a round of decisions asks for.
struct Decisions {
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  std::vector<AdviceRequest> Advice;
};

/// Requests for advice that may be made now. The service answers one call of
/// an instance after the other, so calls that take long have places of their
/// own, behind which no short call has to wait.
struct AdviceBudget {
  int SlowCalls = 0;    ///< Calls that cost SlowAdviceMs or more.
  double FastMs = 0;    ///< Total cost of all others, in milliseconds.
  int MaxSlowCalls = 0; ///< SlowCalls while nothing is under way; 0: unknown.
  double MaxFastMs = 0; ///< FastMs while nothing is under way; 0: unknown.

  /// Least cost of a slow call.
  static constexpr double SlowAdviceMs = 200;
};

/// Why a start did not happen.
enum class StartRefusal {
  NoRoom,    ///< The worker has no freeResources for it.
  NoTicket,  ///< Its ticket is missing or has expired.
  Unhealthy, ///< The worker refuses all work at present.
  Expired,   ///< It arrived after its deadline, or an older run is known there.
  Malformed, ///< The worker cannot read it.
};

/// What callers see of a job.
enum class JobView {
  Unknown,
  Queued,
  InProgress,
  Completed,
  Failed,
  Cancelled
};

/// The one place where tasks are assigned to workers: keeps every accepted
/// job, the freeResources of every worker and what each client account has
/// running. Serves waiting steps by tier (can still end in time, late, of no
/// use), then priority, then due time, so that under overload work goes to jobs
/// whose callers still gain from it. Gangs are placed whole; a gang that does
/// not fit reserves workers. Owned by the leader and used on its thread only;
/// reads no clock and does no input or output.
class JobScheduler {
public:
  /// Number of runs that a leadership term may give one task. Runs of a later
  /// term are higher than all of an earlier one, whose starts may be unknown.
  static constexpr std::int64_t RunsPerTerm = 1000;

  /// \p Term is the leadership term, counted from 1.
  explicit JobScheduler(std::int64_t Term);

  /// Puts a newer policy in force. Queues and accounts that it no longer
  /// names keep their last settings for the jobs that refer to them.
  void setPolicy(const ClusterPolicy &Next);

  /// Adds a job; false if the id is known. Its tasks may be placed at once,
  /// also while the job is being stored, as the caller sends no start before
  /// what it has decided is stored. Precondition: the specification is
  /// well-formed.
  /// A job \p BeyondShare of its account is served after all others that can
  /// end in time.
  bool add(const JobSpec &Spec, bool BeyondShare, TimePoint Now);

  /// The queue with the name; null if no policy has named it.
  const Queue *queue(const std::string &Name) const;

  /// The client account with the name; null if no policy has named it.
  const ClientAccount *account(const std::string &Name) const;

  /// Time that the workers need for the waiting work of \p Priority and of
  /// more urgent ones.
  Duration estimatedWait(int Priority) const;

  /// Adds a job from storage. Its placed tasks take freeResources on their
  /// workers until those have been synced or have lapsed; a task whose worker
  /// is not known runs nowhere. \p Age is the time since its acceptance.
  void restore(const JobSpec &Spec, const JobProgress &Stored, Duration Age,
               TimePoint Now);

  /// Cancels a job; false if it is unknown. A job that has ended stays so.
  bool cancel(const std::string &Id, TimePoint Now);

  /// Forgets a job that has ended and whose runs have all ended.
  void forget(const std::string &Id);

  /// Ids of jobs that ended before \p Limit.
  std::vector<std::string> endedBefore(TimePoint Limit) const;

  /// The job with \p Id; null if unknown.
  const Job *find(const std::string &Id) const;

  /// What callers may be told of a job.
  JobView view(const std::string &Id) const;

  /// Number of accepted jobs of \p Queue of which no task was started.
  int pending(const std::string &Queue) const;

  /// Notes that the present phase of a job is stored.
  void markPhaseStored(const std::string &Id);

  /// Adds a worker or updates what is known of it. A new life of a known id
  /// ends all runs of the old one.
  void updateWorker(const WorkerInfo &Info);

  /// Ends all runs of a worker that is gone for certain, and forgets it.
  void removeWorker(const WorkerIncarnation &Life);

  /// Takes over the complete lists of a worker. What was placed there and is
  /// in neither list has not run and never will. Precondition: no older order
  /// can take effect there any more.
  void syncWorker(const WorkerIncarnation &Life,
                  const std::vector<ActiveRun> &Running,
                  const std::vector<EndedRun> &Ended, TimePoint Now);

  /// Ends all runs of a worker whose lease has run out for certain.
  void expireWorkerLease(const WorkerIncarnation &Life);

  /// Notes whether a worker answers at present.
  void setReachable(const WorkerIncarnation &Life, bool Reachable);

  /// Notes that a worker's lists must be read again before it is used.
  void markUnsynced(const WorkerIncarnation &Life);

  /// The worker with the id; null if unknown.
  const Worker *worker(const std::string &Id) const;

  /// All workers by id.
  const std::map<std::string, Worker> &workers() const { return Workers; }

  /// Notes the end of a run.
  void runEnded(const WorkerIncarnation &Life, const EndedRun &End,
                TimePoint Now);

  /// Notes the last checkpoint of a run that goes on.
  void runProgressed(const WorkerIncarnation &Life, const ActiveRun &Run);

  /// Notes that a run was not started and never will be.
  void startRefused(const WorkerIncarnation &Life, const std::string &Task,
                    std::int64_t Run, StartRefusal Reason, TimePoint Now);

  /// Takes the answer to an AdviceRequest. \p Asked are the workers named in
  /// it. Tickets count from \p Now on.
  void adviceArrived(const std::string &Step,
                     const std::vector<std::string> &Asked,
                     const std::vector<Approval> &Approved, TimePoint Now);

  /// Notes that an AdviceRequest got no answer.
  void adviceFailed(const std::string &Step);

  /// True if \p Order is still wanted: its task is placed so, and neither it
  /// nor its job has been stopped since.
  bool isCurrent(const StartCommand &Order) const;

  /// Decides what to start, stop and ask.
  Decisions decide(TimePoint Now, const AdviceBudget &Advice);

  /// Ids of jobs whose stored part has changed since the last call.
  std::set<std::string> takeChanged();

  /// The waiting steps and the free processors in words, for the log: steps by
  /// tier and priority, and those of them without advice.
  std::string summary() const;

  /// Number of jobs that have not ended.
  std::size_t activeJobs() const { return Active; }

private:
  struct StepRef {
    Job *Owner = nullptr;
    int Step = 0;
  };
  /// A worker that may be used in a round, with what is the same for all steps.
  struct UsableWorker {
    const std::string *Id = nullptr;
    Worker *Host = nullptr;
    int Pace = 1;     ///< Rounded.
    int FinePace = 1; ///< In FinePaceSteps.
  };
  struct Candidate {
    Worker *Host = nullptr;
    int Slots = 0;
    const AdviceEntry *Advice = nullptr; ///< Null: not asked yet.
    std::int64_t Cost = 0;               ///< The least is taken first.
  };
  /// How the workers of a service stand to a waiting step.
  struct Candidates {
    std::vector<Candidate> Valid;   ///< May be used now.
    std::vector<Candidate> Expired; ///< Approved, but need a new ticket.
    std::vector<Candidate> Unasked;
  };
  /// State of one round.
  struct Round {
    TimePoint Now;
    AdviceBudget Advice;
    AdviceBudget FullAdvice;        ///< While nothing is under way.
    std::int64_t FreeCpuMillis = 0; ///< Not yet expected to be taken.
    std::int64_t ClaimableCpuMillis =
        0;                 ///< By gangs that wait for freeResources.
    Resources LargestRoom; ///< Largest of each resource on a usable worker.
    int StepsLeft = 0;     ///< Steps that may still be compared with workers.
    int GangsLeft = 0;     ///< Gangs among them.
    int AskAheadLeft =
        0; ///< Steps that may ask for advice without freeResources.
    /// Workers kept free in this round for urgent steps that wait for
    /// freeResources, and the priority of those.
    std::map<const Worker *, int> KeptFree;
    /// The usable workers by upstream, in the order of their ids.
    std::map<std::string, std::vector<UsableWorker>> Usable;
    Decisions Result;
  };

  Job *findJob(const std::string &Id);
  TaskState *findTask(const TaskId &Id, Job *&Owner);
  Worker *findWorker(const WorkerIncarnation &Life);
  const Queue &queueOf(const Job &Entry) const;

  void addJob(std::unique_ptr<Job> Entry);
  void countWaiting(const Job &Entry, int Step, int Tasks);
  void enqueue(Job &Entry, int Step);
  void dequeue(Job &Entry, int Step);
  void requeueSteps(Job &Entry);
  void rankAgain(Job &Entry, TimePoint Now);
  static int tierOf(const Job &Entry, TimePoint Now);

  void release(Worker &Host, const std::string &Task, std::int64_t Run);
  void releaseUnrun(Worker &Host, const std::string &Name, std::int64_t Run);
  void holdRoom(Worker &Host, const Job &Entry, const TaskId &Id,
                std::int64_t Run, const StepSpec &Spec, TimePoint Now);
  void releaseAll(Worker &Host);
  void noteUnstarted(Job &Entry);
  void makeReady(Job &Entry, int Step, TaskState &Task);
  void finishTask(Job &Entry, int Step, TaskState &Task, TimePoint Now);
  void finishJob(Job &Entry, JobPhase Phase, TimePoint Now);
  void noteFailure(Job &Entry, int Step, TaskState &Task, std::int64_t Run,
                   TimePoint Now);
  void learnPace(Worker &Host, const Job &Entry, const StepSpec &Spec,
                 const TaskState &Task, TimePoint Now);
  void stopRun(Worker &Host, const std::string &Task, std::int64_t Run);
  void stopPlaced(Job &Entry, int Step);
  void adopt(Worker &Host, const ActiveRun &Run, TimePoint Now);
  std::int64_t clearClaims(const std::string &Step, StepState &State);

  std::optional<WaitRank> serveFrom(Round &Now, const WaitRank &First,
                                    std::size_t Limit);
  Candidates candidatesFor(Round &Now, Job &Entry, int Step);
  static std::int64_t costOf(const UsableWorker &Host, const StepSpec &Spec,
                             bool Tight);
  int allowedByCap(const Job &Entry, const StepSpec &Spec) const;
  void serve(Round &Now, Job &Entry, int Step);
  void serveTasks(Round &Now, Job &Entry, int Step, Candidates Found);
  void keepFree(Round &Now, const Queue &Terms, const Candidates &Found,
                int Tasks);
  void serveGang(Round &Now, Job &Entry, int Step, Candidates Found);
  int place(Round &Now, Job &Entry, int Step, std::vector<Candidate> &Hosts,
            int Wanted, std::int64_t GangRun);
  void startOn(Round &Now, Job &Entry, int Step, int Index, const Candidate &At,
               std::int64_t Run);
  void ask(Round &Now, Job &Entry, int Step, std::vector<std::string> Workers);
  double approvalRate(const std::string &Queue) const;
  static bool mayAsk(const Round &Now, const Queue &Terms,
                     const StepState &State);
  void askForGang(Round &Now, Job &Entry, int Step,
                  const std::vector<Candidate> &Approved,
                  const std::vector<Candidate> &Unasked);
  void claimRoom(Round &Now, Job &Entry, int Step,
                 const std::vector<Candidate> &Approved);
  bool takeClaims(Round &Now, const WaitRank &First);
  std::int64_t nextRun(std::int64_t Last) const;

  const std::int64_t Term;
  std::map<std::string, Queue> Queues;
  std::map<std::string, ClientAccount> Accounts;
  std::map<std::string, Upstream> Upstreams;
  std::map<std::string, double> ApprovalRate; ///< By queue, learned.
  /// Run time as a multiple of the estimate, by queue, learned.
  std::map<std::string, double> EstimateRatio;
  std::unordered_map<std::string, std::unique_ptr<Job>> Jobs;
  std::map<std::string, Worker> Workers;
  std::map<std::string, Resources> Running; ///< By client account.
  std::map<std::string, int> PendingJobs;   ///< By queue.
  /// Estimated work of tasks that are ready or blocked, by priority, in
  /// thousandths of a core times milliseconds.
  std::map<int, double> WaitingWork;
  Resources LargestCapacity; ///< Largest of each resource of any worker seen.
  std::int64_t UsableCpuMillis = 0; ///< Of all workers in the last round.
  std::map<WaitRank, StepRef> Waiting;
  WaitRank ResumeAt; ///< Where the next round goes on behind the front.
  std::vector<StopCommand> Stops; ///< Decided outside of a round.
  std::set<std::string> Changed;
  std::uint64_t LastSequence = 0;
  std::size_t Active = 0;
};

} // namespace apricotwing::jobs

#endif
