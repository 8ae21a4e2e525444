#include "process/cluster.h"

#include "core/error.h"
#include "wire/errorcodec.h"

#include <gtest/gtest.h>

#include <signal.h>

namespace apricotwing::process {
namespace {

struct BadCall {
  std::string Method;
  std::string Path;
  std::string Body;
  std::string Key;
  int Status;
  ErrorKind Kind;
};

// Guards against invalid input that is stored, crashes the daemon, or gets a
// response without a stable error code and a remedy.
TEST(InterfaceProcessTest, BadInputGetsTypedErrors) {
  Cluster Target(1);
  Target.addTeam();
  const std::string &Key = Cluster::teamKey();
  const std::string Spec = R"({"kind":"batch","resources":{"cpu_millis":1},)"
                           R"("idempotency_key":"x")";
  const std::vector<BadCall> Calls = {
      {"POST", "/v1/runs", "{", Key, 400, ErrorKind::BadRequest},
      {"POST", "/v1/runs", Spec + ",\"color\":1}", Key, 400,
       ErrorKind::BadRequest},
      {"POST", "/v1/runs", Spec + ",\"tasks\":-1}", Key, 400,
       ErrorKind::BadRequest},
      {"POST", "/v1/runs", Spec + ",\"tasks\":99999999999999999999}", Key, 400,
       ErrorKind::BadRequest},
      {"POST", "/v1/runs", Spec + "}", "no-such-key", 401,
       ErrorKind::UnknownKey},
      {"POST", "/v1/runs", Spec + "}", "", 401, ErrorKind::UnknownKey},
      {"POST", "/v1/runs", Spec + "}", Cluster::firstOwnerKey(), 403,
       ErrorKind::Forbidden},
      {"GET", "/v1/config", "", Key, 403, ErrorKind::Forbidden},
      {"GET", "/v1/runs/none", "", Key, 404, ErrorKind::NotFound},
      {"GET", "/v1/runs?limit=x", "", Key, 400, ErrorKind::BadRequest},
      {"GET", "/nothing", "", Key, 404, ErrorKind::NotFound},
      {"POST", "/v1/request/unknown", "x", Key, 404, ErrorKind::NotFound},
      {"POST", "/v1/runs", std::string(2U << 20, 'x'), Key, 413,
       ErrorKind::TooLarge},
  };
  for (const BadCall &Bad : Calls) {
    const HttpResult Result =
        Target.call(0, Bad.Method, Bad.Path, Bad.Body, Bad.Key);
    EXPECT_EQ(Result.Status, Bad.Status) << Bad.Path << " " << Result.Body;
    const Error Reason = decodeError(Result.Status, Result.Body);
    EXPECT_EQ(errorCode(Reason.kind()), errorCode(Bad.Kind)) << Result.Body;
    EXPECT_NE(Reason.remedy(), "") << Result.Body;
    EXPECT_EQ(Reason.outcome(), Outcome::NotRun) << Result.Body;
  }
  EXPECT_TRUE(decodeRunPage(Target.call(0, "GET", "/v1/runs", "", Key).Body)
                  .Runs.empty());
  EXPECT_EQ(Target.request(0, "still-serving").Outcome, "done");
}

// Guards against concurrent changes of two operators that both take effect, a
// change that needs only one signature, and a conflict response that lacks the
// current version.
TEST(InterfaceProcessTest, RacingOperatorsHaveOneWinner) {
  Cluster Target(3);
  Target.addTeam();
  const std::uint64_t Base = Target.configVersion(0);
  TeamConfig Team;
  Team.Limit.Requests = 5;
  const std::string First =
      Target.propose(0, Base, {SetTeam{"one", Team}}, Cluster::firstOwnerKey());
  const std::string Second = Target.propose(1, Base, {SetTeam{"two", Team}},
                                            Cluster::secondOwnerKey());
  const auto Sign = [&](std::size_t Daemon, const std::string &Proposal,
                        const std::string &Key) {
    return Target.call(Daemon, "POST",
                       "/v1/config/proposals/" + Proposal + "/sign", "", Key);
  };
  EXPECT_EQ(Sign(2, First, Cluster::firstOwnerKey()).Status, 403);
  EXPECT_EQ(Target.configVersion(0), Base);
  const HttpResult Won = Sign(2, First, Cluster::secondOwnerKey());
  EXPECT_EQ(Won.Status, 200) << Won.Body;
  const HttpResult Lost = Sign(0, Second, Cluster::firstOwnerKey());
  EXPECT_EQ(Lost.Status, 409) << Lost.Body;
  EXPECT_EQ(decodeCurrentVersion(Lost.Body), Base + 1);
  for (std::size_t Daemon = 0; Daemon < 3; ++Daemon)
    awaitCondition("the winner is in force everywhere",
                   [&] { return Target.configVersion(Daemon) == Base + 1; });
}

// Guards against a revoked key that still works, also after the restart of an
// instance.
TEST(InterfaceProcessTest, WithdrawnKeyStopsEverywhere) {
  Cluster Target(3);
  Target.addTeam();
  Target.change({RevokeKey{"koksne-1"}}, {0, 1, 2});
  for (std::size_t Daemon = 0; Daemon < 3; ++Daemon) {
    EXPECT_EQ(Target.request(Daemon, "withdrawn").Status, 401);
    EXPECT_EQ(Target
                  .call(Daemon, "POST", "/v1/runs",
                        encodeRunSpec(runSpec("w", 1, 50)), Cluster::teamKey())
                  .Status,
              401);
  }
  Target.signalDaemon(0, SIGKILL);
  Target.waitForExit(0);
  const std::size_t Fresh = Target.startDaemon();
  awaitCondition("configuration after a restart",
                 [&] { return Target.configVersion(Fresh) > 0; });
  awaitCondition("ready", [&] {
    return Target.call(Fresh, "GET", "/readyz", "", "").Status == 200;
  });
  EXPECT_EQ(Target.request(Fresh, "withdrawn").Status, 401);
  EXPECT_EQ(Target.counts()["bodies"].value("withdrawn", 0), 0);
}

} // namespace
} // namespace apricotwing::process
