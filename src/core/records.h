/// \file
/// Records stored in the rows of the table service, the keys of the rows, and
/// the port that encodes records as text.
#ifndef APRICOTWING_CORE_RECORDS_H
#define APRICOTWING_CORE_RECORDS_H

#include "core/config.h"
#include "core/journal.h"
#include "core/run.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing {

/// Identifies one session of an instance. Epochs are unique in the cell.
struct SessionId {
  InstanceId Instance;
  Epoch SessionEpoch = 0;

  // The name that clang-tidy reports belongs to the generated comparison.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend auto operator<=>(const SessionId &, const SessionId &) = default;
};

/// Returns "<instance>@<epoch>". Thread-safe.
std::string toString(const SessionId &Id);

enum class SessionState { Live, Leaving, Fenced };

std::string_view sessionStateName(SessionState Value);
SessionState parseSessionState(std::string_view Name);

/// Row session/<instance>.
struct SessionRecord {
  SessionId Id;
  std::uint64_t Counter = 0; ///< Increases with each renewal.
  std::string Address;
  std::string PeerAddress;
  std::string Zone;
  SessionState State = SessionState::Live;
  std::vector<SessionId>
      Known; ///< Other sessions seen in the last successful round.
};

/// Row epoch/next.
struct EpochRecord {
  Epoch Next = 1;
};

/// Row shard/<shard>.
struct ShardRecord {
  SessionId Owner; ///< The instance is empty if the shard was released.
  Epoch ShardEpoch = 0;
  std::uint64_t NextSequence = 1;
  std::uint64_t SnapshotSequence = 0; ///< 0 if there is no snapshot.
};

/// Row pool/<pool>. The capacity of each unit (an executor or a resource) is
/// divided among holders; a unit's grants are never raised above its capacity.
struct PoolRecord {
  std::map<std::string, std::int64_t> Capacity; ///< By unit.
  /// Granted amounts by holder, then by unit. A holder is "<instance>@<epoch>"
  /// or a shard id. A holder that waits for a unit has a grant of 0.
  std::map<std::string, std::map<std::string, std::int64_t>> Grants;
};

enum class ProposalState { Open, Signed, Rejected };

std::string_view proposalStateName(ProposalState Value);
ProposalState parseProposalState(std::string_view Name);

/// Row config/proposal/<id>.
struct ProposalRecord {
  std::string Id;
  std::uint64_t BaseVersion = 0;
  std::vector<ConfigChange> Changes;
  std::string ProposedBy;
  std::string DecidedBy;
  ProposalState State = ProposalState::Open;
};

/// Row config/history/<version>.
struct HistoryRecord {
  std::uint64_t Version = 0;
  std::string Proposal;
  std::string ProposedBy;
  std::string SignedBy;
  std::vector<ConfigChange> Changes;
};

/// Row idem/<team>/<key>.
struct IdempotencyRecord {
  RunId Run;
  std::string Digest; ///< Hash of the run specification.
};

/// Row journal/<shard>/<sequence>.
struct JournalRecord {
  Epoch ShardEpoch = 0;
  std::vector<JournalEvent> Events;
};

/// Port that encodes records as text. Implementations are stateless and
/// thread-safe. Decoding throws Error(Internal) for malformed text.
class RecordCodec {
public:
  virtual ~RecordCodec() = default;

  virtual std::string encode(const SessionRecord &Record) const = 0;
  virtual std::string encode(const EpochRecord &Record) const = 0;
  virtual std::string encode(const ShardRecord &Record) const = 0;
  virtual std::string encode(const PoolRecord &Record) const = 0;
  virtual std::string encode(const Config &Record) const = 0;
  virtual std::string encode(const ProposalRecord &Record) const = 0;
  virtual std::string encode(const HistoryRecord &Record) const = 0;
  virtual std::string encode(const IdempotencyRecord &Record) const = 0;
  virtual std::string encode(const RunRecord &Record) const = 0;
  virtual std::string encode(const JournalRecord &Record) const = 0;
  virtual std::string encode(const ShardSnapshot &Record) const = 0;

  virtual SessionRecord decodeSession(const std::string &Text) const = 0;
  virtual EpochRecord decodeEpoch(const std::string &Text) const = 0;
  virtual ShardRecord decodeShard(const std::string &Text) const = 0;
  virtual PoolRecord decodePool(const std::string &Text) const = 0;
  virtual Config decodeConfig(const std::string &Text) const = 0;
  virtual ProposalRecord decodeProposal(const std::string &Text) const = 0;
  virtual HistoryRecord decodeHistory(const std::string &Text) const = 0;
  virtual IdempotencyRecord
  decodeIdempotency(const std::string &Text) const = 0;
  virtual RunRecord decodeRun(const std::string &Text) const = 0;
  virtual JournalRecord decodeJournal(const std::string &Text) const = 0;
  virtual ShardSnapshot decodeSnapshot(const std::string &Text) const = 0;
};

/// Keys of rows and names of objects. All functions are thread-safe.
namespace keys {

inline const std::string SessionPrefix = "session/";
inline const std::string EpochNext = "epoch/next";
inline const std::string ConfigCurrent = "config/current";
inline const std::string ProposalPrefix = "config/proposal/";
inline const std::string HistoryPrefix = "config/history/";

std::string session(const InstanceId &Instance);
std::string shard(const ShardId &Shard);
std::string journalPrefix(const ShardId &Shard);
std::string journal(const ShardId &Shard, std::uint64_t Sequence);
std::string snapshot(const ShardId &Shard, std::uint64_t Sequence);
std::string runPrefix(const TeamName &Team);
std::string run(const TeamName &Team, const RunId &Run);
std::string inboxPrefix(const ShardId &Shard);
std::string inbox(const ShardId &Shard, const RunId &Run);
std::string cancelPrefix(const ShardId &Shard);
std::string cancel(const ShardId &Shard, const RunId &Run);
std::string idempotency(const TeamName &Team, const std::string &Key);
std::string executorPool(const std::string &Upstream);
std::string requestPool(const TeamName &Team);
std::string taskPool(const TeamName &Team);
std::string proposal(const std::string &Id);
std::string history(std::uint64_t Version);

} // namespace keys

} // namespace apricotwing

#endif
