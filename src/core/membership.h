/// \file
/// The other sessions of the cell as this process sees them over time.
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
  Conflict, ///< The session has renewed or somebody else was first.
  Promised, ///< Refused: a promise to a peer is outstanding.
};

/// Decides which sessions may be fenced, fences them, and says when grants of
/// ended sessions may be reclaimed. Owned by the daemon; runs on the renewal
/// thread after each successful round. Not thread-safe.
class Membership {
public:
  /// The references must outlive this object.
  Membership(TableService &Table, const RecordCodec &Codec, const Clock &Time,
             TransactionIds &Ids, SessionManager &Session);

  /// Takes over the rows of \p View; call once after each successful round.
  void observe(const SessionView &View);

  /// Sessions whose rows have been unchanged for F, or for F + G and the rate
  /// allowance if they do not list this session in `known`.
  std::vector<SessionId> fenceable(TimePoint Now) const;

  /// Fences \p Target with a transaction that is conditional on its row and
  /// on the own session row. Throws Error(StoreUnavailable), or
  /// Error(StoreUnknownOutcome), after which no promise is given until the
  /// next successful round. Precondition: fenceable() named \p Target.
  FenceResult fence(const SessionId &Target);

  /// True if \p Id is known to have ended: fenced, replaced by a later epoch,
  /// or deleted.
  bool hasEnded(const SessionId &Id) const;

  /// True if the grants of \p Id may be reclaimed: this process has known for
  /// D and the rate allowance that it has ended. A call for a session that
  /// was not seen before starts that time.
  bool mayReclaim(const SessionId &Id, TimePoint Now);

  /// Deletes rows that have been fenced for longer than RetainFenced, so that
  /// the rows of replaced instances do not pile up. Throws
  /// Error(StoreUnavailable) or Error(StoreUnknownOutcome).
  void removeFenced(TimePoint Now);

  /// How long a fenced row is kept for operators to see.
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
  /// Observations made when mayReclaim() first asked for an unseen session.
  std::map<SessionId, std::uint64_t> FirstQueried;
  std::uint64_t Observations = 0;
};

} // namespace apricotwing

#endif
