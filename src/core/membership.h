/// \file
/// Tracks the other sessions of the cell, as observed by this process.
#ifndef APRICOTWING_CORE_MEMBERSHIP_H
#define APRICOTWING_CORE_MEMBERSHIP_H

#include "core/records.h"
#include "core/sessionmanager.h"
#include "core/tableservice.h"
#include "core/time.h"
#include "core/transactionids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace apricotwing {

enum class FenceResult {
  Fenced,
  Conflict, ///< The session has been renewed or changed by another instance.
  Promised, ///< Not allowed, because a promise to a peer is outstanding.
};

/// Decides which sessions may be fenced, fences them, and determines when the
/// grants of ended sessions may be reclaimed. Owned by the daemon; runs on the
/// renewal thread after each successful round. Not thread-safe.
class Membership {
public:
  /// The references must outlive this object.
  Membership(TableService &Table, const RecordCodec &Codec, const Clock &Time,
             TransactionIds &Ids, SessionManager &Session);

  /// Records the session rows of \p View. Must be called once after each
  /// successful round.
  void observe(const SessionView &View);

  /// Returns the sessions whose rows have not changed for
  /// AuthoritySettings::Fence. For sessions that do not list this session in
  /// `known`, MaxExtension and an allowance for clock drift are added.
  std::vector<SessionId> fenceable(TimePoint Now) const;

  /// Fences \p Target with a transaction that is conditional on its row and on
  /// this process's session row. Throws Error(StoreUnavailable), or
  /// Error(StoreUnknownOutcome), after which no promise is given until the next
  /// successful round. Precondition: fenceable() returned \p Target.
  FenceResult fence(const SessionId &Target);

  /// Returns true if the session \p Id is known to have ended: fenced, replaced
  /// by a session with a later epoch, or deleted.
  bool hasEnded(const SessionId &Id) const;

  /// Returns true if the grants of \p Id may be reclaimed: this process has
  /// known that the session ended for AuthoritySettings::RequestDeadline plus
  /// an allowance for clock drift. For an ended session that was not observed
  /// before, the first call starts that time.
  bool mayReclaim(const SessionId &Id, TimePoint Now);

  /// Deletes rows that have been fenced for longer than RetainFenced, so that
  /// the rows of replaced instances do not accumulate. Throws
  /// Error(StoreUnavailable) or Error(StoreUnknownOutcome).
  void removeFenced(TimePoint Now);

  /// How long a fenced row is kept, so that operators can inspect it.
  static constexpr Duration RetainFenced{600000};

private:
  struct Observed {
    SessionRecord Record;
    RowVersion Version = 0;
    TimePoint Since; ///< When this version was first seen.
  };

  bool knowsOwnSession(const SessionRecord &Record) const;
  void pruneEnded(TimePoint Now);

  TableService &Table;
  const RecordCodec &Codec;
  const Clock &Time;
  TransactionIds &Ids;
  SessionManager &Session;
  SessionId OwnSession;
  RowVersion OwnVersion = 0;
  std::map<InstanceId, Observed> Rows;
  std::map<SessionId, TimePoint> EndedSince;
  /// For sessions that were never observed, the value of Observations at the
  /// first call of mayReclaim().
  std::map<SessionId, std::uint64_t> FirstQueried;
  std::uint64_t Observations = 0;
};

} // namespace apricotwing

#endif
