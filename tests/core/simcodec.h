/// \file
/// Codec for tests that keeps records in memory and uses their number as text.
#ifndef APRICOTWING_TESTS_SIMCODEC_H
#define APRICOTWING_TESTS_SIMCODEC_H

#include "core/records.h"

#include <any>
#include <string>
#include <vector>

namespace apricotwing::simulation {

class SimCodec : public RecordCodec {
public:
  std::string encode(const SessionRecord &R) const override { return put(R); }
  std::string encode(const EpochRecord &R) const override { return put(R); }
  std::string encode(const ShardRecord &R) const override { return put(R); }
  std::string encode(const PoolRecord &R) const override { return put(R); }
  std::string encode(const Config &R) const override { return put(R); }
  std::string encode(const ProposalRecord &R) const override { return put(R); }
  std::string encode(const HistoryRecord &R) const override { return put(R); }
  std::string encode(const IdempotencyRecord &R) const override {
    return put(R);
  }
  std::string encode(const RunRecord &R) const override { return put(R); }
  std::string encode(const JournalRecord &R) const override { return put(R); }
  std::string encode(const ShardSnapshot &R) const override { return put(R); }

  SessionRecord decodeSession(const std::string &Text) const override {
    return at<SessionRecord>(Text);
  }
  EpochRecord decodeEpoch(const std::string &Text) const override {
    return at<EpochRecord>(Text);
  }
  ShardRecord decodeShard(const std::string &Text) const override {
    return at<ShardRecord>(Text);
  }
  PoolRecord decodePool(const std::string &Text) const override {
    return at<PoolRecord>(Text);
  }
  Config decodeConfig(const std::string &Text) const override {
    return at<Config>(Text);
  }
  ProposalRecord decodeProposal(const std::string &Text) const override {
    return at<ProposalRecord>(Text);
  }
  HistoryRecord decodeHistory(const std::string &Text) const override {
    return at<HistoryRecord>(Text);
  }
  IdempotencyRecord decodeIdempotency(const std::string &Text) const override {
    return at<IdempotencyRecord>(Text);
  }
  RunRecord decodeRun(const std::string &Text) const override {
    return at<RunRecord>(Text);
  }
  JournalRecord decodeJournal(const std::string &Text) const override {
    return at<JournalRecord>(Text);
  }
  ShardSnapshot decodeSnapshot(const std::string &Text) const override {
    return at<ShardSnapshot>(Text);
  }

private:
  template <typename Record> std::string put(const Record &Value) const {
    Records.emplace_back(Value);
    return std::to_string(Records.size() - 1);
  }

  template <typename Record> Record at(const std::string &Text) const {
    return std::any_cast<Record>(Records.at(std::stoul(Text)));
  }

  mutable std::vector<std::any> Records;
};

} // namespace apricotwing::simulation

#endif
