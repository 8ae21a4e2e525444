/// \file
/// The scheduler of one shard.
#ifndef APRICOTWING_CORE_SHARDSCHEDULER_H
#define APRICOTWING_CORE_SHARDSCHEDULER_H

#include "core/config.h"
#include "core/journal.h"
#include "core/placementindex.h"
#include "core/platform.h"
#include "core/run.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

/// Limits and delays of a ShardScheduler.
struct SchedulerOptions {
  std::uint32_t MaxAdmissionsPerTick = 2000;
  std::uint32_t MaxCancellationsPerTick = 2000;
  std::uint32_t MaxStartsPerTick = 1000;
  std::uint32_t MaxStopsPerTick = 2000;
  std::uint32_t MaxSearchesPerTick = 4000; ///< Searches for a worker.
  std::uint32_t BackfillDepth = 64;        ///< Blocked runs tried per team.
  std::uint32_t MaxPreemptionsPerTick = 16;
  Duration ReservationDelay{
      60'000}; ///< Wait of a run before it gets a reservation.
  Duration ReservationRetry{1'000}; ///< Between attempts to reserve.
  Duration ClaimTimeout{
      30'000};                ///< Validity of a claim on preempted resources.
  Duration RetryDelay{1'000}; ///< Initial delay after a failure; doubles.
  Duration MaxRetryDelay{300'000};
};

/// A start command to send once the tick is committed.
struct StartCommand {
  WorkerId Worker;
  AttemptId Id;
  Resources Reserved;
  std::string Payload;
  bool FromCheckpoint = false; ///< A checkpoint of the task may exist.
};

/// A stop command to send once the tick is committed.
struct StopCommand {
  WorkerId Worker;
  AttemptId Id;
  StopMode Mode = StopMode::Stop;
};

/// Time that one task waited between becoming ready and its start.
struct WaitSample {
  RunKind Kind = RunKind::Batch;
  Priority Urgency = Priority::Normal;
  Duration Waited{0};
};

/// Decisions of one tick. The changes are already applied in memory.
struct Decisions {
  std::vector<JournalEvent> Events;
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  /// Ended attempts that the worker need not report any more, by worker.
  std::map<WorkerId, std::vector<AttemptId>> Acknowledgements;
  /// New rows of the runs whose state or reason changed.
  std::vector<RunRecord> ChangedRuns;
  /// Runs whose inbox row the commit of this tick may delete.
  std::vector<RunId> HandledAdmissions;
  /// Runs whose cancel row the commit of this tick may delete.
  std::vector<RunId> HandledCancellations;
  std::vector<WaitSample> Waits; ///< One per start.

  /// True if there is something to commit. If not, there may still be repeated
  /// starts, stops and acknowledgements to send.
  bool needsCommit() const {
    return !Events.empty() || !ChangedRuns.empty() ||
           !HandledAdmissions.empty() || !HandledCancellations.empty();
  }
};

/// Allocation of a team relative to its share of the shard.
struct TeamUsage {
  Resources Allocated;
  Resources Pending;         ///< Requested by waiting tasks.
  double Fraction = 0;       ///< Dominant fraction of the shard allocated.
  double Share = 0;          ///< Fair share among the teams with work.
  double Distance = 0;       ///< Shortfall from the share, 0..1.
  std::uint64_t Waiting = 0; ///< Number of waiting tasks.
  std::uint64_t Active = 0;  ///< Tasks starting, running or stopping.
};

/// Waiting times of the latest starts in one class of tasks.
struct WaitSummary {
  std::uint64_t Count = 0; ///< Number of all starts so far.
  Duration Median{0};
  Duration Percentile99{0};
};

/// Statistics of one shard.
struct ShardStats {
  std::uint64_t WaitingTasks = 0;
  std::uint64_t ActiveTasks = 0;
  std::uint64_t Runs = 0;
  std::uint64_t UnschedulableRuns = 0;
  double Packing = 0; ///< Dominant fraction of usable capacity in use.
  std::map<TeamName, TeamUsage> Teams;
  /// By "urgent" or the name of a kind of run.
  std::map<std::string, WaitSummary> Waits;
  std::vector<WorkerId> Quarantined;
  RunId ReservedFor; ///< Run that has the reservation; may be empty.
};

/// Schedules the runs of one shard: queues, placement, preemption and recovery.
/// Owned by the thread that owns the shard; not thread-safe. Does no input or
/// output: the owner passes in reports and the time and executes the returned
/// Decisions.
class ShardScheduler {
public:
  /// \p Options limits the work of each tick.
  explicit ShardScheduler(ShardId Shard, SchedulerOptions Options = {});
  ~ShardScheduler();
  ShardScheduler(const ShardScheduler &) = delete;
  ShardScheduler &operator=(const ShardScheduler &) = delete;

  /// Restores the durable state of \p Snapshot. Call it at most once, before
  /// any other method.
  void restore(const ShardSnapshot &Snapshot, TimePoint Now);

  /// Replays one committed event. Allowed only before the first tick or report.
  /// Throws Error(Internal) if the event is inconsistent with the state.
  void apply(const JournalEvent &Event, TimePoint Now);

  /// The durable state after journal entry \p Sequence. It does not depend on
  /// whether the state was reached live or by replay. Throws Error(Internal) if
  /// hasUncommittedEvents(): the snapshot would contain events that are also
  /// replayed after it.
  ShardSnapshot snapshot(std::uint64_t Sequence) const;

  /// True if the state contains events, for example of a report, that the next
  /// tick will return.
  bool hasUncommittedEvents() const;

  /// Replaces the list of this shard's workers. A worker that is missing gets
  /// no starts; its attempts remain until a report or handleWorkerExpired().
  void setWorkers(const std::vector<WorkerView> &Workers);

  /// Sets the shares and limits of all teams.
  void setTeams(const Config &Document);

  /// Sets the resources that each team may use in this shard; a missing team
  /// may use none.
  void setGrants(const std::map<TeamName, Resources> &Grants);

  /// Resources that each team with work could use now, at most its limit.
  std::map<TeamName, Resources> demand() const;

  /// Resources of the tasks of each team that are starting, running or
  /// stopping.
  std::map<TeamName, Resources> allocated() const;

  /// Queues a run for admission by a later tick. A run that is already known,
  /// was retired recently, or is final is only reported as handled.
  void admit(const RunRecord &Run);

  /// Queues a cancellation for a later tick. Repeating it has no effect. The
  /// cancellation of an unknown run is kept until the run is admitted or
  /// discardCancellation() is called; the caller finds out which applies.
  void cancel(const RunId &Run);

  /// Reports the cancellation of a run that has certainly ended, or never
  /// existed, as handled by the next tick.
  void discardCancellation(const RunId &Run);

  /// True if the run is queued for admission, known, or was retired recently.
  bool knows(const RunId &Run) const;

  /// True if the memory of the shard has room for \p Run beside the other runs
  /// of its team. Answers a load of accepted runs with more tasks than the
  /// owner can hold: runs without room stay in the inbox.
  bool hasRoomFor(const RunRecord &Run) const;

  /// Processes a worker's list of all attempts of this shard, including ended
  /// attempts that have not been acknowledged. Reports of one worker must
  /// arrive in order. The first report makes the worker eligible for starts.
  void handleReport(const WorkerId &Worker,
                    const std::vector<TaskReport> &Reports, TimePoint Now);

  /// Records that the worker certainly did not start this attempt on this
  /// command. The worker gets no starts until its next report.
  void handleStartRefused(const AttemptId &Id, TimePoint Now);

  /// Records that the worker does not answer. It gets no starts until its next
  /// report.
  void handleWorkerUnreachable(const WorkerId &Worker);

  /// Records that all attempts on the worker have ended, because its lease and
  /// the safety margin have expired or because the worker lost its state.
  void handleWorkerExpired(const WorkerId &Worker, TimePoint Now);

  /// Makes the decisions of one tick. The work is limited by the options.
  Decisions tick(TimePoint Now);

  /// Why a run has waiting tasks; empty if it has none.
  std::string pendingReason(const RunId &Run) const;

  /// The current state of a run; empty if it is unknown or retired.
  std::optional<RunRecord> run(const RunId &Run) const;

  /// True if the attempt has been started and is neither ended nor being
  /// stopped. A start command must not be sent otherwise.
  bool isStartWanted(const AttemptId &Id) const;

  /// Attempts that may be running on a worker.
  std::vector<AttemptId> attemptsOn(const WorkerId &Worker) const;

  /// Workers with attempts that may be running, including workers that are not
  /// listed.
  std::vector<WorkerId> workersInUse() const;

  /// Queue lengths, waiting times, utilization and shortfalls from the shares.
  ShardStats stats() const;

  const ShardId &shard() const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace apricotwing

#endif
