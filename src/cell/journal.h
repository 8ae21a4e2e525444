/// \file
/// Writes of the leader to the metadata store.
#ifndef APRICOTWING_CELL_JOURNAL_H
#define APRICOTWING_CELL_JOURNAL_H

#include "cell/callbackguard.h"
#include "cell/changelog.h"
#include "cell/messages.h"
#include "cell/ports.h"
#include "cell/timing.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::cell {

/// Names of the tables, and the keys of those with one row for each shard.
/// All rows of a shard are in one partition; the layout is in that of shard 0.
inline constexpr const char *LeaderTable = "leader";
inline constexpr const char *LeaderKey = "leader";
inline constexpr const char *JobTable = "jobs";
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *EndedTable = "ended";
inline constexpr const char *RosterTable = "roster";
inline constexpr const char *PackedTable = "packed";
inline constexpr const char *TransferTable = "transfers";
inline constexpr const char *LayoutTable = "layout";
inline constexpr const char *LayoutKey = "layout";
inline constexpr const char *SettingsTable = "settings";
inline constexpr const char *SettingsKey = "settings";
inline constexpr const char *UsageTable = "usage";
inline constexpr const char *UsageKey = "usage";

/// Returns the partition of the rows of a shard. Thread-safe.
std::string partitionOf(int Shard);

/// Commits changes in batches, one transaction at a time. If more changes come
/// up than fit into rows of their own, they are packed (ChangeLog), so that the
/// number of changes per second hardly depends on the store's latency. Each
/// transaction rewrites the leader record on the condition that its version is
/// unchanged. A repeated or delayed transaction therefore has no effect, and a
/// deposed leader cannot write. Owned by the leader and used on its thread
/// only.
class Journal {
public:
  /// Starts a term in the shard of \p Partition, whose leader record \p Record
  /// was written with the version \p Version, by a transaction that was sent at
  /// \p SentAt.
  Journal(MetadataStore &Store, const Clock &Time, EventLog &Events,
          const Timing &Times, std::string Partition, LeaderRecord Record,
          std::int64_t Version, TimePoint SentAt);

  /// Adds changes to the same commit, or to several in their order if they are
  /// too large for one.
  void write(const std::vector<RowChange> &Changes);

  /// Inserts or replaces a row with the next commit.
  void put(const std::string &Table, const std::string &Key, std::string Value);

  /// Removes a row with the next commit.
  void remove(const std::string &Table, const std::string &Key);

  /// True if a change that is added now causes no commit of its own: another
  /// change waits for the next one, or the leader record is due.
  bool isCommitDue() const;

  /// Calls \p Callback once all changes added so far are stored; immediately if
  /// no changes are pending.
  void whenCommitted(std::function<void()> Callback);

  /// Starts the next commit if one is due.
  void pump();

  /// Commits the pending changes and then a leader record without an instance,
  /// so that another instance can take over immediately. \p Successor is the
  /// preferred one; it may be empty.
  void stepDown(const std::string &Successor);

  /// Sets the number of members and the largest CPU share of any of them, which
  /// are written with the next commits.
  void setMembers(int Count, double LargestCpuShare) {
    Record.Members = Count;
    Record.LargestCpuShare = LargestCpuShare;
  }

  /// Continues with the packed rows that the previous leader has left.
  /// Precondition: no changes have been added in this term.
  void adopt(ChangeLog Previous) { Log = std::move(Previous); }

  /// Sets the load of the shard, which is written with the next commits.
  void setLoad(const ShardLoad &Load) { Record.Load = Load; }

  /// True while no other instance can have taken over. Must be checked before
  /// each decision that is sent to workers or callers.
  bool isLeaseValid() const;

  /// True once another instance has taken over, or the step-down is committed.
  bool isDeposed() const { return Deposed; }

  /// Time for which the current commit has been failing; zero if the last
  /// commit succeeded.
  Duration failureDuration() const;

  /// The shared time of the shard's leaders at \p At.
  ShardTime timeAt(TimePoint At) const {
    return {FirstTime.Epoch, FirstTime.Ms + (At - TermStart).count()};
  }

  /// Number of commits and of rows written, for metrics.
  std::uint64_t commits() const { return Commits; }
  std::uint64_t rowsWritten() const { return RowsWritten; }

  /// The commits of some time.
  struct CommitCounts {
    std::uint64_t Commits = 0;
    std::uint64_t Rows = 0;
    std::uint64_t Bytes = 0;      ///< Of the values written.
    Duration Latency{0};          ///< Of all commits together.
    std::uint64_t PackedRows = 0; ///< Of Rows, those of the table `packed`.
  };

  /// Returns the commits since the last call of this method.
  CommitCounts takeCounts() { return std::exchange(Counts, CommitCounts{}); }

private:
  struct Batch {
    RowChanges Rows;
    std::size_t Bytes = 0;
    std::vector<std::function<void()>> OnCommitted;
    /// Set once the batch was sent. All attempts of a commit write the same, as
    /// it may be unknown which of them was applied.
    std::optional<ChangeLog::Plan> Sent;
  };

  Batch &openBatch(std::size_t Rows, std::size_t Bytes);
  void commit(TimePoint Now);
  void countCommit(const ChangeLog::Plan &Sent);
  void onCommitResult(const TransactionResult &Result);
  void logInvalidCommit() const;
  void onCommitted(std::int64_t NewVersion);
  void readBack();
  void onReadBack(const ReadResult &Result);

  MetadataStore &Store;
  const Clock &Time;
  EventLog &Events;
  const Timing &Times;
  const std::string Partition;
  LeaderRecord Record;
  const ShardTime FirstTime; ///< At TermStart.
  const TimePoint TermStart;
  std::int64_t Version;
  TimePoint LeaseStart;
  TimePoint LastSent;
  TimePoint RetryAt;
  std::deque<Batch> Batches; ///< While a commit is in flight, the first one is
                             ///< being committed.
  ChangeLog Log;
  Duration LastLatency{0}; ///< Of the last commit.
  TimePoint FirstSent;     ///< First send time of the batch being committed.
  TimePoint NextReadBack;
  std::int64_t Attempt = 0; ///< Identifies the current commit, so that late
                            ///< responses to earlier ones are ignored.
  bool InFlight = false;
  bool ReadingBack = false;
  /// The store has answered a read since the commit.
  bool ReadBackAnswered = false;
  bool SteppingDown = false;
  /// The commit in flight writes the leader record without an instance.
  bool ClearsLeader = false;
  bool Deposed = false;
  /// The store will never accept the last attempt.
  bool WasInvalid = false;
  bool Failing = false; ///< The last attempt to commit the first batch failed.
  std::uint64_t Commits = 0;
  std::uint64_t RowsWritten = 0;
  CommitCounts Counts;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
