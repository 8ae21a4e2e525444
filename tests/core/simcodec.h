/// \file
/// Codec for tests that stores records in memory and uses their index as text.
#ifndef APRICOTWING_TESTS_SIMCODEC_H
#define APRICOTWING_TESTS_SIMCODEC_H

#include "core/records.h"

#include <any>
#include <string>
#include <vector>

namespace apricotwing::simulation {

class SimCodec : public RecordCodec {
public:
  std::string encode(const SessionRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const EpochRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const ShardRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const PoolRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const Config &Value) const override {
    return store(Value);
  }
  std::string encode(const ProposalRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const HistoryRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const IdempotencyRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const RunRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const JournalRecord &Value) const override {
    return store(Value);
  }
  std::string encode(const ShardSnapshot &Value) const override {
    return store(Value);
  }

  SessionRecord decodeSession(const std::string &Text) const override {
    return load<SessionRecord>(Text);
  }
  EpochRecord decodeEpoch(const std::string &Text) const override {
    return load<EpochRecord>(Text);
  }
  ShardRecord decodeShard(const std::string &Text) const override {
    return load<ShardRecord>(Text);
  }
  PoolRecord decodePool(const std::string &Text) const override {
    return load<PoolRecord>(Text);
  }
  Config decodeConfig(const std::string &Text) const override {
    return load<Config>(Text);
  }
  ProposalRecord decodeProposal(const std::string &Text) const override {
    return load<ProposalRecord>(Text);
  }
  HistoryRecord decodeHistory(const std::string &Text) const override {
    return load<HistoryRecord>(Text);
  }
  IdempotencyRecord decodeIdempotency(const std::string &Text) const override {
    return load<IdempotencyRecord>(Text);
  }
  RunRecord decodeRun(const std::string &Text) const override {
    return load<RunRecord>(Text);
  }
  JournalRecord decodeJournal(const std::string &Text) const override {
    return load<JournalRecord>(Text);
  }
  ShardSnapshot decodeSnapshot(const std::string &Text) const override {
    return load<ShardSnapshot>(Text);
  }

private:
  template <typename Record> std::string store(const Record &Value) const {
    Records.emplace_back(Value);
    return std::to_string(Records.size() - 1);
  }

  template <typename Record> Record load(const std::string &Text) const {
    return std::any_cast<Record>(Records.at(std::stoul(Text)));
  }

  mutable std::vector<std::any> Records;
};

} // namespace apricotwing::simulation

#endif
