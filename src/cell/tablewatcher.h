/// \file
/// Watches the rows of a table of the metadata store.
#ifndef APRICOTWING_CELL_TABLEWATCHER_H
#define APRICOTWING_CELL_TABLEWATCHER_H

#include "cell/callbackguard.h"
#include "cell/pagesize.h"
#include "cell/ports.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Reads a whole table and then watches it for changes. A read that fails goes
/// on with the next page. Reads the whole table again if the store no longer
/// has the change history that the watch needs. Owned by the user of the rows
/// and used on its thread only.
class TableWatcher {
public:
  struct Callbacks {
    /// Called with all rows after the whole table was read.
    std::function<void(const std::vector<StoredRow> &)> Replaced;
    /// Called with rows that were changed or removed.
    std::function<void(const std::vector<StoredRow> &)> Changed;
  };

  /// Watches the rows in the partitions \p Partitions of \p Table.
  /// \p MinInterval is the minimum time between two calls, which limits their
  /// rate if rows change constantly. \p WatchTimeout is the maximum time that a
  /// watch call waits for a change. Each call waits for between half of it and
  /// all of it, in a sequence that depends on \p JitterSeed, so that the calls
  /// of many watchers do not end at the same time after each change.
  TableWatcher(MetadataStore &Store, const Clock &Time, std::string Table,
               std::vector<std::string> Partitions, Duration MinInterval,
               Duration WatchTimeout, std::string JitterSeed, Callbacks Owner);

  /// Starts the next call if it is due.
  void pump();

  /// Time of the last successful response of the store.
  TimePoint lastAnswer() const { return LastAnswer; }

  /// False if the last call failed.
  bool isHealthy() const { return Healthy; }

  /// Version up to which all changes are known; -1 while the whole table is
  /// being read.
  std::int64_t version() const { return Version; }

  /// The latest time of which it is certain that all changes before it are
  /// known. It may be long before lastAnswer(), because a response may have
  /// waited while the process was paused.
  TimePoint knownUntil() const { return KnownUntil; }

  /// Time of the last failure of a call.
  TimePoint lastFailure() const { return LastFailure; }

  /// How much longer the call in flight has taken than it was allowed to wait
  /// for a change; zero if none is in flight.
  Duration overdue() const;

private:
  void readNextPage();
  void onPage(const ReadResult &Page);
  void watch();
  void onFailure();
  Duration nextWatchTimeout();

  MetadataStore &Store;
  const Clock &Time;
  const std::string Table;
  const std::vector<std::string> Partitions;
  const Duration MinInterval;
  const Duration WatchTimeout;
  const std::string JitterSeed;
  const Callbacks Owner;
  std::uint64_t WatchCalls = 0;
  std::vector<StoredRow> PartialRows;
  std::size_t NextPartition = 0; ///< That is read next.
  std::string NextKey;
  PageSize Pages;
  std::int64_t FirstPageVersion = 0;
  TimePoint FirstPageSentAt;
  std::int64_t Version = -1; ///< -1: the whole table must be read.
  bool InFlight = false;
  bool Healthy = true;
  TimePoint NextCall;
  TimePoint SentAt;        ///< Of the call in flight.
  Duration AllowedWait{0}; ///< Of the call in flight.
  TimePoint LastAnswer;
  TimePoint KnownUntil;
  TimePoint LastFailure;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
