/// \file
/// The rows in which the settings of queues and accounts are stored.
#ifndef APRICOTWING_CELL_SETTINGSROWS_H
#define APRICOTWING_CELL_SETTINGSROWS_H

#include "cell/ports.h"
#include "jobs/clusterpolicy.h"

#include <map>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Divides settings among rows, so that none outgrows the store, however many
/// queues a policy has. Only rows that differ from the stored ones are written.
/// Owned by the leader and used on its thread only.
class SettingsRows {
public:
  /// Adds a row that was read after a takeover, in any order, and adds what it
  /// contains to \p Into. Returns false if the row is invalid.
  bool restore(const StoredRow &Row, jobs::ClusterPolicy &Into);

  /// Returns the changes that store \p Settings; none if they are stored.
  std::vector<RowChange> update(const jobs::ClusterPolicy &Settings);

private:
  std::map<std::string, std::string> Stored; ///< Values by key.
};

} // namespace apricotwing::cell

#endif
