/// \file
/// Simulation of workers, a store and an owner around one ShardScheduler. It
/// records what actually ran on each worker.
#ifndef APRICOTWING_TESTS_CORE_SHARDWORLD_H
#define APRICOTWING_TESTS_CORE_SHARDWORLD_H

#include "core/shardscheduler.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricotwing {

/// When the owner of the shard crashes.
enum class CrashPoint { Idle, BeforeCommit, AfterCommit, AfterSends };

/// Test oracle that checks the journal event by event, independently of the
/// scheduler.
class JournalOracle {
public:
  /// Checks the next event. Throws std::logic_error if it violates a rule of
  /// the journal.
  void check(const JournalEvent &Event);
  bool isActive(const AttemptId &Id) const;
  /// True if a stop of this active attempt was recorded.
  bool isStopping(const AttemptId &Id) const;
  /// Tasks of a run that have not reached a final state.
  std::uint32_t openTasks(const RunId &Run) const;
  /// True if some unfinished tasks of a run are running and others are not.
  bool isPartlyRunning(const RunId &Run) const;

  std::map<RunId, RunRecord> Runs;
  std::map<RunId, RunState> Final;
  std::set<RunId> Retired;

private:
  struct Task {
    std::uint32_t Attempt = 0;
    bool Active = false;
    bool Stopping = false;
    bool Done = false;
  };
  std::map<TaskId, Task> Tasks;
};

/// The simulation, in virtual time. Every violation of an invariant throws
/// std::logic_error.
class ShardWorld {
public:
  explicit ShardWorld(std::uint32_t Seed, SchedulerOptions Options = {});

  /// Submits a run whose tasks actually run for \p Length; returns its id.
  RunId submit(const std::string &Team, const RunSpec &Spec, Duration Length);
  void cancelRun(const RunId &Run);
  void advance(Duration Span);
  void crash(CrashPoint Point);
  void setLimit(const std::string &Team, const Resources &Limit);
  void setReachable(std::size_t Worker, bool Value);
  void loseZone(const std::string &Zone);
  void setFaulty(std::size_t Worker, bool Value);
  /// Restarts a worker, which loses its tasks and its state. With \p IsNoticed,
  /// the owner detects this by the worker's clock; an owner that takes the
  /// shard over at that time does not.
  void restartWorker(std::size_t Worker, bool IsNoticed);
  void setDrained(std::size_t Worker, bool Value);
  void refuseStarts(std::uint32_t Count) { Refusals = Count; }
  void setNetwork(std::uint32_t Loss, std::uint32_t Duplicates);
  /// Makes the outcome of the next commit unknown to the owner for \p Span. It
  /// makes no decisions meanwhile, but goes on to renew leases.
  void hideNextOutcome(Duration Span) { HiddenOutcome = Span; }

  /// Makes all workers reachable and the network reliable. Throws if an attempt
  /// runs on for longer than StopBound although its run was cancelled or has
  /// ended, or although its stop was recorded.
  void checkStops();

  /// Ends all faults and checks the stops. Then cancels all services and all
  /// runs that can never be placed, shortens long tasks, and advances until all
  /// runs are retired. Throws if a run is lost or ends in the wrong state.
  void settle();

  std::size_t submitted() const { return Order.size(); }
  const RunId &runAt(std::size_t Position) const { return Order[Position]; }
  ShardScheduler &scheduler() { return *Owner; }
  const JournalOracle &journal() const { return Oracle; }
  TimePoint now() const { return Now; }

private:
  struct Attempt {
    Resources Size;
    TimePoint EndsAt;
    TaskState State = TaskState::Running;
  };
  struct Worker {
    WorkerView View;
    bool Reachable = true;
    bool IsFaulty = false;
    Epoch HighestEpoch = 0;
    TimePoint Deadline;
    std::map<AttemptId, Attempt> Attempts;
    std::set<AttemptId> Forgotten;
    // State that the owner keeps about the worker.
    TimePoint NextPoll;
    TimePoint OwnerDeadline;
    bool ExpiryReported = false;
  };
  struct Message {
    TimePoint Due;
    Epoch Sender = 0;
    std::uint64_t Send = 0; ///< Identifies the send; copies share it.
    bool IsStart = false;
    WorkerId To;
    AttemptId Id;
    Resources Size;
  };
  struct Submission {
    RunRecord Record;
    Duration Length;
    bool Cancelled = false;
    bool SawFailure = false;
  };

  void recover();
  void step(Duration Span);
  void progressWorkers();
  void deliver();
  void deliverTo(Worker &To, const Message &Next);
  void poll();
  Decisions decide();
  void commit(const Decisions &Made);
  void saveSnapshotIfDue(const Decisions &Made);
  void finishCommit(const Decisions &Made);
  void send(const Decisions &Made);
  void enqueue(Message Next);
  void checkDecisions(const Decisions &Made) const;
  void checkActualState() const;
  std::set<AttemptId> running() const;
  void shortenTasks();
  void configure();
  bool canEverRun(const RunSpec &Spec) const;
  bool isOver(const RunId &Run) const { return Oracle.Retired.contains(Run); }

  std::mt19937 Random;
  SchedulerOptions Options;
  TimePoint Now{Duration{1'000'000}};
  std::unique_ptr<ShardScheduler> Owner;
  Epoch OwnerEpoch = 0;
  std::map<WorkerId, Worker> Workers;
  std::vector<WorkerId> WorkerIds;
  std::deque<Message> Network;
  std::map<RunId, Submission> Submissions;
  std::vector<RunId> Order;
  std::map<RunId, RunRecord> Inbox;
  std::set<RunId> CancelRows;
  std::map<TeamName, Resources> Limits;
  std::map<TeamName, std::deque<std::pair<TimePoint, Resources>>> OldLimits;
  ShardSnapshot LastSnapshot;
  std::vector<JournalEvent> Journal;
  std::uint64_t Commits = 0;
  Duration HiddenOutcome{0};
  /// Decisions whose commit has taken effect, which the owner does not know.
  std::optional<Decisions> Unresolved;
  TimePoint ResolvedAt;
  JournalOracle Oracle;
  std::map<AttemptId, TaskState>
      ActualOutcomes; ///< How attempts actually ended.
  std::uint64_t Sends = 0;
  std::uint32_t Refusals = 0;
  std::uint32_t LossPercent = 0;
  std::uint32_t DuplicatePercent = 0;
};

/// True if both snapshots contain the same durable state.
bool isSame(const ShardSnapshot &Left, const ShardSnapshot &Right);

} // namespace apricotwing

#endif
