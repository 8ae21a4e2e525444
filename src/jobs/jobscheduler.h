/// \file
/// The scheduler of jobs: decides which task runs on which worker, and when.
#ifndef APRICOTWING_JOBS_JOBSCHEDULER_H
#define APRICOTWING_JOBS_JOBSCHEDULER_H

#include "core/memorybudget.h"
#include "core/nametable.h"
#include "core/time.h"
#include "jobs/clusterpolicy.h"
#include "jobs/departurepolicy.h"
#include "jobs/job.h"
#include "jobs/jobmemory.h"
#include "jobs/run.h"
#include "jobs/scheduleroptions.h"
#include "jobs/usagehistory.h"
#include "jobs/worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotwing::jobs {

/// Commands and requests that one scheduling round decided on.
struct Decisions {
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  std::vector<AdviceRequest> Advice;
  std::vector<Migration> Migrations; ///< For the log; Stops has their runs.
};

/// How many calls to the advice service may be made now. The service handles
/// the calls of one instance one after the other, so slow calls have a separate
/// limit and no fast call has to wait behind them.
struct AdviceBudget {
  int SlowCalls = 0;    ///< Calls that take SlowAdviceMs or longer.
  double FastMs = 0;    ///< Total duration of all other calls, in ms.
  int MaxSlowCalls = 0; ///< SlowCalls while no call is in flight; 0: unknown.
  double MaxFastMs = 0; ///< FastMs while no call is in flight; 0: unknown.

  /// Minimum duration of a slow call, in ms.
  static constexpr double SlowAdviceMs = 200;
};

/// Why a worker refused a start.
enum class StartRefusal {
  NoRoom,    ///< The worker has not enough free resources.
  NoTicket,  ///< The ticket is missing or has expired.
  Unhealthy, ///< The worker currently refuses all work.
  /// The start arrived after its deadline, or the worker knows an older run.
  Expired,
  Malformed, ///< The worker cannot parse the start.
};

inline constexpr NameTable<StartRefusal, 5> StartRefusalNames = {{
    {StartRefusal::NoRoom, "no_room"},
    {StartRefusal::NoTicket, "no_ticket"},
    {StartRefusal::Unhealthy, "unhealthy"},
    {StartRefusal::Expired, "expired"},
    {StartRefusal::Malformed, "malformed"},
}};

/// A step that waits for a start, and what is known of the reason.
struct WaitingStep {
  std::string Name;
  WaitCause Cause = WaitCause::NotConsidered;
  Duration Waited{0};
  std::optional<Duration> SinceCompared; ///< With the workers; empty: never.
  int Tier = 0;
  bool Gang = false;
  int Tasks = 0;
  int ReadyTasks = 0;
  int Losses = 0;           ///< Of workers under its tasks, at most per task.
  std::int64_t LastRun = 0; ///< Highest run number of its tasks.
  int ApprovedWorkers = 0;  ///< That answer and may run it.
  int FreeSlots = 0;        ///< On these workers.
  int ReservedSlots = 0;    ///< Of these, on workers reserved for other runs.
  bool AdviceInFlight = false;
  int FailedAdviceCalls = 0; ///< Since the last answer.
};

/// State of a job as callers see it.
enum class JobView {
  Unknown,
  Queued,
  InProgress,
  Completed,
  Failed,
  Cancelled
};

/// Assigns tasks to workers. Keeps all accepted jobs, the free resources of all
/// workers and the resources that each client account uses. Waiting steps are
/// scheduled by tier (on time, late, past the firm deadline), then by priority,
/// then by due time, to which the past use of the account may add a bounded
/// delay (UsageHistory), so that under overload the workers run jobs whose
/// completion still has value. All tasks of a gang are placed at once; a gang
/// that does not fit claims free resources until it does. Owned by the leader
/// and used on its thread only; reads no clock and does no input or output.
class JobScheduler {
public:
  /// Number of run numbers that one leadership term may give to a task. The run
  /// numbers of a later term are higher than all of an earlier term, whose
  /// starts the later leader may not know.
  static constexpr std::int64_t RunsPerTerm = 1000;

  /// \p Term is the leadership term, counted from 1.
  explicit JobScheduler(std::int64_t Term,
                        const SchedulerOptions &Options = {});

  /// Applies a newer policy. Queues and accounts that it no longer contains
  /// keep their last settings while active jobs refer to them.
  void setPolicy(const ClusterPolicy &NewPolicy);

  /// The settings in use: those of the last policy, and the last ones of
  /// removed queues and accounts to which active jobs refer. The next leader
  /// needs them.
  ClusterPolicy settings() const;

  /// Adds the settings() of the last leader that the policy does not contain.
  /// Call it before jobs are restored, and forgetUnusedSettings() after that.
  void restoreSettings(const ClusterPolicy &Earlier);

  /// Forgets the removed queues and accounts to which no active job refers.
  void forgetUnusedSettings();

  /// Adds a job; false if the id is already known. Its tasks may be placed at
  /// once, even while the job is being stored, because the caller sends no
  /// start before the decision is stored. A job that is \p BeyondShare of its
  /// account is scheduled after all other jobs that can finish on time.
  /// Precondition: \p Spec is well-formed.
  bool add(const JobSpec &Spec, bool BeyondShare, TimePoint Now);

  /// The queue named \p Name; null if settings() does not contain it.
  const Queue *queue(const std::string &Name) const;

  /// The client account named \p Name; null if settings() does not contain it.
  const ClientAccount *account(const std::string &Name) const;

  /// All client accounts in settings().
  std::vector<ClientAccount> accounts() const;

  /// Time that the workers need for the waiting work of \p Priority and of
  /// more urgent priorities. Zero before the first round.
  Duration estimatedWait(int Priority) const;

  /// Longest time that a waiting step has waited for a start. Steps that no
  /// worker can run, or that wait because of their account's limit, don't
  /// count.
  Duration longestWait(TimePoint Now) const;

  /// The steps that have waited for at least \p MinWait, longest first, at most
  /// \p PerCause of each cause. Compares each of them with all workers, so it
  /// is for the log.
  std::vector<WaitingStep> longestWaiting(TimePoint Now, Duration MinWait,
                                          std::size_t PerCause) const;

  /// Number of waiting steps by cause.
  std::map<WaitCause, int> waitCauses() const;

  /// Number of workers on which nothing is started beside the runs there.
  int reservedWorkers(TimePoint Now) const;

  /// Fraction of the processors of all usable workers that is free, and the
  /// number of these workers, in the last round.
  double freeShare() const;
  int usableWorkers() const { return UsableWorkers; }

  /// Adds a job from storage. Its placed tasks keep resources allocated on
  /// their workers until the workers are synced or their leases expire; a task
  /// whose worker is unknown is not running. \p Age is the time since the job's
  /// acceptance.
  void restore(const JobSpec &Spec, const JobProgress &Stored, Duration Age,
               TimePoint Now);

  /// Cancels a job; false if it is unknown. No effect on a job that has ended.
  bool cancel(const std::string &Id, TimePoint Now);

  /// Remembers the cancellation of a job that is not known, so that a
  /// submission of it that is still on its way does not start it. Returns false
  /// if MaxWithdrawnJobs such jobs are remembered. Precondition: the job is
  /// unknown.
  bool withdraw(const std::string &Id, TimePoint Now);

  /// Makes a withdrawn job a cancelled one, because it has been submitted. No
  /// effect on any other job.
  void submitWithdrawn(const std::string &Id, TimePoint Now);

  /// Maximum number of withdrawn jobs, which bounds the memory that
  /// cancellations of unknown jobs take.
  static constexpr std::size_t MaxWithdrawnJobs = 10'000;

  /// Removes a job that has ended. Precondition: all its runs have ended.
  void forget(const std::string &Id);

  /// Releases the tasks of jobs that ended before \p Limit. Only their states
  /// can be queried afterwards. Precondition: no call that was made for such a
  /// job can still take effect.
  void releaseTasksOfEnded(TimePoint Limit);

  /// Memory that the jobs take.
  const MemoryBudget &memory() const { return Memory; }

  /// Ids of jobs that ended before \p Limit.
  std::vector<std::string> endedBefore(TimePoint Limit) const;

  /// The job with \p Id; null if unknown.
  const Job *find(const std::string &Id) const;

  /// The state of a job that callers may see.
  JobView view(const std::string &Id) const;

  /// Number of accepted jobs of \p Queue of which workers have not begun any
  /// step. A task that is only placed may never reach its worker.
  int pending(const std::string &Queue) const;

  /// The same for all queues together.
  int pending() const;

  /// Records that the current phase of a job is stored.
  void markPhaseStored(const std::string &Id);

  /// Adds a worker or updates its description. A new incarnation of a known id
  /// ends all runs of the old incarnation.
  void updateWorker(const WorkerInfo &Info, TimePoint Now);

  /// Replaces the set of evacuated availability zones. Workers there get no new
  /// runs, and gangs lose their claims on them. Runs there go on.
  void setEvacuatedZones(std::set<std::string> Zones);
  const std::set<std::string> &evacuatedZones() const { return EvacuatedZones; }

  /// Number of workers in evacuated zones.
  int evacuatedWorkers() const;

  /// While \p Value is true, rounds start nothing, claim nothing and request no
  /// advice. Stops are still ordered.
  void holdStarts(bool Value) { StartsHeld = Value; }

  /// Ends all runs of a worker and removes the worker. \p Proof is for the log.
  /// Precondition: it is certain that none of them is active.
  void removeWorker(const WorkerIncarnation &Incarnation, WorkerLoss Cause,
                    TimePoint Now, const LossProof &Proof = {});

  /// Reconciles the state with the complete lists of runs on a worker. A run
  /// that was placed there and is in neither list has not started and never
  /// will. Precondition: no start command sent earlier can still take effect.
  void syncWorker(const WorkerIncarnation &Incarnation,
                  const std::vector<ActiveRun> &Running,
                  const std::vector<EndedRun> &Ended, TimePoint Now);

  /// Ends all runs of a worker but those in \p Undecided, which it may still
  /// have. It must be synced before it gets new ones. \p Proof is for the log.
  /// Precondition: it is certain that no other run is active.
  void loseRuns(const WorkerIncarnation &Incarnation, WorkerLoss Cause,
                TimePoint Now, const std::vector<ActiveRun> &Undecided = {},
                const LossProof &Proof = {});

  /// Runs that were lost together with their workers since the last call.
  std::vector<LostRun> takeLostRuns();

  /// Ends of given-up runs that were reported since the last call.
  std::vector<GivenUpEnd> takeGivenUpEnds();

  /// Sets whether a worker can currently be reached.
  void setReachable(const WorkerIncarnation &Incarnation, bool Reachable);

  /// Marks a worker whose lists must be read again before it gets new runs.
  void markUnsynced(const WorkerIncarnation &Incarnation);

  /// The worker with the id; null if unknown.
  const Worker *worker(const std::string &Id) const;

  /// All workers by id.
  const std::map<std::string, Worker> &workers() const { return Workers; }

  /// Records the end of a run.
  void runEnded(const WorkerIncarnation &Incarnation, const EndedRun &End,
                TimePoint Now);

  /// Records that a worker has confirmed a run.
  void confirmRun(const WorkerIncarnation &Incarnation, const std::string &Task,
                  std::int64_t Run);

  /// Adds the jobs to takeChanged() that have runs which were placed before
  /// \p Limit and confirmed since the last call.
  void markConfirmationsChanged(TimePoint Limit);

  /// Tasks and numbers of the runs that are placed on a worker and that it has
  /// not confirmed.
  std::vector<std::pair<std::string, std::int64_t>>
  unconfirmedRuns(const WorkerIncarnation &Incarnation);

  /// Records the latest checkpoint and the progress of a running task.
  void runProgressed(const WorkerIncarnation &Incarnation, const ActiveRun &Run,
                     TimePoint Now);

  /// Records that a run has not started and never will.
  void startRefused(const WorkerIncarnation &Incarnation,
                    const std::string &Task, std::int64_t Run,
                    StartRefusal Reason, TimePoint Now);

  /// Processes the answer to an AdviceRequest. \p Requested are the workers
  /// that the request named. The service answered at most \p MaxAge before
  /// \p Now, and the validity of the tickets began then.
  void adviceArrived(const std::string &Step,
                     const std::vector<std::string> &Requested,
                     const std::vector<Approval> &Approved, TimePoint Now,
                     Duration MaxAge = Duration{0});

  /// Records that an AdviceRequest got no answer.
  void adviceFailed(const std::string &Step);

  /// The runs that have to end and are not known to have ended.
  const std::map<StopCommand, StopProgress> &runsToStop() const {
    return RunsToStop;
  }

  /// True if \p Order should still be sent: its run is still placed on that
  /// worker, which has room for it and is not evacuated, and has not been
  /// stopped.
  bool isCurrent(const StartCommand &Order) const;

  /// Records that \p Order is being sent, so that its run may be the cause if
  /// the worker crashes.
  void markDispatched(const StartCommand &Order);

  /// Runs one scheduling round: decides which runs to start and stop, and which
  /// advice to request. The stop of a run is decided again at intervals, and
  /// whenever the lists of its worker were read anew, until the run is known to
  /// have ended.
  Decisions decide(TimePoint Now, const AdviceBudget &Advice);

  /// Ids of jobs whose stored state has changed since the last call.
  std::set<std::string> takeChanged();

  /// Text for the log: the number of waiting steps by tier and priority and how
  /// many of them have no advice, then the free and claimed processors and the
  /// number of steps whose tasks fit no worker.
  std::string summary() const;

  /// Number of runs stopped because a worker was about to leave.
  std::size_t migratedRuns() const { return MigratedRuns; }

  /// Sets which accounts of the policy can have jobs here. The past use of an
  /// account is compared with that of these accounts only; by default with all.
  void setServedAccounts(std::function<bool(const std::string &)> IsServed);

  /// Past use of the accounts.
  UsageHistory &usage() { return Usage; }
  const UsageHistory &usage() const { return Usage; }

  /// Number of jobs that have not ended.
  std::size_t activeJobs() const { return Active; }

private:
  /// A step of a job.
  struct StepRef {
    Job *Owner = nullptr;
    int Step = 0;
  };
  /// A step that may not make the call for advice that it needs.
  struct RefusedCall {
    TimePoint WaitsSince;
    TimePoint At; ///< When a round last refused the call.
  };
  /// A worker that is available in a round, with values computed once per
  /// round.
  struct UsableWorker {
    const std::string *Id = nullptr;
    Worker *Host = nullptr;
    int Slowdown = 1;     ///< Rounded to an integer.
    int FineSlowdown = 1; ///< In units of 1 / FineSlowdownSteps.
  };
  /// A worker that may run tasks of a waiting step.
  struct Candidate {
    Worker *Host = nullptr;
    int Slots = 0;
    const WorkerAdvice *Advice = nullptr; ///< Null if none was requested.
    std::int64_t Cost = 0;                ///< Lower is better.
    /// Empty if the worker is not reserved for other runs.
    std::optional<Isolation> ReservedFor = std::nullopt;
  };
  /// The workers of an upstream that match a waiting step.
  struct Candidates {
    std::vector<Candidate> Valid;     ///< Can be used now.
    std::vector<Candidate> Expired;   ///< Approved, but need a new ticket.
    std::vector<Candidate> Unadvised; ///< No advice was requested yet.
    bool UseClaims = false; ///< Their slots include what gangs have claimed.
    bool MayShare = false;  ///< Reserved workers yield to the step.
  };
  /// Processors of the available workers of an upstream, in thousandths of a
  /// core.
  struct CpuUse {
    std::int64_t Capacity = 0;
    std::int64_t Allocated = 0;
  };
  /// State of one scheduling round.
  struct Round {
    TimePoint Now;
    AdviceBudget Advice;
    AdviceBudget FullAdvice;        ///< Budget while no call is in flight.
    std::int64_t FreeCpuMillis = 0; ///< Not yet planned for a step.
    /// What waiting gangs may still claim.
    std::int64_t ClaimableCpuMillis = 0;
    Resources LargestFree; ///< Maximum of each resource on any usable worker.
    Resources LargestReserved;         ///< The same of the reserved workers.
    std::map<std::string, CpuUse> Use; ///< By upstream.
    int StepsLeft = 0; ///< Steps that may still be compared with workers.
    int GangsLeft = 0; ///< Gangs that may still be compared.
    /// The first gang at the front that GangsLeft kept from being compared.
    std::optional<WaitRank> SkippedGang;
    int PrefetchesLeft = 0; ///< Steps that may request advice in advance.
    /// Names of steps of which a run is at work that is not placed; it must end
    /// before its task is started again.
    std::set<std::string> StillAtWork;
    /// Workers that are reserved in this round for urgent waiting steps, with
    /// the priority of those steps.
    std::map<const Worker *, int> ReservedHosts;
    /// The available workers by upstream, ordered by id.
    std::map<std::string, std::vector<UsableWorker>> Usable;
    Decisions Result;
  };

  Job *findJob(const std::string &Id);
  TaskState *findTask(const TaskId &Id, Job *&Owner);
  Worker *findWorker(const WorkerIncarnation &Incarnation);
  const Queue &queueOf(const Job &CurrentJob) const;

  void addJob(std::unique_ptr<Job> NewJob, TimePoint Now);
  void setHeldBytes(Job &CurrentJob, std::size_t Bytes);
  void setLargestCapacity(const Resources &Largest);
  void applyZone(Worker &Host);
  bool countsAsWaitingWork(const StepSpec &Spec) const;
  void addWaitingWork(const Job &CurrentJob, int Step, int Tasks);
  void enqueue(Job &CurrentJob, int Step, TimePoint Now);
  void dequeue(Job &CurrentJob, int Step);
  void requeueSteps(Job &CurrentJob, TimePoint Now);
  WaitingStep describe(const StepRef &Ref, TimePoint Now) const;
  void updateRank(Job &CurrentJob, TimePoint Now);
  static bool mustDropDelay(const Job &CurrentJob, const StepState &State,
                            TimePoint Now);
  void updateWeights();
  static int tierOf(const Job &CurrentJob, TimePoint Now);

  void release(Worker &Host, const std::string &Task, std::int64_t Run,
               TimePoint Now);
  void releaseWithoutResult(Worker &Host, const std::string &Name,
                            std::int64_t Run, TimePoint Now, PreviousRun How);
  void allocateRun(Worker &Host, const Job &CurrentJob, const TaskId &Id,
                   std::int64_t Run, const StepSpec &Spec, TimePoint Now);
  void recordLoss(const Worker &Host, const std::string &Name,
                  const AllocatedRun &Run, WorkerLoss Cause, TimePoint Now,
                  const LossProof &Proof);
  void failIfExhausted(const std::string &Name, bool MayBeChance,
                       TimePoint Now);
  void resolveSilence(const WorkerIncarnation &Incarnation, WorkerLoss Cause,
                      TimePoint Now);
  void resolveSilenceBefore(const WorkerIncarnation &Incarnation,
                            TimePoint Now);
  void endSilence(const WorkerIncarnation &Incarnation);
  void removeEndedSilence();
  void givenUpRunEnded(Job &Owner, int Step, TaskState &Task,
                       const EndedRun &End, TimePoint Now);
  static bool runsAlone(const Job &CurrentJob, int Step, const TaskState &Task,
                        TimePoint Now);
  static bool isProbed(const Job &CurrentJob, int Step, TimePoint Now);
  static bool isHeldBack(const Job &CurrentJob, int Step, const TaskState &Task,
                         TimePoint Now);
  bool mayReserve(TimePoint Now) const;
  void restoreCrashes(Job &CurrentJob, int Step, TimePoint Now);
  void releaseAll(Worker &Host, WorkerLoss Cause, TimePoint Now,
                  const LossProof &Proof,
                  const std::vector<ActiveRun> &Undecided = {});
  static void notePrevious(TaskState &Task, PreviousRun How);
  void noteGivenUpEnd(const WorkerIncarnation &Incarnation,
                      const TaskState &Task, const EndedRun &End, bool Counts);
  void noteCrash(const WorkerIncarnation &Incarnation, WorkerLoss Cause,
                 TimePoint Now);
  bool hasCrashesWithout(const CrashHistory &Crashes, TimePoint Now) const;
  void markBegun(Job &CurrentJob, int Step, bool AtWork);
  void makeReady(Job &CurrentJob, int Step, TaskState &Task, TimePoint Now);
  void finishTask(Job &CurrentJob, int Step, TaskState &Task, TimePoint Now);
  void finishJob(Job &CurrentJob, JobPhase Phase, TimePoint Now);
  void recordFailure(Job &CurrentJob, int Step, TaskState &Task,
                     std::int64_t Run, TimePoint Now);
  void updateSlowdown(Worker &Host, const Job &CurrentJob, const StepSpec &Spec,
                      const TaskState &Task, TimePoint Now);
  std::vector<StopCommand> dueStops(TimePoint Now);
  static void updateDeparture(Worker &Host, const WorkerInfo &Before,
                              TimePoint Now);
  void migrateLeavingRuns(TimePoint Now, Decisions &Result);
  void migrateRun(Worker &Host, const TaskId &Id, std::int64_t Run,
                  std::int64_t &PromisedCpuMillis, TimePoint Now,
                  Decisions &Result);
  DepartingRun departingRun(const Worker &Host, const Job &CurrentJob,
                            const TaskId &Id, TimePoint Now) const;
  bool hasRoomElsewhere(const Job &CurrentJob, int Step,
                        std::int64_t PromisedCpuMillis, TimePoint Now) const;
  int missingTasks(const Job &CurrentJob, int Step, TimePoint Now) const;
  std::set<std::string> stepsStillAtWork() const;
  void stopRun(Worker &Host, const std::string &Task, std::int64_t Run,
               StopCause Cause, TimePoint Now);
  void stopPlaced(Job &CurrentJob, int Step, StopCause Cause, TimePoint Now);
  void reconcileRun(Worker &Host, const ActiveRun &Run, TimePoint Now);
  std::int64_t releaseClaims(const std::string &Step, StepState &State);
  std::set<std::string> yieldingTo(const WaitRank &Rank) const;
  void takeClaims(Round &Current, Worker &Host, const WaitRank &Rank);

  std::optional<WaitRank> scheduleFront(Round &Current);
  std::optional<WaitRank> scheduleRest(Round &Current, const WaitRank &First,
                                       const std::optional<WaitRank> &FrontEnd);
  std::vector<std::pair<WaitRank, StepRef>> stepsFrom(const WaitRank &First,
                                                      std::size_t Limit) const;
  Candidates candidatesFor(Round &Current, Job &CurrentJob, int Step);
  bool mayUseClaims(const Round &Current, const Job &CurrentJob,
                    int Step) const;
  static std::int64_t costOf(const UsableWorker &Usable, const StepSpec &Spec,
                             bool IsLowSlack);
  int allowedByCap(const Job &CurrentJob, const StepSpec &Spec) const;
  bool scheduleStep(Round &Current, const WaitRank &Rank, const StepRef &Ref);
  std::optional<WaitCause> obstacleOfGang(const Job &CurrentJob, int Step,
                                          TimePoint Now) const;
  static int freeSlots(const std::vector<Candidate> &Group);
  void scheduleTasks(Round &Current, Job &CurrentJob, int Step,
                     Candidates Found);
  void reserveForLargeTasks(Round &Current, const Queue &JobQueue,
                            const Candidates &Found, int Tasks);
  void scheduleGang(Round &Current, Job &CurrentJob, int Step,
                    Candidates Found);
  std::optional<Duration> yieldingAge(const Round &Current,
                                      const Job &CurrentJob, int Step) const;
  static bool needsIsolation(const Job &CurrentJob, int Step);
  static bool isApart(const Worker &Host, TimePoint Now);
  static bool hasWaitedToRunAlone(const StepState &State, TimePoint Now);
  static Candidate *chooseHost(const Round &Current,
                               std::vector<Candidate> &Hosts,
                               const TaskState &Task, bool Alone,
                               bool MustBeApart);
  int place(Round &Current, Job &CurrentJob, int Step,
            std::vector<Candidate> &Hosts, int Wanted, std::int64_t GangRun);
  void startOn(Round &Current, Job &CurrentJob, int Step, int Index,
               const Candidate &Option, std::int64_t Run);
  void requestAdvice(Round &Current, Job &CurrentJob, int Step,
                     std::vector<std::string> WorkerIds);
  double approvalRate(const std::string &Queue) const;
  bool mayRequestAdvice(Round &Current, const Queue &JobQueue,
                        const StepState &State);
  bool mustYieldCall(const StepState &State, TimePoint Now) const;
  void requestGangAdvice(Round &Current, Job &CurrentJob, int Step,
                         const std::vector<Candidate> &Approved,
                         const std::vector<Candidate> &Unadvised);
  void claimFreeResources(Round &Current, Job &CurrentJob, int Step,
                          const std::vector<Candidate> &Approved);
  bool revokeLastClaims(Round &Current, const WaitRank &First);
  std::int64_t nextRun(std::int64_t Last) const;

  const std::int64_t Term;
  const SchedulerOptions Options;
  std::map<std::string, Queue> Queues;
  std::map<std::string, ClientAccount> Accounts;
  /// Names of those that the last policy contains.
  std::set<std::string> PolicyQueues;
  std::set<std::string> PolicyAccounts;
  std::map<std::string, Upstream> Upstreams;
  std::map<std::string, double> ApprovalRate; ///< Learned, by queue.
  /// Run time as a multiple of the estimate; learned, by queue.
  std::map<std::string, double> EstimateRatio;
  std::unordered_map<std::string, std::unique_ptr<Job>> Jobs;
  MemoryBudget Memory;
  std::map<std::string, Worker> Workers;
  std::set<std::string> EvacuatedZones;
  bool StartsHeld = false;
  std::map<std::string, Resources> Running; ///< By client account.
  UsageHistory Usage;
  std::function<bool(const std::string &)> Serves; ///< Empty: all accounts.
  std::map<std::string, int> PendingJobs;          ///< By queue.
  std::size_t WithdrawnJobs = 0;
  /// Estimated work of all tasks that are ready or blocked, by priority, in
  /// thousandths of a core times milliseconds.
  std::map<int, double> WaitingWork;
  /// Maximum of each resource over all workers in the last round.
  Resources LargestCapacity;
  /// Capacity of all usable workers in the last round.
  std::int64_t UsableCpuMillis = 0;
  std::int64_t FreeCpuMillis = 0;
  int UsableWorkers = 0;
  std::map<WaitRank, StepRef> Waiting;
  std::map<std::string, StepRef> Claimants; ///< Gangs with claims, by step.
  /// Of the steps past their firm deadline that may make no slow call for
  /// advice, the one that has waited longest.
  std::optional<RefusedCall> Refused;
  /// First step that the next round considers after the front of the order.
  WaitRank ResumeAt;
  std::map<StopCommand, StopProgress> RunsToStop;
  std::vector<LostRun> LostRuns;       ///< Since the last takeLostRuns().
  std::vector<GivenUpEnd> GivenUpEnds; ///< Since the last takeGivenUpEnds().
  /// When workers crashed, within CrashHistory::ChanceWindow.
  std::map<WorkerIncarnation, TimePoint> CrashedAt;
  /// Names of the tasks on workers whose lease has expired, until it is known
  /// whether the worker still exists.
  std::map<WorkerIncarnation, std::set<std::string>> SilentWorkers;
  /// Tasks with runs that were confirmed since the last call of
  /// markConfirmationsChanged(), by the time of their placement.
  std::set<std::pair<TimePoint, std::string>> NewlyConfirmed;
  std::set<std::string> Changed;
  std::uint64_t LastSequence = 0;
  std::size_t Active = 0;
  std::size_t MigratedRuns = 0;
};

} // namespace apricotwing::jobs

#endif
