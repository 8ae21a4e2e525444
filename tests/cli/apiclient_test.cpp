#include "cli/apiclient.h"
#include "cli/faketransport.h"
#include "support/fixedseeds.h"

#include <gtest/gtest.h>

namespace apricotwing {
namespace {

ApiClient makeClient(Transport &Network, std::size_t Servers) {
  ApiClient::Options Settings;
  for (std::size_t Server = 1; Server <= Servers; ++Server)
    Settings.Servers.push_back("http://127.0.0.1:" + std::to_string(Server));
  return {Network, Settings, [](Duration) {}};
}

Outcome failureOutcome(ApiClient &Client, const ApiCall &Call) {
  try {
    Client.call(Call);
  } catch (const Error &Failure) {
    return Failure.outcome();
  }
  return Outcome::Done;
}

const ApiCall OnceCall{.Method = "POST", .Path = "/v1/request/fitquote"};
const ApiCall RepeatableCall{.Method = "POST",
                             .Path = "/v1/runs",
                             .Retry = RetryPolicy::Always,
                             .MaxRounds = 2};

// Guards against a non-idempotent request that runs twice, at two instances.
TEST(ApiClientTest, TriesTheNextServerOnlyIfTheCallDidNotRun) {
  FakeTransport Network;
  Network.loseConnection(Outcome::NotRun)
      .refuse(ErrorKind::NoAuthority, Outcome::NotRun)
      .answer(200, "answer");
  ApiClient Client = makeClient(Network, 3);
  EXPECT_EQ(Client.call(OnceCall), "answer");
  ASSERT_EQ(Network.Sent.size(), 3U);
  EXPECT_EQ(Network.Sent[2].Url, "http://127.0.0.1:3/v1/request/fitquote");

  FakeTransport Doubtful;
  Doubtful.loseConnection(Outcome::Unknown).answer(200, "second");
  ApiClient Careful = makeClient(Doubtful, 2);
  EXPECT_EQ(failureOutcome(Careful, OnceCall), Outcome::Unknown);
  EXPECT_EQ(Doubtful.Sent.size(), 1U);
}

// Guards against trying every instance with a call that all of them refuse for
// the same reason.
TEST(ApiClientTest, ReportsARefusalThatAllServersShare) {
  for (const ErrorKind Kind :
       {ErrorKind::UnknownKey, ErrorKind::ConfigConflict, ErrorKind::BadRequest,
        ErrorKind::Overloaded, ErrorKind::LimitReached}) {
    FakeTransport Network;
    Network.refuse(Kind, Outcome::NotRun).answer(200, "second");
    ApiClient Client = makeClient(Network, 2);
    EXPECT_EQ(failureOutcome(Client, RepeatableCall), Outcome::NotRun);
    EXPECT_EQ(Network.Sent.size(), 1U);
  }
}

// Guards against reporting a call as not run although an earlier attempt may
// have run: the user would then submit the work a second time.
TEST(ApiClientTest, RemembersAnAttemptWithoutOutcome) {
  FakeTransport Network;
  Network.loseConnection(Outcome::Unknown)
      .loseConnection(Outcome::NotRun)
      .loseConnection(Outcome::NotRun)
      .loseConnection(Outcome::NotRun)
      .loseConnection(Outcome::NotRun);
  ApiClient Client = makeClient(Network, 2);
  EXPECT_EQ(failureOutcome(Client, RepeatableCall), Outcome::Unknown);
  EXPECT_EQ(Network.Sent.size(), 4U);
  EXPECT_EQ(failureOutcome(Client, OnceCall), Outcome::Unknown)
      << "the answer with status 500 has no outcome";
}

enum class Reply { Refused, Lost, Answered };

void runsAtMostOnceAndNeverDeniesARun() {
  const auto Servers = *rc::gen::inRange<std::size_t>(1, 5);
  const auto Replies = *rc::gen::container<std::vector<Reply>>(
      8, rc::gen::element(Reply::Refused, Reply::Lost, Reply::Answered));
  FakeTransport Network;
  for (const Reply Next : Replies) {
    if (Next == Reply::Answered)
      Network.answer(200, "answer");
    else
      Network.loseConnection(Next == Reply::Refused ? Outcome::NotRun
                                                    : Outcome::Unknown);
  }
  ApiClient Client = makeClient(Network, Servers);
  ApiCall Call = OnceCall;
  Call.MaxRounds = *rc::gen::inRange<std::uint32_t>(1, 3);
  const Outcome Result = failureOutcome(Client, Call);
  std::size_t MayHaveRun = 0;
  for (std::size_t Attempt = 0; Attempt < Network.Sent.size(); ++Attempt)
    MayHaveRun += Replies.at(Attempt) != Reply::Refused;
  RC_ASSERT(MayHaveRun <= 1U);
  RC_ASSERT((Result == Outcome::NotRun) == (MayHaveRun == 0));
}

// Guards against sequences of failures after which a call that must run at most
// once has run twice, or is reported as not run although it may have run.
TEST(ApiClientProperty, RunsAtMostOnceAndNeverDeniesARun) {
  checkWithFixedSeeds(runsAtMostOnceAndNeverDeniesARun, 250);
}

} // namespace
} // namespace apricotwing
