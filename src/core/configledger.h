/// \file
/// Proposals, signatures and version history of the configuration.
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

/// Error(ConfigConflict) that carries the current configuration version.
/// Immutable.
class ConfigConflictError : public Error {
public:
  /// \p Current is the current configuration version.
  ConfigConflictError(const std::string &Message, std::uint64_t Current);

  /// Returns the version on which the next proposal should be based.
  /// Thread-safe.
  std::uint64_t currentVersion() const { return Current; }

private:
  std::uint64_t Current;
};

/// Changes the configuration under the two-person rule: one owner proposes, the
/// other signs. Owned by the daemon. Keeps no state between calls, so all
/// methods are thread-safe; they block for a few calls of the table service.
/// All throw Error(StoreUnavailable), and those that write throw
/// Error(StoreUnknownOutcome) if a write may have taken effect.
class ConfigLedger {
public:
  /// The references must outlive this object.
  ConfigLedger(TableService &Table, const RecordCodec &Codec, const Clock &Time,
               TransactionIds &Ids, SessionManager &Session);

  /// Writes \p Initial as version 1 unless a configuration exists already.
  /// Thread-safe.
  void bootstrap(Config Initial);

  /// Records a proposal by \p Owner that is based on version \p Base. Throws
  /// ConfigConflictError if another version is current, Error(BadRequest) if
  /// \p Changes is empty or invalid, and Error(NoAuthority) if this instance
  /// has no valid session. Thread-safe.
  ProposalRecord propose(const std::string &Owner, std::uint64_t Base,
                         const std::vector<ConfigChange> &Changes);

  /// Signs the proposal as \p Owner, which makes it the current configuration,
  /// and returns the new version. Idempotent: repeating a successful call
  /// returns the same version. Throws Error(SameOwner) if \p Owner proposed it,
  /// Error(NotFound), ConfigConflictError if it was rejected or another version
  /// is current, and Error(NoAuthority) if this instance has no valid session,
  /// if another session does not know this instance, or while a promise to a
  /// peer is outstanding. Thread-safe.
  std::uint64_t sign(const std::string &Proposal, const std::string &Owner);

  /// Rejects an open proposal, as either owner may. Throws Error(NotFound),
  /// ConfigConflictError if it was signed, and Error(NoAuthority) if this
  /// instance has no valid session. Thread-safe.
  void reject(const std::string &Proposal, const std::string &Owner);

  /// Returns the open proposals. Thread-safe.
  std::vector<ProposalRecord> proposals();

  /// Deletes proposals in any state that are based on a version more than
  /// RetainedVersions behind the current one. They can no longer be signed, and
  /// the history keeps the signed ones. Returns the number of deleted
  /// proposals. Meant to be called periodically by one instance. Thread-safe.
  std::size_t pruneProposals();

  /// Number of versions for which pruneProposals() keeps proposals.
  static constexpr std::uint64_t RetainedVersions = 100;

  /// Returns up to \p Limit accepted versions greater than \p After, in
  /// ascending order. Thread-safe.
  std::vector<HistoryRecord> history(std::uint64_t After = 0,
                                     std::uint32_t Limit = 100);

private:
  /// A decoded record and the version of its row.
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
