#include "core/error.h"
#include "core/fairqueue.h"
#include "core/keyauthenticator.h"
#include "core/requestrouter.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Epoch0{100s};

ListedExecutor executor(const std::string &Id, const std::string &Zone = "a",
                        ListedState State = ListedState::Live) {
  return {Id, "u", "127.0.0.1:" + Id, Zone, State};
}

/// A router with the team "t" (limit 100), the upstream "u" with 8 slots, and
/// the given executors with 8 granted slots each.
struct RouterFixture {
  explicit RouterFixture(const std::vector<ListedExecutor> &List,
                         std::size_t QueueTotal = 1024)
      : Router({"i1", "a", 64, QueueTotal}) {
    Settings.Teams["t"].Limit.Requests = 100;
    Settings.Upstreams["u"] = {};
    Router.setConfig(Settings);
    Router.setExecutors(List, Now);
    Router.setAuthority(Now + 1h);
    RequestRouter::Amounts Slots;
    for (const ListedExecutor &Entry : List)
      Slots[Entry.Id] = 8;
    Router.setSlotGrants("u", Slots);
    Router.setTeamGrants({{"t", 100}});
  }

  void addTeam(const TeamName &Team, std::uint32_t Share, std::int64_t Grant) {
    Settings.Teams[Team] = {Share, {{}, 100}};
    Router.setConfig(Settings);
    Grants[Team] = Grant;
    Router.setTeamGrants(Grants);
  }

  RequestMetadata makeRequest(const TeamName &Team = "t",
                              bool Idempotent = false, Duration Time = 2s) {
    return {"r" + std::to_string(++Ids), Team, "", "u", Idempotent, Now + Time};
  }

  /// Returns the kind of the error; empty if the request was accepted.
  std::optional<ErrorKind> submit(const RequestMetadata &Metadata) {
    try {
      Router.submit(Metadata, Now);
    } catch (const Error &Refusal) {
      EXPECT_EQ(Refusal.outcome(), Outcome::NotRun);
      return Refusal.kind();
    }
    return std::nullopt;
  }

  RequestSend sendOne(const RequestMetadata &Metadata) {
    EXPECT_EQ(submit(Metadata), std::nullopt);
    const DispatchResult Result = Router.dispatch(Now);
    EXPECT_EQ(Result.Sends.size(), 1U);
    return Result.Sends.empty() ? RequestSend{} : Result.Sends.front();
  }

  CompletionResult report(const RequestSend &Send, SendResult Result,
                          Duration Latency = 10ms, bool Leaving = false) {
    return Router.complete(
        {Send.Id, Send.Attempt, Result, 200, Leaving, Latency, "test"}, Now);
  }

  TimePoint Now = Epoch0;
  Config Settings;
  RequestRouter::Amounts Grants = {{"t", 100}};
  RequestRouter Router;
  int Ids = 0;
};

// Guards against a second execution of a non-idempotent request, and against
// the outcome NotRun for a request that may have run.
TEST(RequestRouterTest, SecondSendsFollowTheResultOfTheFirst) {
  struct Row {
    bool Idempotent;
    SendResult First;
    CompletionAction Action;
  };
  for (const Row &Case : {
           Row{false, SendResult::Answered, CompletionAction::Deliver},
           Row{false, SendResult::NotSent, CompletionAction::Retry},
           Row{false, SendResult::Refused, CompletionAction::Retry},
           Row{false, SendResult::InDoubt, CompletionAction::Fail},
           Row{true, SendResult::InDoubt, CompletionAction::Retry},
       }) {
    RouterFixture Fixture({executor("1"), executor("2")});
    const RequestSend First =
        Fixture.sendOne(Fixture.makeRequest("t", Case.Idempotent));
    const CompletionResult Step = Fixture.report(First, Case.First);
    EXPECT_EQ(Step.Action, Case.Action) << int(Case.First);
    if (Step.Action == CompletionAction::Fail) {
      EXPECT_EQ(Step.Failure->outcome(), Outcome::Unknown);
    }
    EXPECT_EQ(Fixture.report(First, SendResult::Answered).Action,
              CompletionAction::Ignore);
    const DispatchResult Again = Fixture.Router.dispatch(Fixture.Now);
    if (Case.Action != CompletionAction::Retry) {
      EXPECT_TRUE(Again.Sends.empty());
      continue;
    }
    ASSERT_EQ(Again.Sends.size(), 1U);
    EXPECT_NE(Again.Sends[0].Executor, First.Executor);
    const CompletionResult Last =
        Fixture.report(Again.Sends[0], SendResult::Refused);
    ASSERT_EQ(Last.Action, CompletionAction::Fail);
    EXPECT_EQ(Last.Failure->outcome(), Case.First == SendResult::InDoubt
                                           ? Outcome::Unknown
                                           : Outcome::NotRun);
  }
}

// Guards against more requests on an executor than it has slots after a
// response was lost: the executor may work on the request after the caller's
// deadline.
TEST(RequestRouterTest, ASlotInDoubtStaysTakenForTheLongestDeadline) {
  RouterFixture Fixture({executor("1")});
  Fixture.Router.setSlotGrants("u", {{"1", 1}});
  const RequestSend Lost = Fixture.sendOne(Fixture.makeRequest());
  Fixture.Now += 100ms;
  Fixture.report(Lost, SendResult::InDoubt);
  const TimePoint Until = Fixture.Now + RouterOptions().MaxDeadline;
  Fixture.Now = Until - 1s;
  ASSERT_EQ(Fixture.submit(Fixture.makeRequest("t", false, 5s)), std::nullopt);
  Fixture.Now = Until - 1ms;
  EXPECT_TRUE(Fixture.Router.dispatch(Fixture.Now).Sends.empty());
  EXPECT_EQ(Fixture.Router.usedSlots("u"), (RequestRouter::Amounts{{"1", 1}}));
  EXPECT_EQ(Fixture.Router.nextWakeup(), Until);
  Fixture.Now = Until;
  EXPECT_EQ(Fixture.Router.dispatch(Fixture.Now).Sends.size(), 1U);
}

// Guards against accepting requests that cannot or must not run, and against
// errors of the wrong kind.
TEST(RequestRouterTest, RefusesWhatCannotRun) {
  RouterFixture Fixture({executor("1")});
  RequestMetadata Other = Fixture.makeRequest();
  Other.Upstream = "nowhere";
  EXPECT_EQ(Fixture.submit(Other), ErrorKind::NotFound);
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest("stranger")),
            ErrorKind::Forbidden);
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest("t", false, 11s)),
            ErrorKind::BadRequest);
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest("t", false, 1ms)),
            ErrorKind::DeadlineExceeded);
  Fixture.Settings.Teams["none"];
  Fixture.Settings.Keys["k"] = {"t", "hash"};
  Fixture.Router.setConfig(Fixture.Settings);
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest("none")),
            ErrorKind::LimitReached);
  Fixture.Router.setSlotGrants("u", {});
  RequestMetadata Keyed = Fixture.makeRequest();
  Keyed.KeySha256 = "hash";
  EXPECT_EQ(Fixture.submit(Keyed), std::nullopt);
  Fixture.Settings.Keys.clear();
  Fixture.Router.setConfig(Fixture.Settings);
  EXPECT_EQ(Fixture.submit(Keyed), ErrorKind::UnknownKey);
  const DispatchResult Result = Fixture.Router.dispatch(Fixture.Now);
  ASSERT_EQ(Result.Failures.size(), 1U);
  EXPECT_EQ(Result.Failures[0].Reason.kind(), ErrorKind::UnknownKey);
  for (int I = 0; I < 64; ++I)
    EXPECT_EQ(Fixture.submit(Fixture.makeRequest()), std::nullopt);
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest()), ErrorKind::Overloaded);
  Fixture.Router.setAuthority(Fixture.Now);
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest()), ErrorKind::NoAuthority);
  Fixture.Router.drain();
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest()), ErrorKind::Draining);
  EXPECT_EQ(Fixture.Router.failQueued(Fixture.Now).size(), 64U);
  Fixture.Router.setExecutors({}, Fixture.Now);
  EXPECT_EQ(Fixture.Router.open(), 0U);
}

// Guards against queueing requests that would fail at their deadline, and
// against rejecting requests that can meet theirs.
TEST(RequestRouterTest, RejectsRequestsThatWouldMissTheirDeadline) {
  RouterFixture Fixture({executor("1")});
  Fixture.Router.setSlotGrants("u", {{"1", 1}});
  RequestSend Running = Fixture.sendOne(Fixture.makeRequest());
  Fixture.Now += 500ms;
  Fixture.report(Running, SendResult::Answered, 500ms);
  Running = Fixture.sendOne(Fixture.makeRequest("t", false, 10s));
  int Accepted = 0;
  while (Fixture.submit(Fixture.makeRequest("t", false, 2s)) == std::nullopt)
    ++Accepted;
  // Each takes 500 ms, so about three can finish within 2 s.
  EXPECT_GE(Accepted, 2);
  EXPECT_LE(Accepted, 4);
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest("t", false, 10s)), std::nullopt);
}

// Guards against a large client account that starves small ones. The shares
// must hold under a permanent backlog, and a full queue must evict requests of
// a large team in favor of a small one.
TEST(RequestRouterTest, ALargeTeamDoesNotStarveSmallOnes) {
  RouterFixture Fixture({executor("1")}, 100);
  Fixture.Router.setSlotGrants("u", {{"1", 4}});
  Fixture.addTeam("large", 3, 100);
  Fixture.addTeam("small", 1, 100);
  for (const char *Team : {"large", "t"})
    for (int I = 0; I < 50; ++I)
      ASSERT_EQ(Fixture.submit(Fixture.makeRequest(Team, false, 9s)),
                std::nullopt);
  for (int I = 0; I < 20; ++I)
    ASSERT_EQ(Fixture.submit(Fixture.makeRequest("small", false, 9s)),
              std::nullopt);
  EXPECT_EQ(Fixture.Router.stats().Queued, 100U);
  std::map<char, int> Served;
  std::size_t Displaced = 0;
  for (int Round = 0; Round < 10; ++Round) {
    const DispatchResult Result = Fixture.Router.dispatch(Fixture.Now);
    Displaced += Result.Failures.size();
    for (const RequestSend &Send : Result.Sends) {
      const int Number = std::stoi(Send.Id.substr(1));
      ++Served[Number <= 50 ? 'l' : Number <= 100 ? 't' : 's'];
      Fixture.report(Send, SendResult::Answered);
    }
  }
  EXPECT_EQ(Displaced, 20U);
  // 40 sends in the proportion 3 : 1 : 1.
  EXPECT_NEAR(Served['l'], 24, 1);
  EXPECT_NEAR(Served['t'], 8, 1);
  EXPECT_NEAR(Served['s'], 8, 1);
}

// Guards against a team that was blocked by its limit and afterwards catches up
// at the expense of the others.
TEST(FairQueueTest, ABlockedTeamDoesNotCatchUp) {
  FairQueue Queue;
  std::uint64_t Sequence = 0;
  for (const char *Team : {"held", "free"})
    for (int I = 0; I < 100; ++I)
      Queue.push(Team, 1, {Epoch0, ++Sequence});
  const auto Take = [](const QueueEntry &) { return true; };
  for (int I = 0; I < 50; ++I)
    Queue.serveOne([](const TeamName &Team) { return Team == "free"; }, Take);
  int Held = 0;
  for (int I = 0; I < 20; ++I)
    Queue.serveOne([](const TeamName &) { return true; },
                   [&Held](const QueueEntry &Entry) {
                     Held += Entry.Sequence <= 100;
                     return true;
                   });
  EXPECT_NEAR(Held, 10, 1);
  EXPECT_EQ(Queue.size(), 130U);
}

// Guards against a team above its limit, an executor above its lowered slots,
// and an order in which a team's urgent request expires behind a less urgent
// one.
TEST(RequestRouterTest, KeepsTeamLimitsAndDeadlineOrder) {
  RouterFixture Fixture({executor("1")});
  Fixture.addTeam("few", 1, 2);
  RequestMetadata Late = Fixture.makeRequest("few", false, 5s);
  RequestMetadata Soon = Fixture.makeRequest("few", false, 1s);
  RequestMetadata Middle = Fixture.makeRequest("few", false, 3s);
  for (const RequestMetadata *Metadata : {&Late, &Soon, &Middle})
    ASSERT_EQ(Fixture.submit(*Metadata), std::nullopt);
  const DispatchResult Result = Fixture.Router.dispatch(Fixture.Now);
  ASSERT_EQ(Result.Sends.size(), 2U);
  EXPECT_EQ(Result.Sends[0].Id, Soon.Id);
  EXPECT_EQ(Result.Sends[1].Id, Middle.Id);
  for (int I = 0; I < 10; ++I)
    ASSERT_EQ(Fixture.submit(Fixture.makeRequest()), std::nullopt);
  Fixture.Settings.Upstreams["u"].Connections = 3;
  Fixture.Router.setConfig(Fixture.Settings);
  EXPECT_EQ(Fixture.Router.dispatch(Fixture.Now).Sends.size(), 1U);
}

// Guards against sending requests to a busy, slow or remote executor when there
// is a better one.
TEST(RequestRouterTest, PrefersFreeSlotsThenLatencyThenZone) {
  RouterFixture Fixture(
      {executor("1", "b"), executor("2", "a"), executor("3", "b")});
  const RequestSend InZone = Fixture.sendOne(Fixture.makeRequest());
  EXPECT_EQ(InZone.Executor, "2");
  Fixture.report(InZone, SendResult::Answered, 400ms);
  const RequestSend Fast = Fixture.sendOne(Fixture.makeRequest());
  EXPECT_EQ(Fast.Executor, "1");
  EXPECT_EQ(Fixture.sendOne(Fixture.makeRequest()).Executor, "3");
  EXPECT_EQ(Fixture.sendOne(Fixture.makeRequest()).Executor, "2");
}

// Guards against requests that are sent to an executor that keeps failing, and
// against ejecting all executors.
TEST(RequestRouterTest, EjectsFailingExecutorsWithBackoff) {
  RouterFixture Fixture({executor("1"), executor("2")});
  int FailedSends = 0;
  const auto RunFor = [&Fixture, &FailedSends](Duration Time) {
    for (const TimePoint End = Fixture.Now + Time; Fixture.Now < End;
         Fixture.Now += 100ms) {
      EXPECT_EQ(Fixture.submit(Fixture.makeRequest()), std::nullopt);
      for (DispatchResult Result = Fixture.Router.dispatch(Fixture.Now);
           !Result.Sends.empty();
           Result = Fixture.Router.dispatch(Fixture.Now)) {
        const RequestSend &Send = Result.Sends.front();
        FailedSends += Send.Executor == "1";
        Fixture.report(Send, Send.Executor == "1" ? SendResult::NotSent
                                                  : SendResult::Answered);
      }
    }
  };
  RunFor(500ms);
  EXPECT_EQ(FailedSends, 3);
  // Ejected at 0.2 s for 1, 2, 4, 8 and 16 s, with one probe after each; the
  // last one ends at 31.2 s.
  RunFor(30s);
  EXPECT_EQ(FailedSends, 7);
  EXPECT_EQ(Fixture.Router.stats().Ejections, 5U);
  EXPECT_EQ(Fixture.Router.stats().FailedNotRun, 0U);
}

// Guards against new requests for an executor that reported that it is leaving
// while the outdated list still shows it as live.
TEST(RequestRouterTest, ALeavingExecutorGetsNothingNew) {
  RouterFixture Fixture({executor("1"), executor("2", "b")});
  RequestSend Send = Fixture.sendOne(Fixture.makeRequest());
  ASSERT_EQ(Send.Executor, "1");
  EXPECT_TRUE(Fixture.Router.maySend(Send, Fixture.Now));
  Fixture.report(Send, SendResult::Refused, 1ms, true);
  Fixture.Router.setExecutors({executor("1"), executor("2", "b")}, Fixture.Now);
  for (int I = 0; I < 7; ++I)
    Fixture.submit(Fixture.makeRequest());
  for (const RequestSend &Later : Fixture.Router.dispatch(Fixture.Now).Sends) {
    EXPECT_EQ(Later.Executor, "2");
    Send = Later;
  }
  Fixture.Router.setExecutors({executor("2", "b", ListedState::Leaving)},
                              Fixture.Now);
  EXPECT_FALSE(Fixture.Router.maySend(Send, Fixture.Now));
  EXPECT_EQ(Fixture.submit(Fixture.makeRequest()), ErrorKind::UpstreamFailed);
  Fixture.Router.setExecutors({executor("1")}, Fixture.Now);
  EXPECT_EQ(Fixture.sendOne(Fixture.makeRequest()).Executor, "1");
}

// Guards against releasing slots that are in use, keeping idle ones, and queued
// requests for which no slots are requested.
TEST(RequestRouterTest, DesiredGrantsFollowTheUse) {
  RouterFixture Fixture({executor("1"), executor("2")});
  const RequestSend Send = Fixture.sendOne(Fixture.makeRequest());
  RequestRouter::Amounts Spare =
      Fixture.Router.releasableSlots("u", Fixture.Now);
  EXPECT_EQ(Spare["1"] + Spare["2"], 16 - 1 - 2);
  EXPECT_EQ(Fixture.Router.desiredRequests(Fixture.Now),
            (RequestRouter::Amounts{{"t", 2}}));
  Fixture.report(Send, SendResult::InDoubt);
  Fixture.Now += 1s;
  EXPECT_EQ(Fixture.Router.usedSlots("u").size(), 1U);
  Fixture.Now += 20s;
  Fixture.Router.dispatch(Fixture.Now);
  Fixture.Now += 20s;
  EXPECT_EQ(Fixture.Router.releasableRequests(Fixture.Now)["t"], 100);
  Fixture.Router.setSlotGrants("u", {});
  for (int I = 0; I < 6; ++I)
    ASSERT_EQ(Fixture.submit(Fixture.makeRequest()), std::nullopt);
  RequestRouter::Amounts Wanted = Fixture.Router.desiredSlots("u", Fixture.Now);
  EXPECT_EQ(Wanted["1"], 4);
  EXPECT_EQ(Wanted["2"], 4);
}

// Guards against retries that multiply the load on a failing upstream.
TEST(RetryBudgetTest, AllowsATenthAndThreePerSecond) {
  RetryBudget Budget;
  TimePoint Now = Epoch0;
  int Taken = 0;
  for (int I = 0; I < 10; ++I)
    Taken += Budget.tryTake(Now);
  EXPECT_EQ(Taken, 3);
  for (int Second = 0; Second < 30; ++Second, Now += 1s) {
    for (int I = 0; I < 200; ++I)
      Budget.noteRequest(Now);
    Taken = 0;
    for (int I = 0; I < 200; ++I)
      Taken += Budget.tryTake(Now);
    EXPECT_LE(Taken, 20);
    EXPECT_GE(Taken, 17);
  }
}

// Guards against accepting keys that are not configured, and against a team's
// key that is accepted for calls of operators.
TEST(KeyAuthenticatorTest, OnlyKeysInForceAuthenticate) {
  Config Settings;
  Settings.Keys["k1"] = {"t", "#secret"};
  const KeyAuthenticator Check(
      Settings, {{"first", "#owner"}},
      [](std::string_view Key) { return "#" + std::string(Key); });
  EXPECT_EQ(Check.authenticateTeam("Bearer secret").Name, "t");
  EXPECT_EQ(Check.authenticateOwner("Bearer owner").Name, "first");
  EXPECT_THROW(Check.authenticateOwner("Bearer secret"), Error);
  EXPECT_THROW(Check.authenticateTeam("Bearer owner"), Error);
  for (const char *Header :
       {"", "Bearer ", "Bearer x", "secret", "Basic secret", "Bearer #secret"})
    EXPECT_THROW(Check.authenticate(Header), Error) << Header;
}

} // namespace
} // namespace apricotwing
