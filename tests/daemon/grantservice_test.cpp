#include "daemon/daemonfixture.h"
#include "daemon/grantservice.h"

#include "httpclient/crypto.h"

namespace apricotwing {
namespace {

class GrantServiceTest : public DaemonFixture {
protected:
  GrantServiceTest() {
    ListedExecutor Executor;
    Executor.Id = "e1";
    Executor.Upstream = Upstream;
    Executor.Address = "127.0.0.1:1";
    List.Snapshot.Executors = {Executor};
  }

  std::int64_t granted(const std::string &Pool, const std::string &Unit) {
    const std::optional<Row> Found = Table.read(Pool);
    if (!Found)
      return 0;
    const auto Grants = Codec.decodePool(Found->Value).Grants;
    const auto Own = Grants.find(toString(Session.sessionId()));
    return Own != Grants.end() && Own->second.contains(Unit)
               ? Own->second.at(Unit)
               : 0;
  }
};

// Guards against an executor that runs more requests than its slots, because
// an instance that shut down gave back the slot of a request without answer.
TEST_F(GrantServiceTest, ShutdownKeepsTheSlotOfARequestWithoutAnswer) {
  RequestService Requests(Context, [] {});
  Requests.setConfig(*Session.config());
  InstanceListService Instances(Context, [&](const InstanceSnapshot &Snapshot) {
    Requests.setExecutors(Snapshot.Executors);
  });
  GrantService Grants(Context, Requests, Instances);
  ASSERT_TRUE(waitUntil([&] {
    return Requests.withRouter([&](RequestRouter &Router) {
      return !Router.releasableSlots(Upstream, Time.now()).empty() ||
             Router.stats().SlotsGranted > 0;
    });
  }));
  IncomingRequest Incoming;
  Incoming.Metadata = {"id",     "team", sha256Hex(Key),
                       Upstream, false,  Time.now() + Duration(5000)};
  std::atomic<bool> IsAnswered{false};
  Incoming.Respond = [&](const HttpResponse &) { IsAnswered = true; };
  Requests.submit(std::move(Incoming));
  ASSERT_TRUE(waitUntil([&] { return IsAnswered.load(); }));
  ASSERT_EQ(Requests.open(), 0U);
  Grants.finish();
  EXPECT_EQ(granted(keys::executorPool(Upstream), "e1"), 1);
  EXPECT_EQ(granted(keys::requestPool("team"), "requests"), 1);
}

// Guards against a team above its limit, because a limit that was written once
// is taken for stored although a slow instance has restored the older one.
TEST_F(GrantServiceTest, LimitThatWasOverwrittenIsRestored) {
  RequestService Requests(Context, [] {});
  Requests.setConfig(*Session.config());
  InstanceListService Instances(Context, [](const InstanceSnapshot &) {});
  GrantService Grants(Context, Requests, Instances);
  const std::string Pool = keys::requestPool("team");
  const auto Capacity = [&]() -> std::int64_t {
    const std::optional<Row> Found = Table.read(Pool);
    return Found ? Codec.decodePool(Found->Value).Capacity.at("requests") : 0;
  };
  ASSERT_TRUE(waitUntil([&] { return Capacity() == 4; }));
  PoolRecord Outdated = Codec.decodePool(Table.read(Pool)->Value);
  Outdated.Capacity["requests"] = 100;
  Transaction Change;
  Change.Id = Ids.next();
  Change.Writes = {{Pool, Codec.encode(Outdated)}};
  Table.transact(Change);
  const TimePoint End = Time.now() + Duration(7000);
  EXPECT_TRUE(waitUntil([&] {
    Time.advance(Duration(Time.now() < End ? 10 : 0));
    return Capacity() == 4;
  }));
}

} // namespace
} // namespace apricotwing
