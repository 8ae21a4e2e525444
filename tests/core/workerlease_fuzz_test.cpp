// Property test of worker leases with one worker, changing owners and messages
// that are lost or late: an owner may count tasks as ended only when they have
// ended.
#include "core/workerlease.h"
#include "support/fixedseeds.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <set>
#include <string>

namespace apricotwing {
namespace {

constexpr std::int64_t StepMs = 100;

/// Short durations, so that a run covers several of each.
const WorkerLeaseSettings Settings = {Duration(15000), Duration(3000),
                                      Duration(40000)};

struct Message {
  int Owner = 0;
  int Start = 0; ///< Number of a start; 0 for a renewal.
  std::int64_t DeadlineMs = 0;
  TimePoint SentAt;
  std::int64_t ArrivesMs = 0;
};

/// An owner of the shard. Its index is its shard epoch.
struct Owner {
  double Rate = 1;
  TimePoint LastRenewal;
  WorkerLease Lease;
};

/// Simulation of one worker, the owners of one shard and the network between
/// them.
struct World {
  std::int64_t TrueMs = 0;
  std::int64_t DelayMs = 0;
  double WorkerRate = 1.004;
  bool Cut = false;
  bool AnswersLost = false;
  bool WorkerReadsNothing = false;
  int HighestEpoch = -1;
  std::int64_t DeadlineMs = 0;
  std::set<int> Running;
  int LastStart = 0;
  /// Last start that an owner has counted as ended.
  int CountedAsEndedUpTo = 0;
  int FirstRate = 0;
  std::deque<Owner> Owners;
  std::deque<Message> Network;
  std::string Violation;

  TimePoint clockOf(const Owner &Sender) const {
    return TimePoint(Duration(std::int64_t(double(TrueMs) * Sender.Rate)));
  }
  std::int64_t workerClock() const {
    return 5000 + std::int64_t(double(TrueMs) * WorkerRate);
  }

  void takeOver() {
    // The previous owner had authority until now at the latest.
    if (!Owners.empty())
      Owners.back().LastRenewal = clockOf(Owners.back());
    Owner Fresh{0.9955 + 0.003 * double((FirstRate + int(Owners.size())) % 4),
                {},
                WorkerLease(Settings, TimePoint(), !Owners.empty())};
    Fresh.Lease = WorkerLease(Settings, clockOf(Fresh), !Owners.empty());
    Owners.push_back(Fresh);
  }

  void step() {
    TrueMs += StepMs;
    for (int Index = 0; Index < int(Owners.size()); ++Index)
      renew(Index);
    if (!WorkerReadsNothing)
      workerStep();
    const Owner &Current = Owners.back();
    if (Current.Lease.isExpired(clockOf(Current)))
      CountedAsEndedUpTo = LastStart;
    // The tasks end at the deadline, even while the worker reads no messages.
    if (workerClock() <= DeadlineMs && !Running.empty() &&
        *Running.begin() <= CountedAsEndedUpTo)
      Violation = std::to_string(TrueMs) + " ms: a task runs on after its loss";
  }

  void renew(int Index) {
    Owner &Sender = Owners[std::size_t(Index)];
    const TimePoint Now = clockOf(Sender);
    const bool Current = Index + 1 == int(Owners.size());
    if (!mayRenewLeases(Current, Sender.LastRenewal, Now, Settings) ||
        !Sender.Lease.isRenewalDue(Now))
      return;
    const std::int64_t Deadline = Sender.Lease.nextDeadlineMs(Now);
    if (Cut)
      return;
    Network.push_back({Index, 0, Deadline, Now, TrueMs + DelayMs});
    if (Current && Deadline != 0 && !Sender.Lease.isExpired(Now))
      Network.push_back(
          {Index, ++LastStart, Deadline, Now, TrueMs + 2 * DelayMs});
  }

  void workerStep() {
    if (workerClock() > DeadlineMs)
      Running.clear();
    for (const Message &Received : std::exchange(Network, {}))
      if (Received.ArrivesMs > TrueMs)
        Network.push_back(Received);
      else
        receive(Received);
  }

  void receive(const Message &Received) {
    if (Received.Owner < HighestEpoch)
      return;
    HighestEpoch = Received.Owner;
    if (Received.Start != 0) {
      // A start has no effect after the deadline that was known when it was
      // sent.
      if (workerClock() <= std::min(DeadlineMs, Received.DeadlineMs))
        Running.insert(Received.Start);
      return;
    }
    DeadlineMs = std::max(DeadlineMs, Received.DeadlineMs);
    Owner &Sender = Owners[std::size_t(Received.Owner)];
    if (!Cut && !AnswersLost)
      Sender.Lease.answered(Received.SentAt, clockOf(Sender), workerClock());
  }
};

enum class Event {
  Run,
  TakeOver,
  Cut,
  LoseAnswers,
  Heal,
  Delay,
  StopReading,
  StartReading,
};

struct Model {};

class EventCommand : public rc::state::Command<Model, World> {
public:
  EventCommand()
      : Kind(*rc::gen::weightedElement<Event>({{16, Event::Run},
                                               {2, Event::TakeOver},
                                               {2, Event::Cut},
                                               {2, Event::LoseAnswers},
                                               {2, Event::Heal},
                                               {2, Event::Delay},
                                               {1, Event::StopReading},
                                               {2, Event::StartReading}})),
        Amount(*rc::gen::inRange(0, 100)) {}

  void run(const Model &, World &Cell) const override {
    if (Kind == Event::TakeOver)
      Cell.takeOver();
    if (Kind == Event::Cut || Kind == Event::Heal)
      Cell.Cut = Kind == Event::Cut;
    if (Kind == Event::LoseAnswers || Kind == Event::Heal)
      Cell.AnswersLost = Kind == Event::LoseAnswers;
    if (Kind == Event::Delay)
      Cell.DelayMs = std::int64_t(4) * Amount * Amount;
    if (Kind == Event::StopReading || Kind == Event::StartReading)
      Cell.WorkerReadsNothing = Kind == Event::StopReading;
    for (int Step = 0; Kind == Event::Run && Step < Amount * 10; ++Step)
      Cell.step();
    if (!Cell.Violation.empty())
      RC_FAIL(Cell.Violation);
  }

  void show(std::ostream &Out) const override {
    Out << int(Kind) << " " << Amount;
  }

private:
  Event Kind;
  int Amount;
};

void fuzzLease() {
  World Cell;
  Cell.WorkerRate = *rc::gen::element(0.9955, 1.0, 1.0045);
  Cell.FirstRate = *rc::gen::inRange(0, 4);
  Cell.takeOver();
  rc::state::check(Model(), Cell,
                   rc::state::gen::execOneOfWithArgs<EventCommand>());
}

// Guards against a task that runs on two workers because its worker did not
// answer, was slow, or had its lease renewed by an earlier owner.
TEST(WorkerLeaseFuzz, CountsTasksAsEndedOnlyWhenTheyHave) {
  checkWithFixedSeeds(fuzzLease, 400);
}

// Guards against a lease that never expires, in particular because the owner
// extends it although the worker does not answer.
TEST(WorkerLeaseTest, ExpiresAfterTheBoundOfTheDesign) {
  WorkerLease Known(Settings, TimePoint());
  EXPECT_EQ(Known.nextDeadlineMs(TimePoint()), 0);
  EXPECT_TRUE(Known.answered(TimePoint(), TimePoint(Duration(10)), 50000));
  const TimePoint Sent(Duration(3000));
  EXPECT_NEAR(double(Known.nextDeadlineMs(Sent)), 68000, 100);
  const std::int64_t Deadline = Known.lastDeadlineMs();
  for (int Renewal = 1; Renewal <= 5; ++Renewal)
    EXPECT_EQ(Known.nextDeadlineMs(Sent + Renewal * Settings.Renew), Deadline);
  EXPECT_FALSE(Known.isExpired(Sent + Duration(15000)));
  EXPECT_TRUE(Known.isExpired(Sent + Duration(16500)));

  const WorkerLease Unknown(Settings, TimePoint());
  EXPECT_FALSE(Unknown.isExpired(TimePoint(Duration(55000))));
  EXPECT_TRUE(Unknown.isExpired(TimePoint(Duration(57000))));
}

} // namespace
} // namespace apricotwing
