/// \file
/// Executors of one upstream, as known to one instance.
#ifndef APRICOTWING_CORE_EXECUTORPOOL_H
#define APRICOTWING_CORE_EXECUTORPOOL_H

#include "core/platform.h"
#include "core/recentpeak.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace apricotwing {

/// Selects executors within the slots granted to this instance and avoids those
/// that are leaving or keep failing (outlier ejection). An executor that fails
/// 3 times in a row is ejected for 1 s, with exponential backoff up to 60 s,
/// and is probed with one request afterwards. At most half of the executors are
/// ejected, because failures of more than that point to another cause. Owned by
/// a RequestRouter. Not thread-safe; times passed in must not decrease.
class ExecutorPool {
public:
  using Amounts = std::map<std::string, std::int64_t>;
  /// Identifies an executor while slots of it are taken. Never reused.
  using Serial = std::uint64_t;

  /// An executor of which take() has taken a slot.
  struct Choice {
    Serial Executor = 0;
    std::string Id;
    std::string Address;
  };

  /// \p Instance is hashed so that different instances prefer different
  /// executors. Executors in \p Zone are preferred.
  ExecutorPool(InstanceId Instance, std::string Zone);

  /// Sets the configured maximum of concurrently taken slots per executor.
  void setCapacity(std::int64_t Slots);

  /// Replaces the list of executors. Precondition: all belong to this upstream.
  void setList(const std::vector<const ListedExecutor *> &List, TimePoint Now);

  /// Replaces the slots that are granted to this instance.
  void setGrants(const Amounts &ByExecutor);

  /// Ends ejections that have expired at \p Now.
  void advance(TimePoint Now);

  /// Takes a slot of the executor with the most free slots; ties are broken by
  /// lower recent latency, then by being in this instance's zone. Skips the
  /// executors in \p Tried. Returns no value if no slot is free.
  std::optional<Choice> take(const std::vector<Serial> &Tried, TimePoint Now);

  /// Returns a taken slot.
  void release(Serial Executor, TimePoint Now);

  /// Records a response of the executor after \p Latency.
  void noteSuccess(Serial Executor, Duration Latency, TimePoint Now);

  /// Records that the executor was unreachable, refused a request, or did not
  /// respond.
  void noteFailure(Serial Executor, TimePoint Now);

  /// Records that the executor reported that it is leaving.
  void noteLeaving(Serial Executor, TimePoint Now);

  /// Returns true if new requests may be sent to this executor.
  bool isLive(Serial Executor) const;

  /// Returns true if there is a live executor that is not in \p Tried.
  bool hasUntried(const std::vector<Serial> &Tried) const;

  /// Returns true if a slot is free.
  bool hasFreeSlot() const { return !Free.empty(); }

  /// Number of granted slots on executors that currently accept requests.
  std::int64_t usableSlots() const { return Usable; }

  /// Number of taken slots.
  std::int64_t takenSlots() const { return Taken; }

  /// Mean latency of recent responses; zero before the first one.
  Duration meanLatency() const { return Duration(std::int64_t(MeanLatency)); }

  /// Number of ejections so far.
  std::uint64_t ejections() const { return Ejections; }

  /// Time at which advance() must be called next; empty if there is none.
  std::optional<TimePoint> nextWakeup() const;

  /// Slots that this instance should hold, by executor, while \p Queued
  /// requests wait; see RequestRouter::desiredSlots().
  Amounts desiredGrants(std::size_t Queued, TimePoint Now) const;

  /// Taken slots by executor; executors without any are omitted.
  Amounts taken() const;

  /// Granted slots by executor; executors without any are omitted.
  Amounts granted() const;

private:
  /// Sort key of executors with a free slot; the lowest is selected next.
  using Rank = std::tuple<std::int64_t, int, bool, Serial>;

  struct Executor {
    Serial Number = 0;
    std::string Id;
    std::string Address;
    bool SameZone = false;
    bool ListedLive = false;
    std::optional<TimePoint> LeavingSince;
    std::int64_t Granted = 0;
    std::int64_t Taken = 0;
    std::int64_t Usable = 0; ///< Its contribution to the pool's usable slots.
    double Latency = 0;      ///< Recent mean in milliseconds; 0: unknown.
    int Failures = 0;        ///< Consecutive failures.
    int Backoff = 0;         ///< Consecutive ejections.
    bool Probing = false; ///< From the end of an ejection to the next success.
    std::optional<TimePoint> EjectedUntil;
    std::optional<Rank> Ranked; ///< Its key in Free.
    RecentPeak Peak;
  };

  Executor &ensure(const std::string &Id);
  Executor *find(Serial Number);
  const Executor *find(Serial Number) const;
  void refresh(Executor &Exec);
  void updateListed(const ListedExecutor &Entry, TimePoint Now);
  void eject(Executor &Exec, TimePoint Now);
  bool mayEject() const;
  void forgetAbsent();
  std::vector<const Executor *> byPreference(const Amounts &Held,
                                             std::uint64_t Seed) const;
  static bool isListedLive(const Executor &Exec);
  static int latencyClass(double Milliseconds);

  const InstanceId Instance;
  const std::string Zone;
  std::int64_t Capacity = 0;
  std::int64_t Usable = 0;
  std::int64_t Taken = 0;
  double MeanLatency = 0;
  std::uint64_t Ejections = 0;
  Serial LastSerial = 0;
  RecentPeak Peak;
  std::unordered_map<Serial, Executor> Executors;
  std::map<std::string, Serial> ById;
  std::set<Rank> Free;
  std::set<std::pair<TimePoint, Serial>> Ejected;
};

} // namespace apricotwing

#endif
