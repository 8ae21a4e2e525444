#include "daemon/api.h"
#include "daemon/daemonfixture.h"

#include "httpclient/crypto.h"
#include "wire/runcodec.h"

#include <memory>

namespace apricotwing {
namespace {

constexpr int StatusUnauthorized = 401;

/// Answer of one call; shared with its responder.
struct PendingAnswer {
  std::atomic<int> Status{0}; ///< 0 until the response arrives.
};

class ApiTest : public DaemonFixture {
protected:
  ApiTest() {
    Interface.setConfig(*Session.config());
    Requests.setConfig(*Session.config());
    Requests.resetGrants(Session.sessionId());
  }
  ~ApiTest() override { Table.release(); }

  std::shared_ptr<PendingAnswer> call(const std::string &Method,
                                      const std::string &Path,
                                      const std::string &Body = {}) {
    HttpRequest Request;
    Request.Method = Method;
    Request.Path = Path;
    Request.Headers["authorization"] = "Bearer " + Key;
    Request.Body = Body;
    auto Answer = std::make_shared<PendingAnswer>();
    Interface.handle(Request, [Answer](const HttpResponse &Response) {
      Answer->Status = Response.Status;
    });
    return Answer;
  }

  static int statusOf(const std::shared_ptr<PendingAnswer> &Answer) {
    waitUntil([&] { return Answer->Status != 0; });
    return Answer->Status;
  }

  static std::string runBody() {
    RunSpec Spec;
    Spec.PerTask = {100, 100, 0};
    Spec.IdempotencyKey = "idempotency-key";
    return encodeRunSpec(Spec);
  }

  InstanceListService Instances{Context, [](const InstanceSnapshot &) {}};
  RequestService Requests{Context, [] {}};
  ShardRunner Shards{Context, Instances};
  RunService Runs{Context, Shards,
                  [](const std::string &, const TeamName &, const RunId &) {
                    return std::nullopt;
                  }};
  Api Interface{Context, Api::ServiceRefs{Requests, Runs, Shards, Instances,
                                          Ledger, [] { return StateDump(); },
                                          [] { return std::string(); }, [] {}}};
};

// Guards against a key that was withdrawn long ago being accepted by a process
// that has just regained its authority.
TEST_F(ApiTest, WithdrawnKeyIsRefusedAsSoonAsTheSessionIsRenewed) {
  Time.advance(Options.Authority.Valid);
  withdrawKey();
  EXPECT_EQ(statusOf(call("POST", "/v1/runs", runBody())), StatusUnauthorized);
  EXPECT_EQ(statusOf(call("POST", "/v1/request/" + Upstream)),
            StatusUnauthorized);
}

// Guards against an interactive request that is sent for a withdrawn key.
TEST_F(ApiTest, RequestOfAWithdrawnKeyIsRefusedByTheRouter) {
  withdrawKey();
  IncomingRequest Incoming;
  Incoming.Metadata = {"id",     "team", sha256Hex(Key),
                       Upstream, false,  Time.now() + Duration(1000)};
  std::atomic<int> Status{0};
  Incoming.Respond = [&Status](const HttpResponse &Response) {
    Status = Response.Status;
  };
  Requests.submit(std::move(Incoming));
  EXPECT_TRUE(waitUntil([&] { return Status != 0; }));
  EXPECT_EQ(Status, StatusUnauthorized);
}

// Guards against a call that waited for a thread, or in a paused process, and
// is carried out although its key was withdrawn meanwhile.
TEST_F(ApiTest, CallThatWaitedIsRefusedOnceItsKeyIsWithdrawn) {
  Table.hold(keys::runPrefix("team"));
  std::vector<std::shared_ptr<PendingAnswer>> Earlier;
  const auto IsPoolBusy = [&] {
    Earlier.push_back(call("GET", "/v1/runs"));
    return Interface.openCalls() >= 16;
  };
  ASSERT_TRUE(waitUntil(IsPoolBusy));
  const auto Submission = call("POST", "/v1/runs", runBody());
  withdrawKey();
  Interface.setConfig(*Session.config());
  Table.release();
  EXPECT_EQ(statusOf(Submission), StatusUnauthorized);
  EXPECT_TRUE(Table.scan(keys::runPrefix("team"), {}, 10).empty());
  EXPECT_TRUE(waitUntil([&] { return Interface.openCalls() == 0; }));
}

} // namespace
} // namespace apricotwing
