/// \file
/// The dependencies of a daemon's services, in memory.
#ifndef APRICOTWING_TESTS_DAEMON_DAEMONFIXTURE_H
#define APRICOTWING_TESTS_DAEMON_DAEMONFIXTURE_H

#include "core/configledger.h"
#include "daemon/context.h"
#include "wire/jsonrecordcodec.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

/// A clock that only advances when a test calls advance(). Thread-safe.
class SharedClock final : public Clock {
public:
  TimePoint now() const override { return TimePoint(Duration(NowMs)); }

  void advance(Duration Time) { NowMs += Time.count(); }

private:
  std::atomic<TimePoint::rep> NowMs{1'000'000};
};

/// A table service in memory whose reads can be held up. Thread-safe.
class MemoryTable final : public TableService {
public:
  CommitResult transact(const Transaction &Change) override;
  std::optional<Row> read(const std::string &Key) override;
  std::vector<Row> scan(const std::string &Prefix, const std::string &After,
                        std::uint32_t Limit) override;

  /// Makes scans of keys that start with \p Prefix wait for release().
  void hold(const std::string &Prefix);
  void release();

private:
  RowVersion versionOf(const std::string &Key) const;

  std::mutex Mutex;
  std::condition_variable Released;
  std::map<std::string, Row> Rows;
  RowVersion LastVersion = 0;
  std::string HeldPrefix;
};

class MemoryObjects final : public ObjectStore {
public:
  void put(const std::string &, const std::string &) override {}
  std::optional<std::string> read(const std::string &) override {
    return std::nullopt;
  }
  void remove(const std::string &) override {}
};

class FixedInstanceList final : public InstanceList {
public:
  InstanceSnapshot read() override { return Snapshot; }

  InstanceSnapshot Snapshot; ///< Set before the first thread reads it.
};

/// Workers that answer renewals without tasks. Thread-safe.
class IdleWorkers final : public WorkerClient {
public:
  LeaseAnswer renew(const std::string &, const LeaseRenewal &) override {
    ++Renewals;
    return {};
  }
  void start(const std::string &, const TaskStart &) override {}
  void stop(const std::string &, const TaskStop &) override {}

  std::atomic<int> Renewals{0};
};

/// Executors whose answers are always lost. Thread-safe.
class SilentExecutors final : public UpstreamClient {
public:
  UpstreamAnswer send(const UpstreamRequest &Request) override {
    UpstreamAnswer Answer;
    Answer.Result =
        Request.MaySend() ? SendResult::InDoubt : SendResult::NotSent;
    return Answer;
  }
};

class NoPeers final : public PeerClient {
public:
  std::optional<PeerPromise>
  requestPromise(const std::string &, const InstanceId &, Epoch) override {
    return std::nullopt;
  }
  void notify(const std::string &, const ShardId &) override {}
};

/// Fixture with a DaemonContext whose session is valid under a configuration
/// with team "team" and key "key".
class DaemonFixture : public testing::Test {
protected:
  static inline const std::string Key = "secret-of-the-team";
  static inline const std::string Upstream = "fit";

  DaemonFixture();

  /// Stores the next version of the configuration, without the key, and lets
  /// the session read it.
  void withdrawKey();

  /// Waits for a condition; returns false if it does not hold for a long time.
  static bool waitUntil(const std::function<bool()> &Condition);

  Settings Options;
  SharedClock Time;
  Log Logger;
  DaemonMetrics Metrics;
  JsonRecordCodec Codec;
  TransactionIds Ids;
  MemoryTable Table;
  MemoryObjects Objects;
  FixedInstanceList List;
  IdleWorkers Workers;
  SilentExecutors Upstreams;
  NoPeers Peers;
  SessionManager Session;
  DaemonContext Context;
  ConfigLedger Ledger;

private:
  static Settings testSettings();
  static Config testConfig();
};

} // namespace apricotwing

#endif
