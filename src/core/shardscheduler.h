/// \file
/// The scheduling decisions of one shard.
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

/// Bounds and delays of a ShardScheduler.
struct SchedulerOptions {
  std::uint32_t MaxAdmissionsPerTick = 2000;
  std::uint32_t MaxCancellationsPerTick = 2000;
  std::uint32_t MaxStartsPerTick = 1000;
  std::uint32_t MaxStopsPerTick = 2000;
  std::uint32_t MaxSearchesPerTick = 4000; ///< Searches for a worker.
  std::uint32_t BackfillDepth = 64;        ///< Runs looked at per team.
  std::uint32_t MaxPreemptionsPerTick = 16;
  Duration ReservationDelay{60'000}; ///< Wait before a gang gets workers.
  Duration ReservationRetry{1'000};  ///< Between attempts to reserve.
  Duration ClaimTimeout{30'000};     ///< Life of room freed by preemption.
  Duration RetryDelay{1'000};        ///< First delay after a failure; doubles.
  Duration MaxRetryDelay{300'000};
  Duration EarlyCancelKeep{60'000}; ///< Wait for the run of a cancellation.
};

/// A start to send once the tick is committed.
struct StartCommand {
  WorkerId Worker;
  AttemptId Id;
  Resources Reserved;
  std::string Payload;
  bool FromCheckpoint = false; ///< A checkpoint of the task may exist.
};

/// A stop to send once the tick is committed.
struct StopCommand {
  WorkerId Worker;
  AttemptId Id;
  StopMode Mode = StopMode::Stop;
};

/// How long one task waited from being ready to its start.
struct WaitSample {
  RunKind Kind = RunKind::Batch;
  Priority Urgency = Priority::Normal;
  Duration Waited{0};
};

/// What one tick decided. The changes are already applied in memory.
struct Decisions {
  std::vector<JournalEvent> Events;
  std::vector<StartCommand> Starts;
  std::vector<StopCommand> Stops;
  /// Ended attempts that a worker may forget, by worker.
  std::map<WorkerId, std::vector<AttemptId>> Acknowledgements;
  /// Runs whose state or reason changed, as their rows must now read.
  std::vector<RunRecord> ChangedRuns;
  /// Runs whose inbox row the commit of this tick may delete.
  std::vector<RunId> HandledAdmissions;
  /// Runs whose cancel row the commit of this tick may delete.
  std::vector<RunId> HandledCancellations;
  std::vector<WaitSample> Waits; ///< One per start.

  /// True if there is nothing to commit. There may still be repeated starts,
  /// stops and acknowledgements to send.
  bool needsCommit() const {
    return !Events.empty() || !ChangedRuns.empty() ||
           !HandledAdmissions.empty() || !HandledCancellations.empty();
  }
};

/// Position of a team relative to its share of the shard.
struct TeamStanding {
  Resources Allocated;
  Resources Pending;         ///< Asked for by tasks that wait.
  double Fraction = 0;       ///< Dominant fraction of the shard in use.
  double Share = 0;          ///< Fraction due among teams with work.
  double Distance = 0;       ///< Shortfall from the share, 0..1.
  std::uint64_t Waiting = 0; ///< Tasks.
  std::uint64_t Active = 0;  ///< Tasks starting, running or stopping.
};

/// Waiting times of the latest starts of one class.
struct WaitSummary {
  std::uint64_t Count = 0; ///< All starts so far.
  Duration Median{0};
  Duration Percentile99{0};
};

struct ShardStats {
  std::uint64_t WaitingTasks = 0;
  std::uint64_t ActiveTasks = 0;
  std::uint64_t Runs = 0;
  std::uint64_t UnschedulableRuns = 0;
  double Packing = 0; ///< Dominant fraction of usable capacity in use.
  std::map<TeamName, TeamStanding> Teams;
  std::map<std::string, WaitSummary> Waits; ///< "urgent" or a kind's name.
  std::vector<WorkerId> Quarantined;
  RunId ReservedFor; ///< Run that workers are being freed for; may be empty.
};

/// Queues, placement, preemption and recovery of one shard. Owned by the
/// thread that owns the shard; not thread-safe. It does no input or output:
/// the owner feeds it reports and the time and carries out its Decisions.
class ShardScheduler {
public:
  /// \p Options bounds the work of each tick.
  explicit ShardScheduler(ShardId Shard, SchedulerOptions Options = {});
  ~ShardScheduler();
  ShardScheduler(const ShardScheduler &) = delete;
  ShardScheduler &operator=(const ShardScheduler &) = delete;

  /// Takes over the durable state of \p Snapshot. Call it at most once, before
  /// anything else.
  void restore(const ShardSnapshot &Snapshot, TimePoint Now);

  /// Replays one committed event. Only before the first tick. Throws
  /// Error(Internal) if the event does not follow from the state.
  void apply(const JournalEvent &Event, TimePoint Now);

  /// The durable state after journal entry \p Sequence. The same whether the
  /// state was reached live or by replay.
  ShardSnapshot snapshot(std::uint64_t Sequence) const;

  /// Replaces the list of this shard's workers. A worker that is missing gets
  /// no start; its attempts stay until a report or handleWorkerExpired().
  void setWorkers(const std::vector<WorkerView> &Workers);

  /// Takes shares and limits of all teams.
  void setTeams(const Config &Document);

  /// What each team may have running in this shard; a missing team: nothing.
  void setGrants(const std::map<TeamName, Resources> &Grants);

  /// What each team with work could use now, at most its limit.
  std::map<TeamName, Resources> demand() const;

  /// What each team has starting, running or stopping.
  std::map<TeamName, Resources> allocated() const;

  /// Queues a run for admission by a later tick. A run that is known, was
  /// retired lately, or is final is only reported as handled.
  void admit(const RunRecord &Run);

  /// Queues a cancellation for a later tick. Repeating it has no effect. Read
  /// the inbox before the cancellations, so that a run comes first.
  void cancel(const RunId &Run);

  /// Takes a worker's list of all attempts of this shard, ended ones that are
  /// not acknowledged included. Reports of one worker must come in order. The
  /// first report makes the worker eligible for starts.
  void handleReport(const WorkerId &Worker,
                    const std::vector<TaskReport> &Reports, TimePoint Now);

  /// The worker certainly did not start this attempt. The worker gets no start
  /// until its next report.
  void handleStartRefused(const AttemptId &Id, TimePoint Now);

  /// The worker does not answer; it gets no start until its next report.
  void handleWorkerUnreachable(const WorkerId &Worker);

  /// The worker's lease ran out with its margin, or the worker lost its
  /// state: all its attempts are over.
  void handleWorkerExpired(const WorkerId &Worker, TimePoint Now);

  /// Decides. Work is bounded by the options.
  Decisions tick(TimePoint Now);

  /// Why a run has waiting tasks; empty if it has none.
  std::string pendingReason(const RunId &Run) const;

  /// The run as it stands; empty if it is unknown or retired.
  std::optional<RunRecord> run(const RunId &Run) const;

  /// Attempts that may be running on a worker.
  std::vector<AttemptId> attemptsOn(const WorkerId &Worker) const;

  /// Workers, listed or not, with attempts that may be running.
  std::vector<WorkerId> workersInUse() const;

  /// Queue lengths, waiting times, packing and distance from share.
  ShardStats stats() const;

  const ShardId &shard() const;

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace apricotwing

#endif
