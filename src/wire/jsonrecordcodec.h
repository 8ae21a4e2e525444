/// \file
/// JSON format of the rows in the table service and of snapshots.
#ifndef APRICOTWING_WIRE_JSONRECORDCODEC_H
#define APRICOTWING_WIRE_JSONRECORDCODEC_H

#include "core/records.h"

#include <string>

namespace apricotwing {

/// RecordCodec that stores records as JSON text. Stateless; all threads may
/// share one object. Decoding ignores unknown fields, so that a newer version
/// may add some, and throws Error(Internal) for malformed text. Encoding throws
/// Error(Internal) if a string is not valid UTF-8. Owned by the daemon.
class JsonRecordCodec final : public RecordCodec {
public:
  /// Encode a record of each kind. Thread-safe.
  std::string encode(const SessionRecord &Record) const override;
  std::string encode(const EpochRecord &Record) const override;
  std::string encode(const ShardRecord &Record) const override;
  std::string encode(const PoolRecord &Record) const override;
  std::string encode(const Config &Record) const override;
  std::string encode(const ProposalRecord &Record) const override;
  std::string encode(const HistoryRecord &Record) const override;
  std::string encode(const IdempotencyRecord &Record) const override;
  std::string encode(const RunRecord &Record) const override;
  std::string encode(const JournalRecord &Record) const override;
  std::string encode(const ShardSnapshot &Record) const override;

  /// Decode a record of each kind. Thread-safe.
  SessionRecord decodeSession(const std::string &Text) const override;
  EpochRecord decodeEpoch(const std::string &Text) const override;
  ShardRecord decodeShard(const std::string &Text) const override;
  PoolRecord decodePool(const std::string &Text) const override;
  Config decodeConfig(const std::string &Text) const override;
  ProposalRecord decodeProposal(const std::string &Text) const override;
  HistoryRecord decodeHistory(const std::string &Text) const override;
  IdempotencyRecord decodeIdempotency(const std::string &Text) const override;
  RunRecord decodeRun(const std::string &Text) const override;
  JournalRecord decodeJournal(const std::string &Text) const override;
  ShardSnapshot decodeSnapshot(const std::string &Text) const override;
};

} // namespace apricotwing

#endif
