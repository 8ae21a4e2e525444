/// \file
/// Loads the state that the previous leader stored.
#ifndef APRICOTWING_CELL_STATELOADER_H
#define APRICOTWING_CELL_STATELOADER_H

#include "cell/callbackguard.h"
#include "cell/changelog.h"
#include "cell/messages.h"
#include "cell/pagesize.h"
#include "cell/ports.h"
#include "cell/progressrows.h"
#include "cell/settingsrows.h"
#include "cell/shardlayout.h"
#include "jobs/clusterpolicy.h"
#include "jobs/job.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::cell {

/// The stored state that the leader needs before it can schedule.
struct StoredState {
  std::map<std::string, jobs::JobSpec> Jobs;
  std::map<std::string, jobs::JobProgress> Progress;
  ProgressRows JobRows; ///< The rows that Progress was read from.
  std::vector<RosterEntry> Roster;
  std::optional<ShardLayout> Layout; ///< Only in shard 0.
  std::optional<StoredUsage> Usage;
  jobs::ClusterPolicy Settings; ///< Queues and accounts that the jobs refer to.
  SettingsRows SettingRows;     ///< The rows that Settings was read from.
};

/// Encodes the final phase of a job for the table of ended jobs.
std::string encodeEndPhase(jobs::JobPhase Phase);

/// Reads the tables of a shard after a takeover: first packed changes, which it
/// applies to the rows of the other tables, then the settings, the jobs, their
/// progress, the roster and the layout, then the ended jobs, which scheduling
/// does not need. Owned by the leader and used on its thread only.
class StateLoader {
public:
  struct Callbacks {
    /// Called with the packed changes of the previous leader.
    std::function<void(ChangeLog)> PackedRead;
    /// Called once all tables but the ended jobs are read.
    std::function<void(StoredState)> Loaded;
    /// Called for each ended job.
    std::function<void(const std::string &Id, jobs::JobPhase Phase)> EndedJob;
    /// Called once all tables are read.
    std::function<void()> AllRead;
  };

  /// The past use of the accounts is read only if \p ReadsUsage.
  StateLoader(MetadataStore &Store, const Clock &Time, EventLog &Log,
              std::string Partition, bool ReadsUsage, Callbacks Owner);

  /// Starts the next read if one is due. Does nothing once all tables are
  /// read.
  void pump();

  /// True once all tables are read.
  bool isDone() const { return Tables.empty(); }

  /// Name of the table that is read now; empty once all are read.
  std::string currentTable() const {
    return Tables.empty() ? std::string() : Tables.back();
  }

  /// Number of reads that failed and were repeated.
  std::uint64_t failedReads() const { return FailedReads; }

private:
  void onPage(const ReadResult &Page);
  void logPage(std::string_view Event, const ReadResult &Page) const;
  void finishTable();
  void loadPage(const std::vector<StoredRow> &Rows);
  bool loadRow(const StoredRow &Row);
  bool loadEndedJob(const StoredRow &Row);

  MetadataStore &Store;
  const Clock &Time;
  EventLog &Log;
  const std::string Partition;
  const Callbacks Owner;
  std::vector<std::string> Tables; ///< Still to be read; the last one is next.
  std::string NextKey;
  PageSize Pages;
  bool InFlight = false;
  std::uint64_t FailedReads = 0;
  TimePoint SentAt; ///< Of the read in flight.
  TimePoint RetryAt;
  ChangeLog Packed;
  RowChanges PackedChanges; ///< Not yet applied.
  StoredState State;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
