/// \file
/// A member's supervision session with one worker.
#ifndef APRICOTWING_CELL_WORKERSESSION_H
#define APRICOTWING_CELL_WORKERSESSION_H

#include "cell/callbackguard.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "cell/timing.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::cell {

/// Renews the lease of one worker process by heartbeats, reads its lists of
/// runs and executes orders. Determines the outcome of a start order without a
/// response: the worker rejects it after its deadline, so a list read after the
/// deadline shows whether it was executed. Owned by a Member and used on its
/// thread only.
class WorkerSession {
public:
  /// Callbacks to the owner of the session.
  struct Callbacks {
    std::function<void(WorkerReport)> Report;
    std::function<void(RefusedStart)> Refuse;
    /// Whether the lease may be extended now.
    std::function<bool()> MayExtend;
  };

  WorkerSession(WorkerClient &Client, const Clock &Time, const Timing &Times,
                EventLog &Log, const Assignment &Assigned, Callbacks Owner);

  /// Performs all work that is due. Must be called frequently.
  void pump();

  /// Sends a start order, or reports it as refused, for example if the run is
  /// being stopped.
  void start(const jobs::StartCommand &Order);

  /// Sends a stop order unless it is under way, and repeats it until the worker
  /// responds.
  void stop(const jobs::StopCommand &Order);

  /// Allows extensions of a frozen lease again.
  void releaseLease();

  /// Notes that the ended runs up to number \p UpTo are stored.
  void acknowledge(std::int64_t UpTo);

  /// Starts that the process has confirmed since the last call.
  std::vector<ConfirmedStart> takeConfirmedStarts();

  /// The worker process that this session supervises.
  const jobs::WorkerIncarnation &incarnation() const {
    return Worker.Incarnation;
  }

  /// Fencing token of the session.
  std::int64_t token() const { return Worker.Token; }

  /// True if the worker responded to the last heartbeat.
  bool isReachable() const { return Reachable; }

private:
  /// A start order whose outcome is not known yet.
  struct PendingStart {
    jobs::StartCommand Order;
    std::int64_t DeadlineMs = 0; ///< On the worker's clock.
    int Sends = 0;
    bool InFlight = false;
  };
  using RunKey = std::pair<std::string, std::int64_t>;

  /// Sends a heartbeat; if \p IsPlain, without deadline, acknowledgement and
  /// wait.
  void sendHeartbeat(bool IsPlain = false);
  /// \p StopsAnswered tells whether no stop was pending when it was sent.
  void onHeartbeat(const HeartbeatResult &Result, bool Extended,
                   bool StopsAnswered);
  void processRunLists(const HeartbeatResult &Result);
  void expectListed(const HeartbeatResult &Result);
  const jobs::ActiveRun *unexpectedRun(const HeartbeatResult &Result) const;
  void resolvePendingStarts(const HeartbeatResult &Result);
  std::vector<jobs::EndedRun> takeUnlistedEnds();
  void markUnreachable(WorkerOutcome Outcome);
  void freezeLeaseIfDue(TimePoint Now);
  void forgetOldStarts();
  void stopFormerStarts();
  void stopOnNextProcess(const RunKey &Key);
  void reportFormerRunsIfDue(TimePoint Now);
  void onRestart(const HeartbeatResult &Result, bool StopsAnswered);
  void send(const RunKey &Key);
  void onStartAnswer(const RunKey &Key, const WorkerAnswer &Answer);
  void confirm(const RunKey &Key);
  void reportRefused(const RunKey &Key, jobs::StartRefusal Reason);
  void sendStop(const RunKey &Key);
  void onStopAnswer(const RunKey &Key, const WorkerAnswer &Answer,
                    TimePoint SentAt, std::int64_t SentTo);
  /// Ends the session if \p Outcome is Fenced; returns true in that case.
  bool endIfFenced(WorkerOutcome Outcome);
  void end(WorkerEvent Event, std::string_view LogEvent,
           std::vector<jobs::EndedRun> EndedRuns = {});
  void report(WorkerEvent Event, std::vector<jobs::EndedRun> EndedRuns = {});
  void updateClock(std::int64_t ClockMs);
  TimePoint longestLeaseFrom(TimePoint Start) const;
  void assumeFormerCalls();
  std::int64_t estimatedClockMs() const;
  bool isOwnClock(const WorkerAnswer &Answer) const;
  void checkClock(const RunKey &Key, const WorkerAnswer &Answer,
                  TimePoint SentAt);
  bool mayExtend() const { return !LeaseFrozen && Owner.MayExtend(); }
  TimePoint leaseEnd() const;
  jobs::LeaseBasis leaseBasis() const;
  /// Time since \p At in ms; -1 if it is empty.
  std::int64_t ageMsOf(const std::optional<TimePoint> &At) const;
  void reportExpiryIfDue(TimePoint Now);
  void logLeaseEnd(std::string_view LogEvent) const;

  WorkerClient &Client;
  const Clock &Time;
  const Timing &Times;
  EventLog &Log;
  const WorkerAddress Worker;
  const Callbacks Owner;
  /// Latest end of leases that earlier sessions granted, and that calls to a
  /// former process of the worker may have set.
  TimePoint AssumedLeaseEnd;
  const bool FirstContact; ///< No earlier session had an answer.

  std::optional<TimePoint> FirstAnswerAt;
  std::optional<TimePoint> LastAnswerAt;
  /// When the last call that may extend the lease was sent.
  std::optional<TimePoint> LastGrantAt;
  int UnansweredCalls = 0;           ///< Since the last lists.
  TimePoint HeartbeatSentAt;         ///< Of the last heartbeat.
  std::int64_t SentHeartbeats = 0;   ///< Number of all heartbeats.
  std::optional<TimePoint> ListedAt; ///< When its last lists were asked for.
  std::int64_t SentCursor = 0;       ///< Acknowledged by the last heartbeat.
  bool HasClock = false;
  std::int64_t LastClockMs = 0;
  TimePoint LastClockAt;
  Duration LastClockTransit{0}; ///< Longest possible age of that answer.
  /// Latest deadline that was ever sent, on the worker's clock.
  std::int64_t MaxDeadlineMs = 0;

  const bool LeaderReleases; ///< The leader releases frozen leases.
  /// The leader may have stored when the lease ends, so nothing may extend it.
  bool LeaseFrozen;
  /// When the lease is frozen if the worker does not answer until then.
  TimePoint FreezeAt;

  bool HeartbeatInFlight = false;
  TimePoint NextHeartbeat;
  bool Synced = false;
  bool Reachable = true;
  /// The last heartbeat was refused a connection or answered by another worker.
  bool ProcessAbsent = false;
  /// An order was answered with the clock of another process, and no heartbeat
  /// since.
  bool ProcessDoubted = false;
  bool ExpiryReported = false;
  /// The runs of UnlistedStarts were left out of the reported expiry.
  bool ExpiryIsPartial = false;
  bool Ended = false; ///< Fenced, or the worker process has ended.
  std::int64_t LastReportedEnd = 0; ///< Highest number of a reported ended run.
  /// Highest number of an ended run that the worker may drop.
  std::int64_t AckedEnd = 0;
  std::map<RunKey, PendingStart> PendingStarts;
  /// The runs that the lists may contain.
  std::set<RunKey> ExpectedRuns;
  /// Runs that the process has confirmed and whose end was not listed, with the
  /// number of the last heartbeat that was sent before the confirmation.
  std::map<RunKey, std::int64_t> ConfirmedRuns;
  /// Runs whose start was sent and that this process has not confirmed yet, and
  /// when it was sent last, also by earlier sessions. If the worker restarts,
  /// its next process may have carried out the order.
  std::map<RunKey, TimePoint> UnlistedStarts;
  std::vector<ConfirmedStart> NewlyConfirmed; ///< Not taken yet.
  /// Runs of which a start order got no answer, and when it was sent. The
  /// worker may delay it, and its next process carry it out, whatever became of
  /// others.
  std::map<RunKey, TimePoint> UnansweredStarts;
  /// Set once the worker has named a later start: time until which its next
  /// process may still run what this session has started.
  std::optional<TimePoint> RestartResolvedBy;
  /// When all runs but those of NextProcessRuns are reported as over, if that
  /// time is not known before.
  std::optional<TimePoint> FormerRunsDue;
  /// Runs that the next process has, or may have because of a late start.
  std::set<RunKey> NextProcessRuns;
  /// Start time of the next process; 0: not known.
  std::int64_t NextStartUnixMs = 0;
  std::map<RunKey, jobs::StopCommand> PendingStops;
  std::set<RunKey> StopsInFlight;
  TimePoint NextStop;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
