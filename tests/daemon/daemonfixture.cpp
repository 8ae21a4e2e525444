#include "daemon/daemonfixture.h"

#include "httpclient/crypto.h"

#include <chrono>
#include <thread>

namespace apricotwing {

RowVersion MemoryTable::versionOf(const std::string &Key) const {
  const auto Found = Rows.find(Key);
  return Found == Rows.end() ? 0 : Found->second.Version;
}

CommitResult MemoryTable::transact(const Transaction &Change) {
  const std::lock_guard Lock(Mutex);
  for (const RowCondition &Condition : Change.Conditions)
    if (versionOf(Condition.Key) != Condition.Version)
      return CommitResult::Conflict;
  ++LastVersion;
  for (const RowWrite &Write : Change.Writes)
    if (Write.Value)
      Rows[Write.Key] = {Write.Key, LastVersion, Change.Id, *Write.Value};
    else
      Rows.erase(Write.Key);
  return CommitResult::Committed;
}

std::optional<Row> MemoryTable::read(const std::string &Key) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Rows.find(Key);
  if (Found == Rows.end())
    return std::nullopt;
  return Found->second;
}

std::vector<Row> MemoryTable::scan(const std::string &Prefix,
                                   const std::string &After,
                                   std::uint32_t Limit) {
  std::unique_lock Lock(Mutex);
  Released.wait(Lock, [&] {
    return HeldPrefix.empty() || !Prefix.starts_with(HeldPrefix);
  });
  std::vector<Row> Result;
  for (auto It = Rows.lower_bound(Prefix);
       It != Rows.end() && It->first.starts_with(Prefix); ++It)
    if (It->first > After && Result.size() < Limit)
      Result.push_back(It->second);
  return Result;
}

void MemoryTable::hold(const std::string &Prefix) {
  const std::lock_guard Lock(Mutex);
  HeldPrefix = Prefix;
}

void MemoryTable::release() {
  const std::lock_guard Lock(Mutex);
  HeldPrefix.clear();
  Released.notify_all();
}

Settings DaemonFixture::testSettings() {
  Settings Result;
  Result.Instance.Id = "a";
  Result.Scheduler.Tick = Duration(10);
  Result.Scheduler.ShardsPerCell = 1;
  Result.Scheduler.WorkerLease = Duration(15'000);
  Result.Scheduler.WorkerRenew = Duration(3'000);
  Result.Scheduler.Keepalive = Duration(900'000);
  Result.Requests.Threads = 2;
  Result.Requests.QueuePerTeam = 64;
  Result.Requests.MaxDeadline = Duration(10'000);
  return Result;
}

Config DaemonFixture::testConfig() {
  Config Result;
  Result.Teams["team"].Limit = {{1000, 1000, 0}, 4};
  Result.Keys["key"] = {"team", sha256Hex(Key)};
  Result.Upstreams[Upstream] = {};
  return Result;
}

DaemonFixture::DaemonFixture()
    : Options(testSettings()),
      Logger(Time, LogLevel::Error, [](LogLevel, const std::string &) {}),
      Metrics(Time), Ids("a-1"),
      Session(Table, Peers, Codec, Time, Ids, {"a", "a:1", "a:2", "z"},
              Options.Authority),
      Context{Options, Time, Logger,  Metrics,   Codec, Ids,    Table,
              Objects, List, Workers, Upstreams, Peers, Session},
      Ledger(Table, Codec, Time, Ids, Session) {
  Ledger.bootstrap(testConfig());
  EXPECT_EQ(Session.renew().Outcome, RoundOutcome::Renewed);
}

void DaemonFixture::withdrawKey() {
  Config Next = *Session.config();
  ++Next.Version;
  Next.Keys.clear();
  Transaction Change;
  Change.Id = Ids.next();
  Change.Writes = {{keys::ConfigCurrent, Codec.encode(Next)}};
  Table.transact(Change);
  EXPECT_EQ(Session.renew().Outcome, RoundOutcome::Renewed);
}

bool DaemonFixture::waitUntil(const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

} // namespace apricotwing
