/// \file
/// The executors of one upstream as one entry instance sees them.
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

/// Chooses executors within the slots that this instance holds, and keeps
/// away from those that leave or keep failing. An executor that fails 3 times
/// in a row is ejected for 1 s, then twice as long each time up to 60 s, and
/// is tried with one request afterwards; never more than half of the executors
/// are ejected, since then the fault lies elsewhere. Owned by a RequestRouter.
/// Not thread-safe; times must not go backwards.
class ExecutorPool {
public:
  using Amounts = std::map<std::string, std::int64_t>;
  /// Identifies an executor that has slots taken; never reused.
  using Serial = std::uint64_t;

  /// A slot that was taken.
  struct Choice {
    Serial Executor = 0;
    std::string Id;
    std::string Address;
  };

  /// \p Instance spreads the wishes of instances; \p Zone is preferred.
  ExecutorPool(InstanceId Instance, std::string Zone);

  /// Most slots that any executor may have taken; from the configuration.
  void setCapacity(std::int64_t Slots);

  /// Replaces the list; entries of other upstreams must be left out.
  void setList(const std::vector<const ListedExecutor *> &List, TimePoint Now);

  /// Replaces the slots that this instance holds.
  void setGrants(const Amounts &ByExecutor);

  /// Ends ejections that are over.
  void advance(TimePoint Now);

  /// Takes a slot of the executor with the most free slots, then the lowest
  /// recent latency, then in the own zone. Leaves out \p Tried. Empty if no
  /// slot is free.
  std::optional<Choice> take(const std::vector<Serial> &Tried, TimePoint Now);

  /// Gives a slot back.
  void release(Serial Executor, TimePoint Now);

  /// The executor answered after \p Latency.
  void noteSuccess(Serial Executor, Duration Latency, TimePoint Now);

  /// The executor could not be reached, refused, or did not answer.
  void noteFailure(Serial Executor, TimePoint Now);

  /// The executor said that it is leaving.
  void noteLeaving(Serial Executor, TimePoint Now);

  /// True if new requests may go to this executor.
  bool isLive(Serial Executor) const;

  /// True if an executor that is live and not in \p Tried exists.
  bool hasUntried(const std::vector<Serial> &Tried) const;

  /// True if a slot is free now.
  bool hasFreeSlot() const { return !Free.empty(); }

  /// Slots held on executors that take requests now.
  std::int64_t usableSlots() const { return Usable; }

  /// Slots taken.
  std::int64_t takenSlots() const { return Taken; }

  /// Mean latency of recent answers; zero before the first.
  Duration meanLatency() const { return Duration(std::int64_t(MeanLatency)); }

  /// Ejections so far.
  std::uint64_t ejections() const { return Ejections; }

  /// When advance() has to be called next.
  std::optional<TimePoint> nextWakeup() const;

  /// Slots to hold while \p Queued requests wait; see RequestRouter.
  Amounts desiredGrants(std::size_t Queued, TimePoint Now) const;

  /// Slots taken, by executor; executors without any are left out.
  Amounts taken() const;

  /// Slots held, by executor.
  Amounts granted() const;

private:
  /// Order of free executors: the first one is chosen next.
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
    std::int64_t Usable = 0; ///< Its part of the pool's usable slots.
    double Latency = 0;      ///< Recent mean in milliseconds; 0: unknown.
    int Failures = 0;        ///< In a row.
    int Backoff = 0;         ///< Ejections in a row.
    bool Probing = false;    ///< After an ejection, until a success.
    std::optional<TimePoint> EjectedUntil;
    std::optional<Rank> Ranked; ///< Its entry in Free.
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
