/// \file
/// Keeps an instance's policy up to date.
#ifndef APRICOTWING_CELL_POLICYTRACKER_H
#define APRICOTWING_CELL_POLICYTRACKER_H

#include "cell/callbackguard.h"
#include "cell/evacuationset.h"
#include "cell/ports.h"
#include "cell/tablewatcher.h"
#include "jobs/clusterpolicy.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Watches the rows of the policy and of evacuations and knows how old the
/// instance's view of them is. Beside the watch it reads the changes at once if
/// a caller must not be refused by an old view, if another instance has a newer
/// policy, or if the watch gets no response. Owned by the Node and used on its
/// thread only.
class PolicyTracker {
public:
  struct Ports {
    MetadataStore &Store;
    const PlatformRecords &Records;
    const Clock &Time;
    EventLog &Log;
  };
  struct Receivers {
    /// Called with each policy that is newer than all before.
    std::function<void(const jobs::ClusterPolicy &)> Policy;
    /// Called with the evacuated zones when they have changed. The first policy
    /// follows the zones of the same read of the whole table.
    std::function<void(const std::set<std::string> &)> EvacuatedZones;
  };

  /// Oldest view of the operators' rows by which calls are decided without
  /// asking the store, and by which leaders start runs.
  static constexpr Duration MaxViewAge{2000};

  /// \p JitterSeed: see TableWatcher.
  PolicyTracker(const Ports &Deps, std::string JitterSeed, Receivers Owner);

  /// Starts the calls to the store that are due. Must be called frequently.
  void pump();

  /// True if a newer policy may have been in force for longer than callers
  /// allow, and it is not known that the store cannot be reached. Calls should
  /// then be decided only after confirm().
  bool isUncertain() const;

  /// Starts a read of the changes with the next pump(), which all calls until
  /// then share. Calls \p Callback later: with true once the response of the
  /// store to that read has been applied, and with false if it failed.
  void confirm(std::function<void(bool)> Callback);

  /// Time since the policy in force was received.
  Duration age() const { return Deps.Time.now() - InForceSince; }

  /// Upper bound for the time since the store confirmed that the policy in
  /// force is the newest one.
  Duration viewAge() const;

  /// Latest time for which the store has confirmed the view.
  TimePoint knownUntil() const;

  /// The evacuated zones.
  const std::set<std::string> &evacuatedZones() const { return Evacuated; }

  /// Time since the store last answered the watch; empty if it never has.
  std::optional<Duration> storeAnswerAge() const;

  /// Time of the last answer of the store; empty if the last call failed.
  std::optional<TimePoint> lastStoreResponse() const;

  /// Tells that another instance has the policy with \p Version.
  void expect(std::int64_t Version);

private:
  using Waiters = std::vector<std::function<void(bool)>>;

  void readChanges();
  void readSince(std::int64_t After);
  void onRead(const ReadResult &Result, bool IsWhole);
  void onTable(const std::vector<StoredRow> &Rows, std::int64_t ReadVersion);
  void onChanges(const std::vector<StoredRow> &Rows);
  void announceZones();
  void applyPolicy(const std::vector<StoredRow> &Rows);

  const Ports Deps;
  const Receivers Owner;
  const std::string Table;
  std::int64_t Version = 0; ///< Of the policy in force; 0: there is none yet.
  std::int64_t ExpectedVersion = 0; ///< Newest one of any instance.
  TimePoint ExpectedSince;
  std::int64_t RowVersion = 0; ///< Of the newest row of the policy.
  TimePoint InForceSince;
  EvacuationSet Evacuations;
  std::set<std::string> Evacuated; ///< As last announced.
  TableWatcher Watcher;
  Waiters Waiting;       ///< For the next read of changes.
  Waiters WaitingInRead; ///< For the read of changes in flight.
  bool Reading = false;
  TimePoint LastReadSentAt;
  TimePoint KnownUntil; ///< By the last read of changes.
  TimePoint LastReadFailure;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
