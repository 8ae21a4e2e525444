/// \file
/// Keeps an instance's policy up to date.
#ifndef APRICOTWING_CELL_POLICYTRACKER_H
#define APRICOTWING_CELL_POLICYTRACKER_H

#include "cell/ports.h"
#include "cell/tablewatcher.h"
#include "jobs/clusterpolicy.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Watches the row of the policy and knows how old the instance's view of it
/// is. Owned by the Node and used on its thread only.
class PolicyTracker {
public:
  struct Ports {
    MetadataStore &Store;
    const PlatformRecords &Records;
    const Clock &Time;
    EventLog &Log;
  };
  using Receiver = std::function<void(const jobs::ClusterPolicy &)>;

  /// \p OnPolicy is called with each policy that is newer than all before.
  /// \p JitterSeed: see TableWatcher.
  PolicyTracker(const Ports &Deps, std::string JitterSeed, Receiver OnPolicy);

  /// Starts the calls to the store that are due. Must be called frequently.
  void pump() { Watcher.pump(); }

  /// Version of the policy in force; 0 if there is none yet.
  std::int64_t version() const { return Version; }

  /// Time since the policy in force was received.
  Duration age() const { return Deps.Time.now() - InForceSince; }

  /// Time since the store last answered the watch; empty if it never has.
  std::optional<Duration> storeAnswerAge() const;

  /// Time of the last answer of the store; empty if the last call failed.
  std::optional<TimePoint> lastStoreResponse() const;

private:
  void onRows(const std::vector<StoredRow> &Rows);

  const Ports Deps;
  const Receiver OnPolicy;
  std::int64_t Version = 0;
  TimePoint InForceSince;
  TableWatcher Watcher;
};

} // namespace apricotwing::cell

#endif
