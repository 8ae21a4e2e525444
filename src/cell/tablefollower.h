/// \file
/// Follows the rows of a table of the metadata store.
#ifndef APRICOTWING_CELL_TABLEFOLLOWER_H
#define APRICOTWING_CELL_TABLEFOLLOWER_H

#include "cell/lifetime.h"
#include "cell/ports.h"

#include <functional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Reads a table as a whole and then waits for its changes; reads it again
/// when the store has dropped its history. Owned by the part that uses the
/// rows; used on its thread only.
class TableFollower {
public:
  struct Listener {
    /// All rows, after a whole reading.
    std::function<void(const std::vector<StoredRow> &)> Replaced;
    /// Rows that have changed or were removed.
    std::function<void(const std::vector<StoredRow> &)> Changed;
  };

  /// \p Gap is the least time between two calls, which bounds their number
  /// when rows change all the time. \p Wait is the longest wait of a call.
  TableFollower(MetadataStore &Store, const Clock &Time, std::string Table,
                Duration Gap, Duration Wait, Listener Owner);

  /// Starts the next call if it is due.
  void pump();

  /// When the store last answered.
  TimePoint lastAnswer() const { return LastAnswer; }

  /// False while calls fail.
  bool isHealthy() const { return Healthy; }

private:
  void readOn();
  void readPage(const ReadResult &Page);
  void watch();
  void failed();

  MetadataStore &Store;
  const Clock &Time;
  const std::string Table;
  const Duration Gap;
  const Duration Wait;
  const Listener Owner;
  std::vector<StoredRow> Pages;
  std::string NextKey;
  std::int64_t FirstPageVersion = 0;
  std::int64_t Version = -1; ///< -1: a whole reading is due.
  bool InFlight = false;
  bool Healthy = true;
  TimePoint NextCall;
  TimePoint LastAnswer;
  Lifetime Life;
};

} // namespace apricotwing::cell

#endif
