/// \file
/// Changes of a shard's state that are stored in packed rows.
#ifndef APRICOTWING_CELL_CHANGELOG_H
#define APRICOTWING_CELL_CHANGELOG_H

#include "cell/ports.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::cell {

/// Name of a row: its table and key.
using RowName = std::pair<std::string, std::string>;

/// New values of rows; empty: the row is removed.
using RowChanges = std::map<RowName, std::optional<std::string>>;

/// Size that \p Change has in a packed row, in bytes. Thread-safe.
std::size_t packedSize(const RowChange &Change);

/// Decides how the changes of a commit are written. A transaction of the store
/// has a limited number of rows, so a commit with more changes writes them to
/// packed rows, hundreds of changes in each. While packed rows exist, all
/// further changes are packed, too, and the rows themselves are brought up to
/// date when the store is fast: oldest changes first, after which their packed
/// rows are removed. The state of the shard is that of its rows with the
/// changes of all packed rows applied in the order of their keys. Rows that
/// other shards read are never packed. Owned by the Journal and used on its
/// thread only.
class ChangeLog {
public:
  /// The writes of one transaction, and what they do to the log.
  struct Plan {
    std::vector<RowChange> Writes;
    std::uint64_t Number = 0;            ///< Of the commit.
    RowChanges Packed;                   ///< Changes in new packed rows.
    std::vector<std::string> PackedKeys; ///< Keys of the new packed rows.
    /// Rows that are brought up to date, with the commit of their last change.
    std::vector<std::pair<RowName, std::uint64_t>> Updated;
    std::size_t Removed = 0; ///< Oldest packed rows that are removed.
  };

  /// True while there are packed rows.
  bool isActive() const { return !PackedRows.empty(); }

  /// Plans the transaction of commit \p Number with the changes \p Changes.
  /// \p MayUpdate: the transaction may also bring rows up to date.
  /// Precondition: numbers grow from commit to commit, also across terms.
  Plan plan(const RowChanges &Changes, std::uint64_t Number,
            bool MayUpdate) const;

  /// Records that the transaction of \p Applied was applied.
  void apply(const Plan &Applied);

  /// Adds a packed row that was read after a takeover. Precondition: rows are
  /// added in the order of their keys. Returns false if the row is invalid.
  bool restore(const StoredRow &Row);

  /// The changes that rows do not contain yet.
  RowChanges pendingChanges() const;

  /// The store accepts 100 entries per transaction, of which the leader record
  /// and its condition take two.
  static constexpr std::size_t MaxRows = 98;

private:
  struct Pending {
    std::optional<std::string> Value;
    std::uint64_t Number = 0; ///< Commit of the change.
  };
  struct PackedRow {
    std::uint64_t Number = 0;
    std::string Key;
  };

  bool planCompletion(const RowChanges &Changes, Plan &Result) const;
  static void planPackedRows(const RowChanges &Changes, Plan &Result);
  void planUpdates(Plan &Result) const;
  void setPending(const RowName &Name, Pending Change);
  void clearPending(const RowName &Name);

  std::deque<PackedRow> PackedRows; ///< Oldest first.
  std::map<RowName, Pending> PendingRows;
  std::set<std::pair<std::uint64_t, RowName>> PendingOrder; ///< By commit.
};

} // namespace apricotwing::cell

#endif
