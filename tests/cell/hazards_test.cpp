/// \file
/// What operators of similar systems have reported, on the emulated platform.
#include "cell/codec.h"
#include "emulator/emulatedcell.h"
#include "support/fixedseeds.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <limits>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using jobs::JobView;

class HazardsTest : public testing::Test {
protected:
  HazardsTest() : Cell(1) { Cell.run(2s); }
  ~HazardsTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  std::vector<std::string> submitMany(const std::string &Instance, int Count,
                                      const jobs::StepSpec &Step) {
    std::vector<std::string> Ids;
    Ids.reserve(std::size_t(Count));
    for (int Number = 0; Number < Count; ++Number)
      Ids.push_back(Cell.submit(Instance, Step));
    return Ids;
  }

  JobView viewOf(const std::string &Instance, const std::string &Id) {
    Cell.read(Instance, Id);
    Cell.run(300ms);
    return Cell.jobs().at(Id).View;
  }

  std::string otherThan(const std::string &Name) const {
    return Name == "n0" ? "n1" : "n0";
  }

  /// Starts the 12 tasks of a job, which take 9 s each.
  void startWork() {
    WorkStart = Cell.time().now();
    WorkId = Cell.submit("n0", stepOf(12, 9s));
    Cell.run(1s);
    EXPECT_EQ(Cell.workers().activeRuns(), 12);
  }

  /// Lets workers announce their shutdown, and waits until it is known.
  void drain(const std::set<std::string> &Names) {
    for (const std::string &Name : Names)
      Cell.workers().drain(Name);
    Cell.run(2s);
  }

  /// Puts workers into \p Fault, a set of worker ids, for \p Length, and checks
  /// that the work ends in time and that no task of it was started again.
  void expectWorkOutlasts(std::set<std::string> &Fault,
                          const std::set<std::string> &Names, Duration Length) {
    Fault = Names;
    Cell.run(Length);
    Fault.clear();
    Cell.time().advanceTo(WorkStart + 11'500ms);
    EXPECT_EQ(viewOf("n1", WorkId), JobView::Completed);
    EXPECT_EQ(Cell.workers().doneRuns(), 12);
    EXPECT_EQ(Cell.workers().startedRuns(), 12);
  }

  EmulatedCell Cell;
  std::string WorkId;
  TimePoint WorkStart;
};

// Guards against work that is started again, or given up, because its worker
// was silent for less than its lease.
TEST_F(HazardsTest, KeepsTheWorkOfAWorkerThatIsSilentForLessThanItsLease) {
  startWork();
  expectWorkOutlasts(Cell.workers().Cut, {"w0", "w1", "w2", "w3"}, 4500ms);
}

// Guards against work that is started again because a firewall rejects
// connections to its workers for less than their lease.
TEST_F(HazardsTest, KeepsTheWorkOfWorkersWhoseConnectionsAreRefused) {
  startWork();
  expectWorkOutlasts(Cell.workers().Rejected, {"w0", "w1", "w2", "w3"}, 4500ms);
}

// Guards against the same while the workers are draining: an announced shutdown
// does not turn a refused connection into the end of the process.
TEST_F(HazardsTest, KeepsTheWorkOfDrainingWorkersWhoseConnectionsAreRefused) {
  startWork();
  drain({"w0", "w1", "w2"});
  expectWorkOutlasts(Cell.workers().Rejected, {"w0", "w1", "w2"}, 4s);
}

// Guards against taking a draining worker for one that has left because its row
// was dropped: it was only silent.
TEST_F(HazardsTest, KeepsTheWorkOfADrainingWorkerWhoseRowIsDropped) {
  startWork();
  drain({"w0", "w1", "w2"});
  expectWorkOutlasts(Cell.workers().Cut, {"w0", "w1", "w2"}, 5s);
}

// Guards against the same if the registry drops the row early, as it may while
// the store is away for the worker only.
TEST_F(HazardsTest, KeepsTheWorkOfADrainingWorkerWhoseRowIsDroppedEarly) {
  startWork();
  drain({"w0", "w1", "w2"});
  for (const std::string Name : {"w0", "w1", "w2"})
    Cell.dropRow(Name);
  std::set<std::string> None;
  expectWorkOutlasts(None, {}, 3s);
}

// Guards against taking an answer of another worker, at an address that is in
// use again, for the end of the one that was called.
TEST_F(HazardsTest, KeepsTheWorkOfWorkersAtWhoseAddressAnotherResponds) {
  startWork();
  drain({"w0", "w1"});
  expectWorkOutlasts(Cell.workers().Displaced, {"w0", "w1", "w2", "w3"}, 4s);
}

// Guards against tasks that stay on a worker that has left, if nothing but its
// dropped row and the end of its lease shows that.
TEST_F(HazardsTest, StartsTheWorkOfAWorkerThatHasLeftAgainAfterItsLease) {
  const std::string Id = Cell.submit("n0", stepOf(12, 2s));
  Cell.run(200ms);
  for (const std::string Name : {"w0", "w1"})
    Cell.workers().drain(Name);
  Cell.run(1700ms);
  for (const std::string Name : {"w0", "w1"})
    Cell.workers().crash(Name);
  // The longest lease, the work and a second for all else.
  Cell.run(6500ms + 2s + 1s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
}

// Guards against tasks that stay on a worker whose process has ended for good,
// if nothing but refused connections and the end of its lease shows that.
TEST_F(HazardsTest, StartsTheWorkOfAnEndedWorkerAgainAfterItsLease) {
  const std::string Id = Cell.submit("n0", stepOf(12, 2s));
  Cell.run(1s);
  Cell.workers().crash("w0");
  Cell.run(12s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
}

// Guards against a record of a lost run that does not tell on which evidence it
// was given up.
TEST_F(HazardsTest, TheLossOfARunNamesItsEvidence) {
  startWork();
  Cell.workers().crash("w0");
  Cell.run(500ms);
  Cell.workers().restart("w0");
  Cell.workers().crash("w1");
  Cell.run(9s);
  int Restarted = 0;
  int Expired = 0;
  for (const std::string &Line : Cell.linesOfLostRuns()) {
    Restarted +=
        Line.find("evidence=later_start_answered") != std::string::npos;
    Expired += Line.find("evidence=lease_ended") != std::string::npos;
    EXPECT_EQ(Line.find("answer_age_ms=-1"), std::string::npos) << Line;
    EXPECT_EQ(Line.find("member= "), std::string::npos) << Line;
  }
  EXPECT_GT(Restarted, 0);
  EXPECT_GT(Expired, 0);
  EXPECT_EQ(std::size_t(Restarted + Expired), Cell.linesOfLostRuns().size());
}

// Guards against a record of refused starts in which the reason is a number.
TEST_F(HazardsTest, ARefusedStartNamesItsReason) {
  // One of these delays lies between the decision and the order.
  for (Duration Delay = 20ms; Delay < 40ms; Delay += 1ms) {
    Cell.submit("n0", stepOf(12, 100ms));
    Cell.run(Delay);
    Cell.workers().Rejected = {"w0", "w1", "w2", "w3", "w4", "w5"};
    Cell.run(20ms);
    Cell.workers().Rejected.clear();
    Cell.run(500ms);
  }
  ASSERT_FALSE(Cell.linesOf("start refused").empty());
  for (const std::string &Line : Cell.linesOf("start refused"))
    EXPECT_NE(Line.find(" reason=unhealthy"), std::string::npos) << Line;
}

// Guards against a record of a task that runs again which does not tell what
// became of the run before, as the lines of that are on other instances.
TEST_F(HazardsTest, ARepeatedStartTellsWhatBecameOfTheRunBefore) {
  startWork();
  EXPECT_TRUE(Cell.linesOf("starting").empty()) << "kept if there was a run";
  Cell.workers().crash("w0");
  Cell.run(500ms);
  Cell.workers().restart("w0");
  Cell.workers().Cut = {"w1"};
  Cell.run(9s);
  int Restarted = 0;
  int Expired = 0;
  for (const std::string &Line : Cell.linesOf("starting")) {
    const auto Has = [&Line](std::string_view Text) {
      return Line.find(Text) != std::string::npos;
    };
    EXPECT_TRUE(Has(" last_run=1 last_worker=w0 last_end=lost") ||
                Has(" last_run=1 last_worker=w1 last_end=lost"))
        << Line;
    EXPECT_FALSE(Has("last_end_age_ms=-")) << Line;
    const bool IsRestart = Has("evidence=later_start_answered");
    const bool IsExpiry = Has("evidence=lease_ended basis=granted") &&
                          !Has("grant_age_ms=-1") && !Has("answer_age_ms=-1");
    Restarted += IsRestart;
    Expired += IsExpiry;
    EXPECT_TRUE(IsRestart || IsExpiry) << Line;
  }
  EXPECT_GT(Restarted, 0);
  EXPECT_GT(Expired, 0);
  for (const std::string &Line : Cell.linesOfLostRuns())
    EXPECT_NE(Line.find("evidence=lease_ended") != std::string::npos,
              Line.find("basis=unknown") != std::string::npos)
        << Line;
}

// Guards against a record that does not show that a run outlived what was taken
// for its end, nor whether its end counts.
TEST_F(HazardsTest, TheEndOfAGivenUpRunHasALineOfItsOwn) {
  const std::string Id = Cell.submit("n0", stepOf(12, 12s));
  Cell.run(1s);
  ASSERT_EQ(Cell.workers().activeRuns(), 12);
  Cell.workers().Cut = {"w0", "w1", "w2"};
  Cell.run(9s);
  ASSERT_FALSE(Cell.linesOfLostRuns().empty());
  EXPECT_TRUE(Cell.linesOf("given-up run ended").empty());
  Cell.workers().Cut.clear();
  Cell.run(2s);
  EXPECT_EQ(Cell.linesOf("given-up run ended").size(),
            Cell.linesOfLostRuns().size());
  for (const std::string &Line : Cell.linesOf("given-up run ended"))
    EXPECT_NE(
        Line.find(" how=lapsed believed=lost newest_run=2 newest_worker=w"),
        std::string::npos)
        << Line;
  Cell.run(15s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
}

// Guards against a task that is started again although the end of its run was
// acknowledged: the run had been given up, and no other had replaced it yet.
TEST_F(HazardsTest, CountsTheSuccessOfARunThatWasGivenUp) {
  const std::string Id = Cell.submit("n0", stepOf(12, 3s));
  Cell.run(1s);
  ASSERT_EQ(Cell.workers().activeRuns(), 12);
  Cell.workers().Cut = {"w0", "w1", "w2", "w3", "w4", "w5"};
  Cell.run(9s);
  EXPECT_FALSE(Cell.linesOfLostRuns().empty());
  Cell.workers().Cut.clear();
  Cell.run(6s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().startedRuns(), 12);
  EXPECT_EQ(Cell.linesOf("given-up run ended").size(),
            Cell.linesOfLostRuns().size());
  for (const std::string &Line : Cell.linesOf("given-up run ended"))
    EXPECT_NE(Line.find(" how=done believed=lost newest_run=1 newest_worker= "
                        "counts=1"),
              std::string::npos)
        << Line;
}

// Guards against the same if another run has replaced it.
TEST_F(HazardsTest, CountsTheSuccessOfARunThatAnotherHasReplaced) {
  const std::string Id = Cell.submit("n0", stepOf(12, 7s));
  Cell.run(5s);
  ASSERT_EQ(Cell.workers().activeRuns(), 12);
  Cell.workers().Cut = {"w0", "w1", "w2"};
  for (int Step = 0; Step < 150 && Cell.workers().startedRuns() == 12; ++Step)
    Cell.run(100ms);
  ASSERT_GT(Cell.workers().startedRuns(), 12);
  Cell.workers().Cut.clear();
  Cell.run(3s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().activeRuns(), 0);
}

// Guards against tasks that are started again because the worker's list of
// ended runs, which the next leader reads first, was not complete.
TEST_F(HazardsTest, StartsNothingAgainWhoseEndIsNotListedYet) {
  Cell.workers().MaxListedEnds = 3;
  const auto Ids = submitMany("n1", 4, stepOf(12, 1s));
  Cell.run(500ms);
  ASSERT_EQ(Cell.workers().activeRuns(), 48);
  const std::string Leader = Cell.leader();
  Cell.kill(Leader);
  Cell.run(3s);
  Cell.start(Leader);
  Cell.run(10s);
  for (const std::string &Id : Ids)
    EXPECT_EQ(viewOf(otherThan(Leader), Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().startedRuns(), 48);
}

// Guards against a row of another writer that makes a worker appear restarted:
// its tasks would be started elsewhere while they run.
TEST_F(HazardsTest, KeepsTheWorkOfWorkersWhoseRowsWereOverwritten) {
  const std::string Id = Cell.submit("n0", stepOf(12, 8s));
  Cell.run(1s);
  ASSERT_EQ(Cell.workers().activeRuns(), 12);
  for (const std::string Name : {"w0", "w1", "w2", "w3"})
    Cell.putForeignRow(Name, std::numeric_limits<std::int64_t>::max());
  Cell.run(10s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().startedRuns(), 12);
}

// Guards against the same if the row names a plausible start time.
TEST_F(HazardsTest, KeepsTheWorkOfWorkersWhoseRowsNameALaterStart) {
  const std::string Id = Cell.submit("n0", stepOf(12, 8s));
  Cell.run(1s);
  ASSERT_EQ(Cell.workers().activeRuns(), 12);
  for (const std::string Name : {"w0", "w1", "w2", "w3"})
    Cell.putForeignRow(Name, Cell.time().now().time_since_epoch().count());
  Cell.run(10s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().startedRuns(), 12);
}

// Guards against the same if the next leader reads such rows before it knows
// the workers that may have active runs.
TEST_F(HazardsTest, ANewLeaderPrefersItsRosterToRowsThatNameALaterStart) {
  const std::string Id = Cell.submit("n0", stepOf(12, 8s));
  Cell.run(1s);
  ASSERT_EQ(Cell.workers().activeRuns(), 12);
  Cell.kill(Cell.leader());
  const std::int64_t Start = Cell.time().now().time_since_epoch().count();
  for (int Write = 0; Write < 40; ++Write) {
    for (const std::string Name : {"w0", "w1", "w2", "w3"})
      Cell.putForeignRow(Name, Start);
    Cell.run(100ms);
  }
  Cell.run(10s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().startedRuns(), 12);
}

// Guards against the same if the next leader reads a row without a start time
// before it knows the workers that may have active runs.
TEST_F(HazardsTest, ANewLeaderPrefersItsRosterToRowsWithoutAStartTime) {
  const std::string Id = Cell.submit("n0", stepOf(12, 8s));
  Cell.run(1s);
  ASSERT_EQ(Cell.workers().activeRuns(), 12);
  Cell.kill(Cell.leader());
  for (int Write = 0; Write < 40; ++Write) {
    for (const std::string Name : {"w0", "w1", "w2", "w3"})
      Cell.putForeignRow(Name, 0);
    Cell.run(100ms);
  }
  Cell.run(10s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().startedRuns(), 12);
}

// Guards against answers that are late for seconds on all calls to workers.
TEST_F(HazardsTest, KeepsTheWorkOfWorkersWhoseAnswersAreLost) {
  const std::string Id = Cell.submit("n0", stepOf(12, 6s));
  Cell.run(1s);
  Cell.workers().LostAnswers = 0.5;
  Cell.run(4s);
  Cell.workers().LostAnswers = 0;
  Cell.run(4s);
  EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().startedRuns(), 12);
}

// Guards against orders that are sent by the old and by the new leader around a
// planned hand-over, with messages that are seconds late.
TEST_F(HazardsTest, OrdersGoOutOnceAroundAHandOver) {
  for (int Round = 0; Round < 3; ++Round) {
    const std::string Old = Cell.leader();
    ASSERT_NE(Old, "");
    Cell.DelayedMessages = 0.3;
    const auto Ids = submitMany(otherThan(Old), 6, stepOf(3, 800ms));
    Cell.run(20ms);
    Cell.node(Old).leave();
    Cell.run(3s);
    Cell.DelayedMessages = 0;
    Cell.kill(Old);
    Cell.start(Old);
    Cell.run(6s);
    const std::string Name = otherThan(Old);
    int Accepted = 0;
    for (const std::string &Id : Ids)
      Accepted += viewOf(Name, Id) == JobView::Completed ? 1 : 0;
    EXPECT_GE(Accepted, 1);
    EXPECT_EQ(Cell.workers().doneRuns() % 3, 0);
  }
}

// Guards against a supervisor that was suspended between receiving an order and
// sending it, and that acts when its workers already belong to another member.
TEST_F(HazardsTest, ASuspendedMemberDoesNotActOnOldOrders) {
  const std::string Leader = Cell.leader();
  const std::string Suspended = otherThan(Leader);
  const auto Ids = submitMany(Leader, 8, stepOf(3, 2s));
  Cell.run(12ms);
  Cell.freeze(Suspended);
  Cell.run(9s);
  Cell.thaw(Suspended);
  Cell.run(12s);
  for (const std::string &Id : Ids)
    EXPECT_EQ(viewOf(Leader, Id), JobView::Completed);
  EXPECT_EQ(Cell.workers().doneRuns(), 24);
}

// Guards against a leader that answers callers after its lease has run out
// while it was suspended: a job that the next leader accepted would be unknown.
TEST_F(HazardsTest, ASuspendedLeaderAnswersNoCallerWithOldState) {
  const std::string Old = Cell.leader();
  const std::string Other = otherThan(Old);
  Cell.freeze(Old);
  Cell.run(3s);
  const std::string Id = Cell.submit(Other, stepOf(1, 5s));
  Cell.run(500ms);
  ASSERT_TRUE(Cell.jobs().at(Id).Accepted);
  Cell.thaw(Old);
  for (int Number = 0; Number < 40; ++Number) {
    Cell.read(Old, Id);
    Cell.run(25ms);
  }
  EXPECT_FALSE(Cell.answers().contains(cell::ClientStatus::NoSuchJob));
}

// Guards against a job that runs twice, or that its caller is told has not run,
// after answers between instances were lost at any hop.
TEST_F(HazardsTest, LostAnswersBetweenInstancesNeitherRepeatNorDenyWork) {
  Cell.LostReplies = 0.3;
  std::vector<std::string> Ids;
  for (int Number = 0; Number < 40; ++Number) {
    Ids.push_back(
        Cell.submit("n" + std::to_string(Number % 3), stepOf(2, 300ms)));
    Cell.run(60ms);
  }
  Cell.run(4s);
  Cell.LostReplies = 0;
  Cell.run(8s);
  for (const std::string &Id : Ids) {
    const JobRecord &Job = Cell.jobs().at(Id);
    const bool Ran = Cell.workers().isDone(Id + ".0.0.0");
    EXPECT_TRUE(Job.Accepted || Job.Unresolved || !Ran) << Id;
    if (Job.Accepted) {
      EXPECT_EQ(viewOf("n0", Id), JobView::Completed) << Id;
    }
  }
  EXPECT_EQ(Cell.workers().doneRuns() % 2, 0);
}

// Guards against a worker that has left, or has crashed, and is used again
// after a restart.
TEST_F(HazardsTest, AWorkerThatLeftIsNotUsedAfterARestart) {
  Cell.workers().drain("w0");
  Cell.run(1600ms);
  Cell.workers().crash("w0");
  Cell.workers().crash("w1");
  Cell.run(5s);
  for (const std::string &Name : Cell.names())
    Cell.kill(Name);
  Cell.run(500ms);
  for (const std::string &Name : Cell.names())
    Cell.start(Name);
  Cell.run(4s);
  const auto Ids = submitMany("n0", 10, stepOf(4, 500ms));
  Cell.run(4s);
  const cell::Leader *Leader = Cell.node(Cell.leader()).leader();
  for (const std::string &Id : Ids)
    EXPECT_EQ(viewOf("n1", Id), JobView::Completed);
  // Only the end of its lease shows that a worker is gone.
  Cell.run(5s);
  for (const std::string Name : {"w0", "w1"})
    EXPECT_EQ(Leader->scheduler().worker(Name), nullptr) << Name;
}

// Guards against an order that the next process of a worker carries out, and
// whose run counts as ended with the former process.
TEST(RestartHazardsTest, NoRunIsTakenForOneOfTheFormerProcess) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    EmulatedCell Cell(Seed);
    Cell.run(2s);
    std::mt19937_64 Random(Seed);
    const auto Any = [&Random](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Random);
    };
    for (int Number = 0; Number < 150; ++Number) {
      Cell.submit("n" + std::to_string(Any(0, 2)),
                  stepOf(Any(4, 12), Duration(Any(300, 2500))));
      Cell.run(Duration(Any(1, 60)));
      if (Number % 5 != 0)
        continue;
      const std::string Worker = "w" + std::to_string(Any(0, 5));
      Cell.workers().crash(Worker);
      Cell.run(Duration(Any(0, 40)));
      Cell.workers().restart(Worker);
    }
    Cell.run(15s);
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << "seed " << Seed << ": " << Violation;
  }
}

/// Plays long tasks on workers that restart under their ids \p Absence after
/// their end and are cut off \p Contact later. \p Disturb is called
/// \p SinceCut after that.
void expectNothingTwiceAfterRestartsAndCuts(
    Duration Absence, Duration Contact,
    const std::function<void(EmulatedCell &)> &Disturb,
    Duration SinceCut = -600ms) {
  const int RestartStep = 20 + int(Absence / 100ms);
  const int CutStep = RestartStep + int(Contact / 100ms);
  const int DisturbStep = CutStep + int(SinceCut / 100ms);
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    EmulatedCell Cell(Seed, 4, 9);
    std::mt19937_64 Random(Seed);
    const auto Any = [&Random](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Random);
    };
    EmulatedWorkers &Workers = Cell.workers();
    Workers.CrashesSilently = true;
    Workers.RepeatsHeartbeats = true;
    const std::vector<std::string> Affected{"w0", "w1", "w2"};
    Cell.run(3s);
    for (int Round = 0; Round < 3; ++Round) {
      for (int Step = 0; Step < 140; ++Step) {
        if (Step % 4 == 0)
          Cell.submit("n" + std::to_string(Any(0, 3)),
                      stepOf(Any(1, 3), Any(0, 2) == 0 ? 12s : 500ms));
        if (Step == DisturbStep)
          Disturb(Cell);
        for (const std::string &Id : Affected) {
          if (Step == 20)
            Workers.crash(Id);
          if (Step == RestartStep)
            Workers.restart(Id);
          if (Step == CutStep)
            Workers.Cut.insert(Id);
          if (Step == 136)
            Workers.Cut.erase(Id);
        }
        Cell.run(100ms);
      }
    }
    for (const std::string &Violation : Workers.violations())
      ADD_FAILURE() << "seed " << Seed << ": " << Violation;
  }
}

/// The same for next processes that are hardly ever reached.
void expectNothingTwiceIfTheNextProcessIsNotReached(
    const std::function<void(EmulatedCell &)> &Disturb, Duration SinceCut) {
  for (const Duration Absence : {100ms, 200ms, 600ms})
    for (const Duration Contact : {100ms, 300ms, 700ms})
      expectNothingTwiceAfterRestartsAndCuts(Absence, Contact, Disturb,
                                             SinceCut);
}

void killForOneSecond(EmulatedCell &Cell, const std::string &Name) {
  Cell.kill(Name);
  Cell.time().after(1s, [&Cell, Name] { Cell.start(Name); });
}

void loseLeader(EmulatedCell &Cell) {
  const std::string Leader = Cell.leader();
  if (!Leader.empty())
    killForOneSecond(Cell, Leader);
}

void replaceLeader(EmulatedCell &Cell) {
  const std::string Leader = Cell.leader();
  if (Leader.empty())
    return;
  Cell.node(Leader).leave();
  Cell.time().after(1s, [&Cell, Leader] { killForOneSecond(Cell, Leader); });
}

void loseMembers(EmulatedCell &Cell) {
  const std::string Leader = Cell.leader();
  for (const std::string &Name : Cell.names())
    if (Name != Leader)
      killForOneSecond(Cell, Name);
}

void cutMembersOff(EmulatedCell &Cell) {
  const std::string Leader = Cell.leader();
  for (const std::string &Name : Cell.names()) {
    if (Name == Leader)
      continue;
    Cell.cut(Name);
    Cell.time().after(2s, [&Cell, Name] { Cell.heal(Name); });
  }
}

// Guards against a lease that the next process of a worker has extended for a
// call to the former one, and that nobody counts.
TEST(RestartHazardsTest, NoTaskRunsTwiceIfARestartedWorkerIsCutOff) {
  expectNothingTwiceAfterRestartsAndCuts(600ms, 2s, [](EmulatedCell &) {});
}

// Guards against a start that the next process of a worker has carried out, and
// that is taken for over at the end of the former lease.
TEST(RestartHazardsTest, NoTaskRunsTwiceIfTheNextProcessIsNeverReached) {
  for (const Duration Absence : {100ms, 200ms, 600ms})
    for (const Duration Contact : {100ms, 300ms, 700ms})
      expectNothingTwiceAfterRestartsAndCuts(Absence, Contact,
                                             [](EmulatedCell &) {});
}

// Guards against the same if the next leader doesn't know of the restart.
TEST(RestartHazardsTest, NoTaskRunsTwiceIfTheLeaderIsLostBeforeTheCut) {
  expectNothingTwiceAfterRestartsAndCuts(600ms, 2s, loseLeader);
}

// Guards against a start that only the lost member knew to be unconfirmed.
TEST(RestartHazardsTest, NoTaskRunsTwiceIfTheMemberOfALostStartIsLost) {
  expectNothingTwiceIfTheNextProcessIsNotReached(loseMembers, 0ms);
  expectNothingTwiceIfTheNextProcessIsNotReached(cutMembersOff, 0ms);
}

// Guards against the same once the lease is frozen.
TEST(RestartHazardsTest, NoTaskRunsTwiceIfTheMemberOfAFrozenLeaseIsLost) {
  expectNothingTwiceIfTheNextProcessIsNotReached(loseMembers, 3s);
}

// Guards against a frozen lease that a next leader takes for that of all starts
// which the worker was sent.
TEST(RestartHazardsTest, NoTaskRunsTwiceIfTheLeaderOfAFrozenLeaseIsLost) {
  expectNothingTwiceIfTheNextProcessIsNotReached(loseLeader, 3s);
}

// Guards against starts that the next leader doesn't know to be unconfirmed.
TEST(RestartHazardsTest, NoTaskRunsTwiceIfTheLeaderOfALostStartIsReplaced) {
  expectNothingTwiceIfTheNextProcessIsNotReached(replaceLeader, 0ms);
}

// Guards against the same if the leader is killed.
TEST(RestartHazardsTest, NoTaskRunsTwiceIfTheLeaderOfALostStartIsLost) {
  for (const Duration SinceCut : {-300ms, -200ms, -100ms})
    expectNothingTwiceIfTheNextProcessIsNotReached(loseLeader, SinceCut);
}

/// Id of the worker on which the leader has placed a task; empty if there is
/// none.
std::string hostOf(EmulatedCell &Cell, const std::string &Task) {
  for (const auto &[Id, Host] :
       Cell.node(Cell.leader()).leader()->scheduler().workers())
    if (Host.runs().contains(Task))
      return Id;
  return {};
}

void loseAll(EmulatedCell &Cell) {
  for (const std::string &Name : Cell.names())
    killForOneSecond(Cell, Name);
}

/// Sends the start of a task whose worker is cut off and restarts, so that the
/// next process carries out the order late. \p Disturb is called meanwhile.
void expectALateStartIsWaitedFor(
    const std::function<void(EmulatedCell &)> &Disturb) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    EmulatedCell Cell(Seed, 3, 6);
    EmulatedWorkers &Workers = Cell.workers();
    Workers.CrashesSilently = true;
    Cell.run(3s);
    Workers.LateOrders = 1;
    const std::string Task = Cell.submit("n0", stepOf(1, 16s)) + ".0.0.0";
    Cell.run(400ms);
    const std::string Host = hostOf(Cell, Task);
    ASSERT_NE(Host, "");
    Workers.Cut.insert(Host);
    Workers.crash(Host);
    Workers.LateOrders = 0;
    Cell.run(700ms);
    Disturb(Cell);
    Cell.run(300ms);
    Workers.restart(Host);
    Cell.run(11s);
    Workers.Cut.clear();
    Cell.run(25s);
    for (const std::string &Violation : Workers.violations())
      ADD_FAILURE() << "seed " << Seed << ": " << Violation;
    EXPECT_TRUE(Workers.isDone(Task)) << "seed " << Seed;
  }
}

// Guards against a start on its way that the next leader does not know of.
TEST(RestartHazardsTest, ALateStartIsWaitedForAfterItsLeaderWasKilled) {
  expectALateStartIsWaitedFor(loseLeader);
  expectALateStartIsWaitedFor(loseAll);
}

// Guards against jobs that count as begun though their starts were lost.
TEST(RestartHazardsTest, JobsOfALostWorkerWaitUntilTheyAreAtWork) {
  for (const bool KillsLeader : {false, true}) {
    EmulatedCell Cell(1, 3, 6);
    EmulatedWorkers &Workers = Cell.workers();
    Workers.CrashesSilently = true;
    Cell.run(3s);
    Workers.crash("w0");
    Cell.run(200ms);
    constexpr int JobCount = 40;
    std::vector<std::string> Ids;
    Ids.reserve(JobCount);
    for (int Number = 0; Number < JobCount; ++Number)
      Ids.push_back(Cell.submit("n0", stepOf(1, 1s)));
    Cell.run(400ms);
    if (KillsLeader)
      loseLeader(Cell);
    int MostWaiting = 0;
    for (int Step = 0; Step < 100; ++Step) {
      Cell.run(200ms);
      const std::string Leader = Cell.leader();
      if (Leader.empty() || !Cell.node(Leader).leader()->isLoaded())
        continue;
      const jobs::JobScheduler &Jobs = Cell.node(Leader).leader()->scheduler();
      int Waiting = 0;
      for (const std::string &Id : Ids) {
        if (Workers.lastStart(Id + ".0.0.0"))
          continue;
        ++Waiting;
        EXPECT_EQ(Jobs.view(Id), JobView::Queued);
      }
      EXPECT_GE(Jobs.pending(), Waiting);
      MostWaiting = std::max(MostWaiting, Waiting);
    }
    EXPECT_GT(MostWaiting, 0);
    EXPECT_EQ(Cell.node(Cell.leader()).leader()->scheduler().pending(), 0);
    for (const std::string &Id : Ids)
      EXPECT_TRUE(Workers.isDone(Id + ".0.0.0"));
  }
}

/// Longest time until the tasks of a worker that ends for good are at work
/// again. \p Disturb is called \p SinceEnd after its end.
Duration
longestWaitAfterALoss(const std::function<void(EmulatedCell &)> &Disturb,
                      Duration SinceEnd) {
  EmulatedCell Cell(1, 4, 6);
  Cell.workers().CrashesSilently = true;
  Cell.run(3s);
  Cell.submit("n0", stepOf(24, 60s));
  Cell.run(1s);
  const std::set<std::string> All = Cell.workers().activeTasks();
  EXPECT_EQ(All.size(), 24U);
  const TimePoint End = Cell.time().now();
  Cell.workers().crash("w0");
  EXPECT_LT(Cell.workers().activeTasks().size(), All.size());
  Cell.run(SinceEnd);
  Disturb(Cell);
  while (Cell.workers().activeTasks() != All && Cell.time().now() - End < 30s)
    Cell.run(20ms);
  return Cell.time().now() - End;
}

// Guards against confirmed runs that wait for starts which may be on their way.
TEST(RestartHazardsTest, ConfirmedRunsStartAgainAfterTheLeaseOfAnEndedWorker) {
  const cell::Timing Times;
  const Duration Lease = Times.onWorkerClock(Times.WorkerLease) + 500ms;
  const Duration Contact = Times.MemberLease + 1s;
  EXPECT_LE(longestWaitAfterALoss([](EmulatedCell &) {}, 0s), Lease);
  EXPECT_LE(longestWaitAfterALoss(loseMembers, 0s), Lease + Contact);
  EXPECT_LE(longestWaitAfterALoss(loseMembers, 3s), Lease + Contact);
  EXPECT_LE(longestWaitAfterALoss(loseLeader, 3s), Lease + Contact);
  EXPECT_LE(longestWaitAfterALoss(loseLeader, 0s),
            Lease + Contact + Times.LeaderLease);
}

// Guards against a withdrawn key that is accepted again after a restart.
TEST_F(HazardsTest, AWithdrawnKeyStaysWithdrawnAfterARestart) {
  Cell.withdrawKeys(2);
  Cell.run(1s);
  for (int Round = 0; Round < 2; ++Round) {
    const std::string Id = Cell.submit("n1", stepOf(1, 100ms));
    Cell.run(1s);
    EXPECT_FALSE(Cell.jobs().at(Id).Accepted);
    for (const std::string &Name : Cell.names()) {
      Cell.kill(Name);
      Cell.start(Name);
    }
    Cell.run(3s);
  }
  EXPECT_EQ(Cell.answers().at(cell::ClientStatus::UnknownKey), 2);
}

// Guards against a caller's job that ends the instance: the time that it may
// take was computed from its steps before they were checked.
TEST_F(HazardsTest, AMalformedJobIsRefusedAndTheInstanceGoesOn) {
  jobs::StepSpec Wrong = stepOf(1, 100ms);
  Wrong.After = {1'000'000};
  const std::string Id = Cell.submit("n1", Wrong);
  Cell.run(100ms);
  EXPECT_FALSE(Cell.jobs().at(Id).Accepted);
  EXPECT_EQ(Cell.answers().at(cell::ClientStatus::Malformed), 1);
  const std::string Good = Cell.submit("n1", stepOf(1, 100ms));
  Cell.run(1s);
  EXPECT_EQ(viewOf("n1", Good), JobView::Completed);
}

/// Returns \p Text with some characters replaced, removed or repeated.
std::string mutate(std::string Text, const std::vector<int> &Choices) {
  static const std::string Pieces[] = {
      "{",    "}",    "[",     "]",  "\"",
      "null", "-1",   "1e300", ",",  ":",
      "\xff", "true", "{}",    "[]", "99999999999999999999"};
  for (std::size_t Index = 0; Index + 2 < Choices.size(); Index += 3) {
    if (Text.empty())
      return Text;
    const std::size_t At = std::size_t(Choices[Index]) % Text.size();
    const std::size_t Length = std::min<std::size_t>(
        std::size_t(Choices[Index + 1]) % 12, Text.size() - At);
    Text.replace(At, Length,
                 Pieces[std::size_t(Choices[Index + 2]) % std::size(Pieces)]);
  }
  return Text;
}

// Guards against a malformed message from a peer that ends a process or spoils
// its state.
TEST(MalformedMessageTest, AnInstanceGoesOn) {
  checkWithFixedSeeds(
      [] {
        EmulatedCell Cell(1);
        Cell.run(2s);
        const std::string Leader = Cell.leader();
        cell::Envelope Link;
        Link.Session = "x/1";
        Link.Sequence = 1;
        Link.Term = 1;
        Link.From = {"n9", "n9", "zone", 1};
        Link.ToLeader = cell::MemberMessage{};
        Link.ToLeader->Refused = {{{"w0", 1}, "0000000000000001.0.0.0", 1}};
        Link.ToLeader->Advice = {{"0000000000000001.0.0", {"w0"}, true, {}}};
        cell::CallBatch Batch;
        Batch.Term = 1;
        Batch.Process = "x";
        jobs::JobSpec Job;
        Job.Id = "00000000000000aa";
        Job.Queue = "batch";
        Job.Account = "account";
        Job.Steps = {stepOf(2, 100ms)};
        Batch.Submissions = {{1, Job}};
        Batch.Queries = {{2, cell::QueryKind::State, Job.Id}};
        const auto Choices = *rc::gen::container<std::vector<int>>(
            30, rc::gen::inRange(0, 100'000));
        for (std::size_t Index = 0; Index + 3 <= Choices.size(); Index += 3) {
          const std::vector<int> Part(Choices.begin() + std::ptrdiff_t(Index),
                                      Choices.end());
          for (const std::string &Text :
               {cell::encode(Link), cell::encode(Batch)})
            Cell.node(Leader).receive(
                mutate(Text, Part), [](const std::optional<std::string> &) {});
        }
        Cell.run(3s);
        const std::string Good = Cell.submit("n1", stepOf(2, 100ms));
        Cell.run(4s);
        RC_ASSERT(Cell.workers().isDone(Good + ".0.0.0"));
      },
      30);
}

/// True if the workers that the advice service approves, when empty, are enough
/// for the gang of a job.
bool fitsApprovedWorkers(EmulatedCell &Cell, const JobRecord &Job) {
  const jobs::StepSpec &Step = Job.Spec.Steps.front();
  std::int64_t Slots = 0;
  for (const std::string &Id : Cell.workers().ids())
    if (EmulatedAdvice::approves(jobs::stepName(Job.Spec.Id, 0), Id))
      Slots +=
          Cell.workers().info(Id)->Capacity.CpuMillis / Step.Request.CpuMillis;
  return Slots >= (Step.Gang ? Step.Count : 1);
}

// Guards against gangs that wait for each other's claims for ever after all
// instances have lost power with a full queue.
TEST(GangHazardsTest, EveryGangEndsAfterARestartOfAllWithAFullQueue) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    EmulatedCell Cell(Seed, 3, 12);
    Cell.run(2s);
    std::mt19937_64 Random(Seed);
    const auto Any = [&Random](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Random);
    };
    std::vector<std::string> Ids;
    for (int Number = 0; Number < 40; ++Number) {
      jobs::StepSpec Step =
          stepOf(Any(2, 12), Duration(Any(300, 2000)), Number % 4 != 0);
      Step.Request.CpuMillis = Any(2000, 15'000);
      Ids.push_back(
          Cell.submit("n0", Step, Number % 2 == 0 ? "/quick/" : "/batch/"));
      Cell.run(Duration(Any(0, 60)));
    }
    for (const std::string &Name : Cell.names())
      Cell.kill(Name);
    Cell.run(4s);
    for (const std::string &Name : Cell.names())
      Cell.start(Name);
    Cell.run(70s);
    for (const std::string &Id : Ids)
      Cell.read("n1", Id);
    Cell.run(1s);
    for (std::size_t Number = 0; Number < Ids.size(); ++Number) {
      const JobRecord &Job = Cell.jobs().at(Ids[Number]);
      const bool Fits = Number % 2 != 0 || fitsApprovedWorkers(Cell, Job);
      EXPECT_TRUE(!Job.Accepted || !Fits || Job.View == JobView::Completed)
          << Ids[Number] << " of seed " << Seed;
    }
  }
}

} // namespace
} // namespace apricotwing::emulator
