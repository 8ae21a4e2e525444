/// \file
/// A fleet of workers, a store and an owner around one ShardScheduler, with
/// the truth about what ran where.
#ifndef APRICOTWING_TESTS_CORE_SHARDWORLD_H
#define APRICOTWING_TESTS_CORE_SHARDWORLD_H

#include "core/shardscheduler.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricotwing {

/// Where the owner of the shard dies.
enum class CrashPoint { Idle, BeforeCommit, AfterCommit, AfterSends };

/// Checks the journal on its own, event by event.
class JournalOracle {
public:
  /// Throws std::logic_error if the event breaks a rule of the journal.
  void take(const JournalEvent &Event);
  bool isActive(const AttemptId &Id) const;
  /// Tasks of a run that have not reached a final state.
  std::uint32_t openTasks(const RunId &Run) const;
  /// True if some open tasks run on while others do not.
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

/// Virtual world; every broken promise throws std::logic_error.
class ShardWorld {
public:
  explicit ShardWorld(std::uint32_t Seed, SchedulerOptions Options = {});

  /// Submits a run whose tasks really take \p Length; returns its id.
  RunId submit(const std::string &Team, const RunSpec &Spec, Duration Length);
  void cancelRun(const RunId &Run);
  void advance(Duration Span);
  void crash(CrashPoint Point);
  void setLimit(const std::string &Team, const Resources &Limit);
  void setReachable(std::size_t Worker, bool Value);
  void loseZone(const std::string &Zone);
  void setBad(std::size_t Worker, bool Value);
  /// The worker loses all tasks and its memory. The owner notices by the
  /// worker's clock, unless it takes the shard over just then.
  void restartWorker(std::size_t Worker, bool IsNoticed);
  void setDrained(std::size_t Worker, bool Value);
  void refuseStarts(std::uint32_t Count) { Refusals = Count; }
  void setNetwork(std::uint32_t Loss, std::uint32_t Duplicates);

  /// Ends all faults, cancels the services and what fits nowhere, and runs
  /// until nothing is left; throws if a run is lost or ends in the wrong state.
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
    bool Bad = false;
    Epoch Seen = 0;
    TimePoint Deadline;
    std::map<AttemptId, Attempt> Attempts;
    std::set<AttemptId> Forgotten;
    // The owner's view.
    TimePoint NextPoll;
    TimePoint OwnerDeadline;
    bool ToldExpired = false;
  };
  struct Message {
    TimePoint Due;
    Epoch Sender = 0;
    std::uint64_t Send = 0; ///< The same for copies that the network made.
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
  void send(const Decisions &Made);
  void enqueue(Message Next);
  void checkDecisions(const Decisions &Made) const;
  void checkTruth() const;
  void configure();
  bool canEverRun(const RunSpec &Spec) const;
  bool isOver(const RunId &Run) const { return Oracle.Retired.contains(Run); }

  std::mt19937 Chance;
  SchedulerOptions Options;
  TimePoint Now{Duration{1'000'000}};
  std::unique_ptr<ShardScheduler> Owner;
  Epoch OwnerEpoch = 0;
  std::map<WorkerId, Worker> Workers;
  std::vector<WorkerId> Names;
  std::deque<Message> Wire;
  std::map<RunId, Submission> Submissions;
  std::vector<RunId> Order;
  std::map<RunId, RunRecord> Inbox;
  std::set<RunId> CancelRows;
  std::map<TeamName, Resources> Limits;
  std::map<TeamName, std::deque<std::pair<TimePoint, Resources>>> OldLimits;
  ShardSnapshot Saved;
  std::vector<JournalEvent> Journal;
  std::uint64_t Commits = 0;
  JournalOracle Oracle;
  std::map<AttemptId, TaskState> Truth; ///< How attempts really ended.
  std::uint64_t Sends = 0;
  std::uint32_t Refusals = 0;
  std::uint32_t LossPercent = 0;
  std::uint32_t DuplicatePercent = 0;
};

/// True if both hold the same durable state.
bool isSame(const ShardSnapshot &Left, const ShardSnapshot &Right);

} // namespace apricotwing

#endif
