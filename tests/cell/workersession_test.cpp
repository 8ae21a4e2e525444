/// \file
/// The session of a member with one worker, against a mocked client.
#include "cell/workersession.h"
#include "emulator/virtualtime.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::cell {
namespace {

using testing::_;
using testing::NiceMock;
using namespace std::chrono_literals;

class MockWorkerClient : public WorkerClient {
public:
  MOCK_METHOD(void, heartbeat,
              (const WorkerAddress &, const HeartbeatRequest &,
               std::function<void(HeartbeatResult)>),
              (override));
  MOCK_METHOD(void, start,
              (const WorkerAddress &, const jobs::StartCommand &, std::int64_t,
               std::function<void(WorkerAnswer)>),
              (override));
  MOCK_METHOD(void, stop,
              (const WorkerAddress &, const jobs::StopCommand &,
               std::function<void(WorkerAnswer)>),
              (override));
};

class SilentLog final : public EventLog {
public:
  void event(std::string_view, std::string_view,
             std::initializer_list<Field>) override {}
};

class WorkerSessionTest : public testing::Test {
protected:
  WorkerSessionTest() {
    ON_CALL(Client, heartbeat)
        .WillByDefault([this](const WorkerAddress &,
                              const HeartbeatRequest &Request,
                              std::function<void(HeartbeatResult)> Callback) {
          AckCursor = Request.AckCursor;
          Extends = Request.DeadlineMs.has_value();
          Wait = Request.Wait;
          Heartbeat = std::move(Callback);
        });
    ON_CALL(Client, start)
        .WillByDefault([this](const WorkerAddress &, const jobs::StartCommand &,
                              std::int64_t,
                              std::function<void(WorkerAnswer)> Callback) {
          StartAnswer = std::move(Callback);
        });
    ON_CALL(Client, stop)
        .WillByDefault([this](const WorkerAddress &, const jobs::StopCommand &,
                              std::function<void(WorkerAnswer)> Callback) {
          StopAnswer = std::move(Callback);
        });
  }

  /// Answers the heartbeat that is in flight and sends the next one.
  void answerHeartbeat(std::vector<jobs::ActiveRun> Running,
                       WorkerOutcome Outcome = WorkerOutcome::Done,
                       std::vector<jobs::EndedRun> Ended = {},
                       bool MayHaveMoreEnded = false,
                       std::int64_t StartedUnixMs = 1) {
    Time.advanceTo(Time.now() + 100ms);
    HeartbeatResult Result;
    Result.StartedUnixMs = StartedUnixMs;
    Result.Outcome = Outcome;
    Result.ClockMs = Time.now().time_since_epoch().count();
    Result.Running = std::move(Running);
    Result.Ended = std::move(Ended);
    Result.MayHaveMoreEnded = MayHaveMoreEnded;
    std::exchange(Heartbeat, {})(Result);
    Session.pump();
  }

  /// Ends the heartbeat that is in flight without an answer, as its connection
  /// closed, before \p Age has passed.
  void closeConnection(Duration Age = 100ms) {
    Time.advanceTo(Time.now() + Age);
    HeartbeatResult Result;
    Result.ConnectionClosed = true;
    std::exchange(Heartbeat, {})(Result);
    Session.pump();
  }

  void waitForHeartbeat() {
    for (int Step = 0; Step < 10 && !Heartbeat; ++Step) {
      Time.advanceTo(Time.now() + 50ms);
      Session.pump();
    }
    ASSERT_TRUE(Heartbeat);
  }

  /// Answers the next heartbeat as a process that has started at
  /// \p StartedUnixMs since.
  void answerRestarted(std::vector<jobs::ActiveRun> Running,
                       std::vector<jobs::EndedRun> Ended = {},
                       std::int64_t StartedUnixMs = 2) {
    waitForHeartbeat();
    answerHeartbeat(std::move(Running), WorkerOutcome::Restarted,
                    std::move(Ended), false, StartedUnixMs);
  }

  /// An ended run of another task.
  static jobs::EndedRun endOf(std::int64_t Number) {
    return {Number, "other.0.0." + std::to_string(Number), 1,
            jobs::EndKind::Done, ""};
  }

  void synchronize(std::vector<jobs::ActiveRun> Running) {
    Session.pump();
    answerHeartbeat(std::move(Running));
  }

  std::vector<WorkerEvent> events() const {
    std::vector<WorkerEvent> Result;
    Result.reserve(Reports.size());
    for (const WorkerReport &Report : Reports)
      Result.push_back(Report.Event);
    return Result;
  }

  emulator::VirtualTime Time;
  const Timing Times;
  SilentLog Log;
  NiceMock<MockWorkerClient> Client;
  std::function<void(HeartbeatResult)> Heartbeat;
  std::int64_t AckCursor = 0; ///< Of the last heartbeat.
  bool Extends = false;       ///< The last heartbeat extends the lease.
  Duration Wait{0};           ///< Of the last heartbeat.
  std::function<void(WorkerAnswer)> StartAnswer;
  std::function<void(WorkerAnswer)> StopAnswer;
  std::vector<WorkerReport> Reports;
  std::vector<RefusedStart> Refused;
  bool MayExtend = true;
  const jobs::WorkerIncarnation Worker{"w0", 1};
  const jobs::StartCommand Start{Worker, "job.0.0.0", 1, "", "", ""};
  const jobs::StopCommand Stop{Worker, "job.0.0.0", 1};
  const jobs::ActiveRun Run{"job.0.0.0", 1, "", 0};
  WorkerSession Session{
      Client,
      Time,
      Times,
      Log,
      {Worker, "address", 7, 0},
      {[this](WorkerReport Report) { Reports.push_back(std::move(Report)); },
       [this](const RefusedStart &Start) { Refused.push_back(Start); },
       [this] { return MayExtend; }}};
};

TEST_F(WorkerSessionTest, ReadsTheListsAnewIfARunWasNotStartedHere) {
  synchronize({});
  answerHeartbeat({Run});
  EXPECT_EQ(events(), (std::vector{WorkerEvent::Synced, WorkerEvent::Fenced}));
}

TEST_F(WorkerSessionTest, ReadsTheListsAnewIfARefusedStartRuns) {
  synchronize({});
  Session.start(Start);
  StartAnswer({WorkerOutcome::Unhealthy, std::nullopt});
  ASSERT_EQ(Refused.size(), 1U);
  answerHeartbeat({Run});
  EXPECT_EQ(events(), (std::vector{WorkerEvent::Synced, WorkerEvent::Fenced}));
}

TEST_F(WorkerSessionTest, KeepsTheSessionWhileOnlyExpectedRunsAreListed) {
  synchronize({{"other.0.0.0", 4, "", 0}});
  Session.start(Start);
  answerHeartbeat({Run, {"other.0.0.0", 4, "", 0}});
  StartAnswer({WorkerOutcome::Done, std::nullopt});
  answerHeartbeat({Run});
  answerHeartbeat({Run});
  EXPECT_EQ(events(), (std::vector{WorkerEvent::Synced, WorkerEvent::Ended}));
}

TEST_F(WorkerSessionTest, DoesNotStartARunAfterItsPermissionRanOut) {
  synchronize({});
  MayExtend = false;
  EXPECT_CALL(Client, start(_, _, _, _)).Times(0);
  Session.start(Start);
  ASSERT_EQ(Refused.size(), 1U);
  EXPECT_EQ(Refused[0].Reason, jobs::StartRefusal::Expired);
}

TEST_F(WorkerSessionTest, DoesNotStartARunThatIsBeingStopped) {
  synchronize({});
  EXPECT_CALL(Client, start(_, _, _, _)).Times(0);
  Session.stop(Stop);
  Session.start(Start);
  EXPECT_EQ(Refused.size(), 1U);
}

TEST_F(WorkerSessionTest, EndsIfAStopIsFenced) {
  synchronize({Run});
  Session.stop(Stop);
  StopAnswer({WorkerOutcome::Fenced, std::nullopt});
  EXPECT_EQ(events(), (std::vector{WorkerEvent::Synced, WorkerEvent::Fenced}));
}

// Guards against taking a process for ended that a firewall cuts off.
TEST_F(WorkerSessionTest, RefusedConnectionsDoNotEndTheSession) {
  synchronize({Run});
  for (int Call = 0; Call < 8; ++Call) {
    answerHeartbeat({}, WorkerOutcome::ConnectionRefused);
    Time.advanceTo(Time.now() + 300ms);
    Session.pump();
  }
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable,
                         WorkerEvent::LeaseFrozen}));
  answerHeartbeat({Run});
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable,
                         WorkerEvent::LeaseFrozen, WorkerEvent::Reachable}));
}

// Guards against runs that are given up early because the next process of the
// worker has answered an order, and its clock is ahead of the former one's.
TEST_F(WorkerSessionTest, AClockInAnAnswerToAnOrderDoesNotEndTheLease) {
  synchronize({Run});
  Session.stop(Stop);
  StopAnswer(
      {WorkerOutcome::Done, Time.now().time_since_epoch().count() + 60'000});
  const TimePoint GrantedLeaseEnd = Time.now() + Times.WorkerLease;
  while (Time.now() + 200ms < GrantedLeaseEnd) {
    Time.advanceTo(Time.now() + 100ms);
    Session.pump();
    if (Heartbeat)
      std::exchange(Heartbeat, {})({});
  }
  for (const WorkerReport &Report : Reports)
    EXPECT_NE(Report.Event, WorkerEvent::LeaseExpired);
}

// Guards against a lease that outlasts its estimate because the worker carried
// out a call to its former process before the first one of this session.
TEST_F(WorkerSessionTest, ALeaseIsNotOverBeforeThatOfCallsToAFormerProcess) {
  Assignment Assigned{Worker, "address", 8, 0};
  Assigned.FirstContact = true;
  WorkerSession Next{
      Client,
      Time,
      Times,
      Log,
      Assigned,
      {[this](WorkerReport Report) { Reports.push_back(std::move(Report)); },
       [](const RefusedStart &) {}, [] { return true; }}};
  Next.pump();
  HeartbeatResult Answer;
  Answer.Outcome = WorkerOutcome::Done;
  Answer.ClockMs = 5000;
  std::exchange(Heartbeat, {})(Answer);
  const TimePoint LongestLeaseEnd = Time.now() + Times.MaxWorkerLease;
  const auto IsOver = [this] {
    return !Reports.empty() &&
           Reports.back().Event == WorkerEvent::LeaseExpired;
  };
  while (Time.now() < LongestLeaseEnd + 1s) {
    Time.advanceTo(Time.now() + 50ms);
    Next.pump();
    if (Heartbeat)
      std::exchange(Heartbeat, {})({});
    EXPECT_FALSE(IsOver() && Time.now() < LongestLeaseEnd);
  }
  EXPECT_TRUE(IsOver());
}

TEST_F(WorkerSessionTest, AnAnswerWithALaterStartEndsTheSession) {
  synchronize({Run});
  answerHeartbeat({}, WorkerOutcome::ConnectionRefused);
  Time.advanceTo(Time.now() + 300ms);
  Session.pump();
  answerRestarted({});
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable,
                         WorkerEvent::ProcessEnded}));
}

// Guards against a start that the next process of a worker carries out, and
// whose run counts as ended with the former one.
TEST_F(WorkerSessionTest, StopsOnTheNextProcessWhatTheFormerOneWasTold) {
  synchronize({});
  Session.start(Start);
  answerRestarted({});
  ASSERT_TRUE(StopAnswer);
  answerRestarted({});
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable}));
  // The list of the heartbeat under way may have been read before the stop.
  waitForHeartbeat();
  StopAnswer({WorkerOutcome::Done, std::nullopt});
  answerRestarted({});
  EXPECT_EQ(Reports.size(), 2U);
  answerRestarted({Run});
  EXPECT_EQ(Reports.size(), 2U);
  StopAnswer({WorkerOutcome::Done, std::nullopt});
  answerRestarted({}, {{1, Start.Task, Start.Run, jobs::EndKind::Done, ""}});
  ASSERT_EQ(Reports.size(), 3U);
  EXPECT_EQ(Reports.back().Event, WorkerEvent::ProcessEnded);
  ASSERT_EQ(Reports.back().Ended.size(), 1U);
  EXPECT_EQ(Reports.back().Ended[0].Task, Start.Task);
}

// Guards against a stop on the second process that counts for the third one.
TEST_F(WorkerSessionTest, RepeatsTheStopsAfterASecondRestart) {
  synchronize({});
  Session.start(Start);
  answerRestarted({});
  StopAnswer({WorkerOutcome::Done, std::nullopt});
  EXPECT_CALL(Client, stop(_, _, _)).Times(1);
  answerRestarted({}, {}, 3);
  EXPECT_EQ(Reports.size(), 2U);
}

// Guards against runs that the next process begins and ends unseen while a
// heartbeat to the former one waits for its answer.
TEST_F(WorkerSessionTest, AStartThatTheNextProcessAnswersShowsTheRestart) {
  Session.pump();
  answerHeartbeat({}, WorkerOutcome::Done, {endOf(1)});
  Session.acknowledge(1);
  Session.pump();
  const auto Waiting = std::exchange(Heartbeat, {});
  Session.start(Start);
  StartAnswer(
      {WorkerOutcome::Done, Time.now().time_since_epoch().count() + 60'000});
  ASSERT_TRUE(Heartbeat);
  EXPECT_FALSE(Extends);
  EXPECT_EQ(AckCursor, 0);
  EXPECT_EQ(Wait, 0ms);
  Session.start({Worker, "job.0.0.1", 1, "", "", ""});
  EXPECT_EQ(Refused.size(), 1U);
  answerRestarted({Run});
  EXPECT_TRUE(StopAnswer);
  Waiting({});
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable}));
}

// Guards against starts that are refused for good after a clock was in doubt.
TEST_F(WorkerSessionTest, StartsAgainOnceTheProcessHasAnswered) {
  synchronize({});
  Session.start(Start);
  StartAnswer({WorkerOutcome::Done, 0});
  answerHeartbeat({Run});
  Session.start({Worker, "job.0.0.1", 1, "", "", ""});
  EXPECT_TRUE(Refused.empty());
}

// Guards against needless heartbeats to a worker whose answers are slow.
TEST_F(WorkerSessionTest, ASlowAnswerIsNotTakenForThatOfTheNextProcess) {
  synchronize({});
  Heartbeat = {};
  Session.start(Start);
  const std::int64_t ClockMs = Time.now().time_since_epoch().count();
  Time.advanceTo(Time.now() + 450ms);
  StartAnswer({WorkerOutcome::Done, ClockMs});
  EXPECT_FALSE(Heartbeat);
}

// Guards against starts that are refused because an answer of the same process
// was read late, so that its clock seems to be ahead.
TEST_F(WorkerSessionTest, AnAnswerThatWasReadLateIsNotTakenForARestart) {
  Session.pump();
  const std::int64_t ClockMs = Time.now().time_since_epoch().count();
  Time.advanceTo(Time.now() + 450ms);
  HeartbeatResult Result;
  Result.StartedUnixMs = 1;
  Result.Outcome = WorkerOutcome::Done;
  Result.ClockMs = ClockMs;
  std::exchange(Heartbeat, {})(Result);
  Session.pump();
  Heartbeat = {};
  Session.start(Start);
  StartAnswer({WorkerOutcome::Done, Time.now().time_since_epoch().count()});
  EXPECT_FALSE(Heartbeat);
  Session.start({Worker, "job.0.0.1", 1, "", "", ""});
  EXPECT_TRUE(Refused.empty());
}

// Guards against runs that are lost although they began after their worker had
// answered again, while its lease is still frozen.
TEST_F(WorkerSessionTest, ReportsTheEndOfALeaseOnce) {
  synchronize({});
  answerHeartbeat({}, WorkerOutcome::NoAnswer);
  Time.advanceTo(Time.now() + 600ms);
  Session.pump();
  Time.advanceTo(Time.now() + Times.MaxWorkerLease);
  Session.pump();
  answerHeartbeat({});
  waitForHeartbeat();
  answerHeartbeat({});
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable,
                         WorkerEvent::LeaseFrozen, WorkerEvent::LeaseExpired,
                         WorkerEvent::Synced}));
}

// Guards against a session that never ends because the next process is gone.
TEST_F(WorkerSessionTest, EndsOnceTheLeasesOfTheNextProcessHaveEnded) {
  synchronize({});
  Session.start(Start);
  const TimePoint Sent = Time.now();
  answerRestarted({Run});
  waitForHeartbeat();
  answerHeartbeat({}, WorkerOutcome::NoAnswer);
  Time.advanceTo(Time.now() + Times.MaxWorkerLease);
  Session.pump();
  EXPECT_EQ(Reports.size(), 2U);
  Time.advanceTo(Time.now() + Times.MaxWorkerLease / 20);
  Session.pump();
  ASSERT_EQ(Reports.size(), 3U);
  EXPECT_EQ(Reports.back().Event, WorkerEvent::LeaseExpired);
  ASSERT_EQ(Reports.back().Running.size(), 1U);
  EXPECT_EQ(Reports.back().Running[0].Task, Run.Task);
  Time.advanceTo(Sent + Times.MaxCallDelay + Times.MaxWorkerLease);
  Session.pump();
  EXPECT_EQ(Reports.size(), 3U);
  Time.advanceTo(Time.now() + Times.MaxWorkerLease / 20);
  Session.pump();
  ASSERT_EQ(Reports.size(), 4U);
  EXPECT_EQ(Reports.back().Event, WorkerEvent::ProcessEnded);
}

// Guards against a restart that is known from a stop, and starts that go on.
TEST_F(WorkerSessionTest, AStopThatTheNextProcessAnswersShowsTheRestart) {
  synchronize({Run});
  ASSERT_TRUE(Heartbeat);
  const auto Waiting = std::exchange(Heartbeat, {});
  Session.stop({Worker, Run.Task, Run.Run});
  StopAnswer(
      {WorkerOutcome::Done, Time.now().time_since_epoch().count() - 60'000});
  EXPECT_TRUE(Heartbeat);
  Session.start(Start);
  EXPECT_EQ(Refused.size(), 1U);
}

// Guards against a start that the next process begins late, as the answer of
// the former one to its stop was taken for that of the next.
TEST_F(WorkerSessionTest, AnAnswerOfTheFormerProcessToAStopIsNotThatOfTheNext) {
  synchronize({});
  Session.start(Start);
  StartAnswer({WorkerOutcome::NoAnswer, std::nullopt});
  Session.stop(Stop);
  const auto FormerAnswer = std::exchange(StopAnswer, {});
  ASSERT_TRUE(FormerAnswer);
  const std::int64_t FormerClockMs = Time.now().time_since_epoch().count();
  answerRestarted({});
  FormerAnswer({WorkerOutcome::Done, FormerClockMs});
  waitForHeartbeat();
  answerHeartbeat({}, WorkerOutcome::Restarted, {}, false, 2);
  EXPECT_TRUE(StopAnswer);
  EXPECT_NE(Reports.back().Event, WorkerEvent::ProcessEnded);
}

// Guards against a run that is given up before a late copy of its start can
// have begun on the next process.
TEST_F(WorkerSessionTest, ALateStartOnTheNextProcessIsWaitedFor) {
  synchronize({{"other.0.0.0", 4, "", 0}});
  Session.start(Start);
  const TimePoint Sent = Time.now();
  StartAnswer({WorkerOutcome::NoAnswer, std::nullopt});
  answerRestarted({});
  const TimePoint LeaseEnd = Time.now() + Times.MaxWorkerLease;
  Time.advanceTo(LeaseEnd);
  Session.pump();
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable}));
  Time.advanceTo(LeaseEnd + Times.MaxWorkerLease / 20);
  Session.pump();
  ASSERT_EQ(Reports.size(), 3U);
  EXPECT_EQ(Reports.back().Event, WorkerEvent::LeaseExpired);
  ASSERT_EQ(Reports.back().Running.size(), 1U);
  EXPECT_EQ(Reports.back().Running[0].Task, Start.Task);
  Time.advanceTo(Sent + Times.MaxCallDelay + Times.MaxWorkerLease);
  Session.pump();
  EXPECT_EQ(Reports.size(), 3U);
}

// Guards against an acknowledgement whose number means another run on the next
// process.
TEST_F(WorkerSessionTest, AcknowledgesNothingThatTheNextProcessMayHaveEnded) {
  Session.pump();
  answerHeartbeat({}, WorkerOutcome::Done, {endOf(1)});
  Session.acknowledge(1);
  Session.pump();
  answerHeartbeat({});
  EXPECT_EQ(AckCursor, 1);
  answerHeartbeat({}, WorkerOutcome::NoAnswer);
  Time.advanceTo(Time.now() + 300ms);
  Session.pump();
  EXPECT_EQ(AckCursor, 0);
}

// Guards against a healthy worker that counts as unreachable because an idle
// connection was closed.
TEST_F(WorkerSessionTest, AClosedConnectionDoesNotMakeAWorkerUnreachable) {
  Session.pump();
  answerHeartbeat({Run}, WorkerOutcome::Done, {endOf(1)});
  Session.acknowledge(1);
  Session.pump();
  ASSERT_TRUE(Extends);
  ASSERT_EQ(AckCursor, 1);
  closeConnection();
  ASSERT_TRUE(Heartbeat);
  EXPECT_FALSE(Extends);
  EXPECT_EQ(AckCursor, 0);
  EXPECT_EQ(Wait, 0ms);
  answerHeartbeat({Run}, WorkerOutcome::Done, {endOf(1)});
  EXPECT_EQ(events(), std::vector{WorkerEvent::Synced});
  ASSERT_TRUE(Heartbeat);
  EXPECT_TRUE(Extends);
  EXPECT_EQ(AckCursor, 1);
  EXPECT_EQ(Wait, Times.HeartbeatWait);
}

// Guards against a lease that lapses unnoticed before a heartbeat is repeated.
TEST_F(WorkerSessionTest, ARepeatedHeartbeatShowsThatTheLeaseHasLapsed) {
  synchronize({Run});
  ASSERT_TRUE(Extends);
  closeConnection(Times.WorkerLease + 500ms);
  answerHeartbeat({});
  ASSERT_EQ(Reports.size(), 3U);
  EXPECT_EQ(Reports[1].Event, WorkerEvent::LeaseExpired);
  EXPECT_EQ(Reports[2].Event, WorkerEvent::Synced);
}

// Guards against a worker that closes all connections and seems reachable.
TEST_F(WorkerSessionTest, ASecondClosedConnectionMakesAWorkerUnreachable) {
  synchronize({Run});
  closeConnection();
  EXPECT_EQ(events(), std::vector{WorkerEvent::Synced});
  closeConnection();
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable}));
  EXPECT_FALSE(Heartbeat);
}

// Guards against a deadline and an acknowledgement that the next process of a
// worker carries out.
TEST_F(WorkerSessionTest, TheNextProcessGetsNoHeartbeatOfTheFormerOneTwice) {
  Session.pump();
  answerHeartbeat({Run}, WorkerOutcome::Done, {endOf(1)});
  Session.acknowledge(1);
  Session.pump();
  closeConnection();
  ASSERT_TRUE(Heartbeat);
  EXPECT_FALSE(Extends);
  EXPECT_EQ(AckCursor, 0);
  answerRestarted({});
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable,
                         WorkerEvent::ProcessEnded}));
}

// Guards against ends that the next process of a worker forgets unread.
TEST_F(WorkerSessionTest, AcknowledgesNothingAfterAPause) {
  synchronize({});
  answerHeartbeat({}, WorkerOutcome::Done, {endOf(1), endOf(2)});
  ASSERT_FALSE(Heartbeat);
  Session.acknowledge(2);
  Time.advanceTo(Time.now() + 3s);
  Session.pump();
  ASSERT_TRUE(Heartbeat);
  EXPECT_EQ(AckCursor, 0);
  answerHeartbeat({}, WorkerOutcome::Done, {endOf(1), endOf(2)});
  ASSERT_TRUE(Heartbeat);
  EXPECT_EQ(AckCursor, 2);
}

// Guards against a lease that seems to have ended by the clock of another
// worker that has the address by now.
TEST_F(WorkerSessionTest, TheClockOfAnotherWorkerDoesNotMoveTheLease) {
  synchronize({Run});
  Session.start(Start);
  StartAnswer({WorkerOutcome::OtherWorker,
               Time.now().time_since_epoch().count() + 60'000});
  answerHeartbeat({}, WorkerOutcome::OtherWorker);
  Time.advanceTo(Time.now() + Times.WorkerLease / 2);
  Session.pump();
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable,
                         WorkerEvent::LeaseFrozen}));
}

// Guards against taking a process for ended because its address was given to
// another worker.
TEST_F(WorkerSessionTest, AnAnswerOfAnotherWorkerDoesNotEndTheSession) {
  synchronize({Run});
  Session.start(Start);
  StartAnswer({WorkerOutcome::OtherWorker, std::nullopt});
  EXPECT_EQ(Refused.size(), 1U);
  answerHeartbeat({}, WorkerOutcome::OtherWorker);
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable}));
  Time.advanceTo(Time.now() + Times.WorkerLease * 2);
  Session.pump();
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::Synced, WorkerEvent::Unreachable,
                         WorkerEvent::LeaseFrozen, WorkerEvent::LeaseExpired}));
  EXPECT_TRUE(Reports.back().ProcessAbsent);
}

// Guards against a lease that is extended beyond the end that was reported.
TEST_F(WorkerSessionTest, AFrozenLeaseIsNotExtendedBeforeItsRelease) {
  synchronize({});
  const TimePoint Sent = Time.now();
  EXPECT_TRUE(Extends);
  answerHeartbeat({}, WorkerOutcome::NoAnswer);
  Time.advanceTo(Time.now() + 600ms);
  Session.pump();
  ASSERT_EQ(Reports.back().Event, WorkerEvent::LeaseFrozen);
  EXPECT_GE(Time.now() + Duration(Reports.back().RemainingLeaseMs),
            Sent + Times.WorkerLease);
  answerHeartbeat({});
  ASSERT_EQ(Reports.back().Event, WorkerEvent::Reachable);
  for (int Call = 0; Call < 3; ++Call) {
    waitForHeartbeat();
    EXPECT_FALSE(Extends);
    answerHeartbeat({});
  }
  EXPECT_CALL(Client, start(_, _, _, _)).Times(0);
  Session.start(Start);
  EXPECT_EQ(Refused.size(), 1U);
  Session.releaseLease();
  Session.pump();
  waitForHeartbeat();
  EXPECT_TRUE(Extends);
}

// Guards against a frozen lease whose unconfirmed starts nobody else knows.
TEST_F(WorkerSessionTest, AFrozenLeaseNamesTheUnconfirmedStarts) {
  synchronize({});
  Session.start({Worker, "listed.0.0.0", 1, "", "", ""});
  answerHeartbeat({{"listed.0.0.0", 1, "", 0}});
  Session.start(Start);
  const auto Confirmed = Session.takeConfirmedStarts();
  ASSERT_EQ(Confirmed.size(), 1U);
  EXPECT_EQ(Confirmed[0].Task, "listed.0.0.0");
  EXPECT_TRUE(Session.takeConfirmedStarts().empty());
  answerHeartbeat({}, WorkerOutcome::NoAnswer);
  Time.advanceTo(Time.now() + 600ms);
  Session.pump();
  ASSERT_EQ(Reports.back().Event, WorkerEvent::LeaseFrozen);
  EXPECT_EQ(Reports.back().UnconfirmedStarts,
            (std::vector<UnconfirmedStart>{{Start.Task, Start.Run, 700}}));
}

// Guards against a start of an earlier session that is given up with the lease.
TEST_F(WorkerSessionTest, WaitsForTheUnconfirmedStartsOfEarlierSessions) {
  WorkerSession Next(
      Client, Time, Times, Log,
      {Worker, "address", 8, 3000, true, false, {{Start.Task, Start.Run, 500}}},
      {[this](WorkerReport Report) { Reports.push_back(std::move(Report)); },
       [this](const RefusedStart &Start) { Refused.push_back(Start); },
       [this] { return MayExtend; }});
  const TimePoint Latest =
      Time.now() - 500ms + Times.StartTransit + Times.MaxWorkerLease;
  Next.pump();
  std::exchange(Heartbeat, {})({});
  while (Time.now() < Latest) {
    Next.pump();
    if (Heartbeat)
      std::exchange(Heartbeat, {})({});
    Time.advanceTo(Time.now() + 50ms);
  }
  ASSERT_EQ(events(), std::vector{WorkerEvent::LeaseExpired});
  ASSERT_EQ(Reports[0].Running.size(), 1U);
  EXPECT_EQ(Reports[0].Running[0].Task, Start.Task);
  Time.advanceTo(Time.now() + 1s);
  Next.pump();
  ASSERT_EQ(Reports.size(), 2U);
  EXPECT_EQ(Reports[1].Event, WorkerEvent::LeaseExpired);
  EXPECT_TRUE(Reports[1].Running.empty());
}

// Guards against a session that is never released after a late first answer.
TEST_F(WorkerSessionTest, ALeaseIsFrozenIfTheFirstAnswerIsLate) {
  Session.pump();
  Time.advanceTo(Time.now() + 600ms);
  Session.pump();
  answerHeartbeat({});
  EXPECT_EQ(events(),
            (std::vector{WorkerEvent::LeaseFrozen, WorkerEvent::Synced}));
  waitForHeartbeat();
  EXPECT_FALSE(Extends);
}

// Guards against a lease that a leader of an earlier version never releases.
TEST_F(WorkerSessionTest, NoLeaseIsFrozenForALeaderThatReleasesNone) {
  WorkerSession Next(
      Client, Time, Times, Log, {Worker, "address", 8, 3000, std::nullopt},
      {[this](WorkerReport Report) { Reports.push_back(std::move(Report)); },
       [this](const RefusedStart &Start) { Refused.push_back(Start); },
       [this] { return MayExtend; }});
  Next.pump();
  Time.advanceTo(Time.now() + 1s);
  Next.pump();
  EXPECT_EQ(events(), std::vector<WorkerEvent>{});
}

// Guards against a session that extends a lease that an earlier one has frozen.
TEST_F(WorkerSessionTest, ALeaseThatWasFrozenBeforeIsNotExtended) {
  WorkerSession Next(
      Client, Time, Times, Log, {Worker, "address", 8, 3000, true},
      {[this](WorkerReport Report) { Reports.push_back(std::move(Report)); },
       [this](const RefusedStart &Start) { Refused.push_back(Start); },
       [this] { return MayExtend; }});
  for (int Call = 0; Call < 3; ++Call) {
    Time.advanceTo(Time.now() + 300ms);
    Next.pump();
    EXPECT_FALSE(Extends);
    HeartbeatResult Result;
    Result.Outcome = WorkerOutcome::Done;
    Result.ClockMs = Time.now().time_since_epoch().count();
    std::exchange(Heartbeat, {})(Result);
  }
  EXPECT_EQ(events(), std::vector{WorkerEvent::Synced});
  Next.releaseLease();
  Next.pump();
  EXPECT_TRUE(Extends);
}

// Guards against taking a list of ended runs for complete that has as many
// entries as a response may have.
TEST_F(WorkerSessionTest, IsSyncedOnlyWithTheRestOfTheEndedRuns) {
  Session.pump();
  answerHeartbeat({Run}, WorkerOutcome::Done, {endOf(1), endOf(2)}, true);
  EXPECT_EQ(events(), std::vector{WorkerEvent::Ended});
  Session.acknowledge(2);
  Session.pump();
  answerHeartbeat({Run}, WorkerOutcome::Done, {endOf(3)}, false);
  EXPECT_EQ(events(), (std::vector{WorkerEvent::Ended, WorkerEvent::Synced}));
  ASSERT_EQ(Reports.back().Ended.size(), 1U);
  EXPECT_EQ(Reports.back().Ended[0].Number, 3);
  EXPECT_EQ(Reports.back().Running.size(), 1U);
}

// Guards against taking a start without an answer for one that was not carried
// out while the end of its run is not listed yet.
TEST_F(WorkerSessionTest, RefusesNoStartWhileEndedRunsAreLeftOut) {
  synchronize({});
  Session.start(Start);
  StartAnswer({WorkerOutcome::NoAnswer, std::nullopt});
  StartAnswer({WorkerOutcome::NoAnswer, std::nullopt});
  Time.advanceTo(Time.now() + 2 * Times.StartValidity);
  answerHeartbeat({}, WorkerOutcome::Done, {endOf(1), endOf(2)}, true);
  EXPECT_TRUE(Refused.empty());
  Session.acknowledge(2);
  Session.pump();
  answerHeartbeat({}, WorkerOutcome::Done,
                  {{3, Start.Task, Start.Run, jobs::EndKind::Done, ""}}, false);
  EXPECT_TRUE(Refused.empty());
}

// Guards against a run that is taken to be at work for good, as an
// acknowledgement for the former process made the worker drop its end.
TEST_F(WorkerSessionTest, ReportsARunWhoseEndTheWorkerHasDropped) {
  synchronize({{"other.0.0.0", 4, "", 0}});
  Session.start(Start);
  StartAnswer({WorkerOutcome::Done, std::nullopt});
  answerHeartbeat({Run});
  ASSERT_EQ(Reports.size(), 2U);
  EXPECT_EQ(Reports.back().Event, WorkerEvent::Ended);
  ASSERT_EQ(Reports.back().Ended.size(), 1U);
  EXPECT_EQ(Reports.back().Ended[0].Task, "other.0.0.0");
  EXPECT_EQ(Reports.back().Ended[0].Run, 4);
  EXPECT_EQ(Reports.back().Ended[0].Kind, jobs::EndKind::Stopped);
  answerHeartbeat({}, WorkerOutcome::Done, {endOf(1)});
  ASSERT_EQ(Reports.size(), 3U);
  ASSERT_EQ(Reports.back().Ended.size(), 2U);
  EXPECT_EQ(Reports.back().Ended[1].Task, Start.Task);
  EXPECT_EQ(Reports.back().Ended[1].Kind, jobs::EndKind::Stopped);
  waitForHeartbeat();
  answerHeartbeat({}, WorkerOutcome::Done, {endOf(1)});
  EXPECT_EQ(Reports.size(), 3U);
}

// Guards against a run that counts as ended because a list was read before its
// start.
TEST_F(WorkerSessionTest, AListFromBeforeAStartShowsNoEndOfItsRun) {
  synchronize({});
  Session.start(Start);
  Time.advanceTo(Time.now() + 100ms);
  StartAnswer({WorkerOutcome::Done, std::nullopt});
  answerHeartbeat({});
  EXPECT_EQ(events(), std::vector{WorkerEvent::Synced});
  answerHeartbeat({Run});
  EXPECT_EQ(events(), std::vector{WorkerEvent::Synced});
  answerHeartbeat({});
  EXPECT_EQ(events(), (std::vector{WorkerEvent::Synced, WorkerEvent::Ended}));
}

// Guards against a success that is lost because its end is not listed yet.
TEST_F(WorkerSessionTest, AnIncompleteListShowsNoEndOfARun) {
  synchronize({Run});
  answerHeartbeat({}, WorkerOutcome::Done, {endOf(1), endOf(2)}, true);
  ASSERT_EQ(Reports.size(), 2U);
  EXPECT_EQ(Reports.back().Ended.size(), 2U);
  Session.acknowledge(2);
  Session.pump();
  answerHeartbeat({}, WorkerOutcome::Done,
                  {{3, Run.Task, Run.Run, jobs::EndKind::Done, ""}});
  ASSERT_EQ(Reports.size(), 3U);
  ASSERT_EQ(Reports.back().Ended.size(), 1U);
  EXPECT_EQ(Reports.back().Ended[0].Kind, jobs::EndKind::Done);
  Session.acknowledge(3);
  Session.pump();
  answerHeartbeat({});
  EXPECT_EQ(Reports.size(), 3U);
}

TEST_F(WorkerSessionTest, RepeatsAStopWithoutAnAnswer) {
  synchronize({Run});
  Session.stop(Stop);
  StopAnswer({WorkerOutcome::NoAnswer, std::nullopt});
  EXPECT_CALL(Client, stop(_, _, _)).Times(1);
  Time.advanceTo(Time.now() + 500ms);
  Session.pump();
}

TEST_F(WorkerSessionTest, SendsAStopOnceWhileItIsUnderWay) {
  synchronize({Run});
  EXPECT_CALL(Client, stop(_, _, _)).Times(1);
  Session.stop(Stop);
  Session.stop(Stop);
}

} // namespace
} // namespace apricotwing::cell
