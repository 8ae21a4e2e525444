/// \file
/// A member's care for one worker.
#ifndef APRICOTWING_CELL_WORKERSESSION_H
#define APRICOTWING_CELL_WORKERSESSION_H

#include "cell/lifetime.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "cell/timing.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Keeps the lease of one life of a worker, reads its lists and carries out
/// orders. Establishes what an order without an answer has done: a start is
/// refused by the worker after its deadline, so a list read later tells. Owned
/// by a Member and used on its thread only.
class WorkerSession {
public:
  /// What a session needs of its owner.
  struct Owner {
    std::function<void(WorkerReport)> Report;
    std::function<void(RefusedStart)> Refuse;
    /// Whether the lease may be extended now.
    std::function<bool()> MayExtend;
  };

  WorkerSession(WorkerClient &Client, const Clock &Time, const Timing &Times,
                EventLog &Log, const Assignment &Given, Owner Holder);

  /// Does what is due. To be called often.
  void pump();

  /// Starts a run, or reports that it will not.
  void start(const jobs::StartCommand &Order);

  /// Stops a run; repeated until the worker has answered.
  void stop(const jobs::StopCommand &Order);

  /// The ends up to \p UpTo are stored.
  void acknowledge(std::int64_t UpTo);

  /// The life that this session is about.
  const jobs::WorkerIncarnation &life() const { return To.Life; }

  /// Fencing token of the session.
  std::int64_t token() const { return To.Token; }

  /// True if the worker answered last time.
  bool isReachable() const { return Reachable; }

private:
  /// A start that was sent and whose effect is not known yet.
  struct Attempt {
    jobs::StartCommand Order;
    std::int64_t DeadlineMs = 0; ///< On the worker's clock.
    int Tries = 0;
    bool InFlight = false;
  };
  using RunKey = std::pair<std::string, std::int64_t>;

  void heartbeat();
  void held(const HeartbeatResult &Result, bool Extended);
  void listsRead(const HeartbeatResult &Result);
  void settleAttempts(const HeartbeatResult &Result);
  void lost(WorkerOutcome Why);
  void send(const RunKey &Key);
  void started(const RunKey &Key, const WorkerAnswer &Answer);
  void refuse(const RunKey &Key, jobs::StartRefusal Reason);
  void sendStop(const RunKey &Key);
  /// Ends the session if \p Outcome means so; true if it did.
  bool endsWith(WorkerOutcome Outcome);
  void end(WorkerEvent Event);
  void report(WorkerEvent Event);
  void noteClock(std::int64_t ClockMs);
  std::int64_t clockEstimate() const;
  TimePoint leaseEnd() const;

  WorkerClient &Client;
  const Clock &Time;
  const Timing &Times;
  EventLog &Log;
  const WorkerAddress To;
  const Owner Holder;
  const TimePoint AssumedLeaseEnd; ///< Of leases given by earlier holders.

  bool HasClock = false;
  std::int64_t LastClockMs = 0;
  TimePoint LastClockAt;
  std::int64_t MaxDeadlineMs = 0; ///< Latest lease end that was ever sent.

  bool HoldInFlight = false;
  TimePoint NextHold;
  bool Synced = false;
  bool Reachable = true;
  bool LapseReported = false;
  bool Ended = false;      ///< Fenced, or the worker's life is over.
  int RefusedInRow = 0;    ///< Calls that found no process.
  std::int64_t Listed = 0; ///< Highest end reported.
  std::int64_t Cursor = 0; ///< Highest end that may be forgotten.
  std::map<RunKey, Attempt> Attempts;
  std::map<RunKey, jobs::StopCommand> Stops;
  std::map<RunKey, bool> StopsInFlight;
  TimePoint NextStop;
  Lifetime Life;
};

} // namespace apricotwing::cell

#endif
