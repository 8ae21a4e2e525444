/// \file
/// Proposals, signatures and history of the configuration.
#ifndef APRICOTWING_CORE_CONFIGLEDGER_H
#define APRICOTWING_CORE_CONFIGLEDGER_H

#include "core/config.h"
#include "core/error.h"
#include "core/records.h"
#include "core/sessionmanager.h"
#include "core/tableservice.h"
#include "core/time.h"
#include "core/transactionids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

/// Error(ConfigConflict) with the version that is in force. Immutable.
class ConfigConflictError : public Error {
public:
  /// \p Current is the version in force.
  ConfigConflictError(const std::string &Message, std::uint64_t Current);

  /// The version to base the next proposal on. Thread-safe.
  std::uint64_t currentVersion() const { return Current; }

private:
  std::uint64_t Current;
};

/// Changes the configuration with the signatures of two owners. Owned by the
/// daemon. Holds no state of its own between calls, so all methods are
/// thread-safe; they block for a few store calls. All throw
/// Error(StoreUnavailable), and those that write throw
/// Error(StoreUnknownOutcome) if a write may have taken effect.
class ConfigLedger {
public:
  /// The references must outlive this object.
  ConfigLedger(TableService &Table, const RecordCodec &Codec, const Clock &Time,
               TransactionIds &Ids, SessionManager &Session);

  /// Writes \p Initial as version 1 unless there is a configuration.
  /// Thread-safe.
  void bootstrap(Config Initial);

  /// Records a proposal by \p Owner on top of version \p Base. Throws
  /// ConfigConflictError if another version is in force, Error(BadRequest)
  /// if the changes are invalid or there are none, Error(NoAuthority).
  /// Thread-safe.
  ProposalRecord propose(const std::string &Owner, std::uint64_t Base,
                         const std::vector<ConfigChange> &Changes);

  /// Puts the proposal into force with the signature of \p Owner and returns
  /// the new version; repeating a successful call returns the same. Throws
  /// Error(SameOwner) if \p Owner proposed it, Error(NotFound),
  /// ConfigConflictError if it was rejected or another version is in force,
  /// Error(NoAuthority) if this instance has no authority, if a session does
  /// not know this instance, or while a promise to a peer is outstanding.
  /// Thread-safe.
  std::uint64_t sign(const std::string &Proposal, const std::string &Owner);

  /// Rejects an open proposal; either owner may. Throws Error(NotFound),
  /// ConfigConflictError if it was signed, Error(NoAuthority). Thread-safe.
  void reject(const std::string &Proposal, const std::string &Owner);

  /// Open proposals. Thread-safe.
  std::vector<ProposalRecord> proposals();

  /// Deletes proposals, decided or not, whose base is more than
  /// RetainedVersions behind the version in force; none of them can be signed
  /// any more, and the history keeps what was signed. Returns how many. Meant
  /// to run now and then on one instance. Thread-safe.
  std::size_t pruneProposals();

  /// See pruneProposals().
  static constexpr std::uint64_t RetainedVersions = 100;

  /// At most \p Limit accepted versions above \p After, in order.
  /// Thread-safe.
  std::vector<HistoryRecord> history(std::uint64_t After = 0,
                                     std::uint32_t Limit = 100);

private:
  /// A record with the version of its row.
  template <typename Record> struct Read {
    Record Value;
    RowVersion Version = 0;
  };

  void requireAuthority() const;
  static void requireOpen(const ProposalRecord &Record, std::uint64_t Current);
  RowCondition requireKnownByAll();
  Read<ProposalRecord> readProposal(const std::string &Proposal);
  Read<Config> readCurrent();
  std::optional<std::uint64_t> trySign(const std::string &Proposal,
                                       const std::string &Owner);
  CommitResult commitExcludingPromises(const Transaction &Change,
                                       std::uint64_t Version);

  TableService &Table;
  const RecordCodec &Codec;
  const Clock &Time;
  TransactionIds &Ids;
  SessionManager &Session;
};

} // namespace apricotwing

#endif
