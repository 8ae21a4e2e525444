/// \file
/// The availability zones that operators have evacuated.
#ifndef APRICOTWING_CELL_EVACUATIONSET_H
#define APRICOTWING_CELL_EVACUATIONSET_H

#include "cell/ports.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Keeps the evacuated zones by the operators' rows. A watch and reads at the
/// same time may report the same row in any order, so the newest version of
/// each row counts. Owned by a PolicyTracker and used on its thread only.
class EvacuationSet {
public:
  explicit EvacuationSet(const PlatformRecords &Records) : Records(Records) {}

  /// Applies a read of the whole table that began at the version \p ReadVersion
  /// of the store. Rows that it lacks have been removed. A read that began
  /// before the last one has no effect.
  void replace(const std::vector<StoredRow> &Rows, std::int64_t ReadVersion);

  /// Applies changes. Those up to the version of the last read of the whole
  /// table have no effect, because it contains them.
  void update(const std::vector<StoredRow> &Rows);

  /// The evacuated zones.
  std::set<std::string> zones() const;

private:
  struct LastChange {
    std::int64_t Version = 0;
    bool Removed = false;
  };

  void apply(const StoredRow &Row);

  const PlatformRecords &Records;
  std::int64_t ReadVersion = -1; ///< Of the last read of the whole table.
  /// By zone. Removed rows are kept until the next read of the whole table, so
  /// that a delayed report does not bring them back.
  std::map<std::string, LastChange> Changes;
};

} // namespace apricotwing::cell

#endif
