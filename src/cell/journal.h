/// \file
/// The leader's writes to the metadata store.
#ifndef APRICOTWING_CELL_JOURNAL_H
#define APRICOTWING_CELL_JOURNAL_H

#include "cell/lifetime.h"
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

/// Names of the tables and of their one part.
inline constexpr const char *CellPart = "cell";
inline constexpr const char *LeaderTable = "leader";
inline constexpr const char *LeaderKey = "leader";
inline constexpr const char *JobTable = "jobs";
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *EndedTable = "ended";
inline constexpr const char *RosterTable = "roster";

/// Commits changes in groups, one transaction after another. Each transaction
/// rewrites the leader record under the condition of its last version, so
/// that a repeated or late one has no effect and a deposed leader can write
/// nothing. Owned by the leader and used on its thread only.
class Journal {
public:
  /// Takes over after \p Own was written with version \p Version by a
  /// transaction that was sent at \p SentAt.
  Journal(MetadataStore &Store, const Clock &Time, const Timing &Times,
          LeaderRecord Own, std::int64_t Version, TimePoint SentAt);

  /// Applies changes with one and the same commit.
  void change(const std::vector<RowChange> &Together);

  /// Writes or replaces a row with the next commit.
  void put(const std::string &Table, const std::string &Key, std::string Value);

  /// Removes a row with the next commit.
  void remove(const std::string &Table, const std::string &Key);

  /// Calls \p Then once everything added so far is stored; at once if there
  /// is nothing left to store.
  void whenStored(std::function<void()> Then);

  /// Starts the next commit if one is due.
  void pump();

  /// Writes a record without an instance after the changes so far, so that
  /// another instance takes over at once: \p Successor if it is named.
  void stepDown(const std::string &Successor);

  /// Tells with the next commits the largest share of a core of a member.
  void setLargestShare(double Share) { Own.LargestShare = Share; }

  /// True while no other instance can have taken over. Checked before each
  /// decision that reaches workers or callers.
  bool isLeaseValid() const;

  /// True once another instance has taken over, or after stepDown().
  bool isDeposed() const { return Deposed; }

  /// How long the store has not taken a commit that was sent; zero if the
  /// last one was taken.
  Duration failingFor() const;

  /// Number of commits and of rows written, for metrics.
  std::uint64_t commits() const { return Commits; }
  std::uint64_t rowsWritten() const { return RowsWritten; }

private:
  struct Batch {
    std::map<std::pair<std::string, std::string>, std::optional<std::string>>
        Rows;
    std::size_t Bytes = 0;
    std::vector<std::function<void()>> Stored;
  };

  Batch &openBatch(std::size_t Rows, std::size_t Bytes);
  void commit(TimePoint Now);
  void committed(const TransactionResult &Result);
  void applied(std::int64_t NewVersion);
  void verify();
  void verified(const ReadResult &Result);

  MetadataStore &Store;
  const Clock &Time;
  const Timing &Times;
  LeaderRecord Own;
  std::int64_t Version;
  TimePoint LeaseStart;
  TimePoint LastSent;
  TimePoint RetryAt;
  std::deque<Batch> Batches; ///< While a commit is under way, the first is it.
  TimePoint FirstSent;       ///< Of the batch under way.
  TimePoint NextVerify;
  std::int64_t Attempt = 0; ///< Tells late answers from the present one.
  bool InFlight = false;
  bool Verifying = false;
  bool VerifyAnswered = false; ///< The store has answered since the commit.
  bool SteppingDown = false;
  bool Deposed = false;
  bool Failing = false; ///< The first batch was sent without success.
  std::uint64_t Commits = 0;
  std::uint64_t RowsWritten = 0;
  Lifetime Life;
};

} // namespace apricotwing::cell

#endif
