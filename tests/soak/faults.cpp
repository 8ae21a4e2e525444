/// \file
/// The faults of a soak.
#include "soak/soak.h"

#include <sstream>
#include <stdexcept>
#include <thread>

namespace apricotwing::soak {

namespace {

constexpr std::int64_t GraceMs = 6000;
constexpr std::int64_t MsOfLongTasksBefore = 4000;

} // namespace

void Soak::crashSeries(std::mt19937_64 &Draw) {
  for (int Wave = 0; Wave < 6; ++Wave) {
    const std::vector<int> Hit = drawWorkers(Draw, 0.5);
    note("half of the workers crash for 1 s");
    for (const int Index : Hit)
      Site.crashWorker(Index);
    sleepMs(1000);
    for (const int Index : Hit)
      Site.startWorker(Index);
    sleepMs(3000);
  }
}

void Soak::crashLong(std::mt19937_64 &Draw) {
  const std::vector<int> Hit = drawWorkers(Draw, 0.15);
  note("15% of the workers crash for 4.5 s");
  for (const int Index : Hit)
    Site.crashWorker(Index);
  sleepMs(4500);
  for (const int Index : Hit)
    Site.startWorker(Index);
}

void Soak::failRuns(std::mt19937_64 &Draw) {
  const std::vector<int> Hit = drawWorkers(Draw, 0.085);
  note("8.5% of the workers fail all runs for 6.5 s");
  for (const int Index : Hit)
    Site.setMode(Index, WorkerMode::FailsRuns);
  sleepMs(6500);
  for (const int Index : Hit)
    Site.setMode(Index, WorkerMode::Sound);
}

void Soak::refuseStarts(std::mt19937_64 &Draw) {
  const std::vector<int> Hit = drawWorkers(Draw, 0.085);
  note("8.5% of the workers refuse all starts for 6.5 s");
  for (const int Index : Hit)
    Site.setMode(Index, WorkerMode::Unhealthy);
  sleepMs(6500);
  for (const int Index : Hit)
    Site.setMode(Index, WorkerMode::Sound);
}

// One account hands in gangs for 5 s; the other ones go on.
void Soak::burstOfGangs(std::mt19937_64 &Draw) {
  note("a burst of gangs of one account for 5 s");
  const int Account = int(Draw() % AccountCount);
  for (int Count = 0; Count < 20; ++Count) {
    JobPlan Plan =
        drawJob(Draw, QueueKinds.front(), 1'000'000 + int(Draw() % 1'000'000));
    Plan.Account = Account;
    Site.addJob(Plan);
    {
      const std::lock_guard Lock(Mutex);
      if (TrafficEnded)
        return;
      Queue.push_back(std::move(Plan));
      Arrived.notify_one();
    }
    sleepMs(250);
  }
}

void Soak::hangWorkers(std::mt19937_64 &Draw) {
  const std::vector<int> Hit = drawWorkers(Draw, 0.1);
  note("10% of the workers do not answer for 5.5 s");
  for (const int Index : Hit)
    Site.setMode(Index, WorkerMode::Hangs);
  sleepMs(5500);
  for (const int Index : Hit)
    Site.setMode(Index, WorkerMode::Sound);
}

void Soak::killLeader(std::mt19937_64 &) {
  const int Index = leader();
  note("SIGKILL of the leader, " + Entries::name(Index));
  Instances.kill(Index);
  sleepMs(1500);
  Instances.start(Index);
}

void Soak::killAll(std::mt19937_64 &) {
  note("SIGKILL of all entries, which start again after 9.5 s");
  for (int Index = 0; Index < EntryCount; ++Index)
    Instances.kill(Index);
  sleepMs(9500);
  for (int Index = 0; Index < EntryCount; ++Index)
    Instances.start(Index);
}

void Soak::cutStore(std::mt19937_64 &) {
  note("the store is down for 4.5 s");
  for (int Index = 0; Index < EntryCount; ++Index)
    Registry.setDown(std::size_t(Index), true);
  sleepMs(4500);
  for (int Index = 0; Index < EntryCount; ++Index)
    Registry.setDown(std::size_t(Index), false);
}

// The store answers the other entries.
void Soak::cutLeader(std::mt19937_64 &) {
  const int Index = leader();
  note("the leader has no store for 7 s, " + Entries::name(Index));
  Registry.setDown(std::size_t(Index), true);
  sleepMs(7000);
  Registry.setDown(std::size_t(Index), false);
}

void Soak::freezeLeader(std::mt19937_64 &) {
  const int Index = leader();
  note("the leader is frozen for 4 s, " + Entries::name(Index));
  Instances.freeze(Index, true);
  sleepMs(4000);
  Instances.freeze(Index, false);
}

void Soak::recut(std::mt19937_64 &Draw) {
  playSeries(RestartSeries::ofAThird(Draw, Chosen.Rounds), false);
}

void Soak::recutAndKill(std::mt19937_64 &Draw) {
  playSeries(RestartSeries::ofAThird(Draw, Chosen.Rounds), true);
}

void Soak::recutDrawn(std::mt19937_64 &Draw) {
  const RestartSeries Series = RestartSeries::drawn(Draw);
  playSeries(Series, std::bernoulli_distribution(0.5)(Draw));
}

// Tasks outlast the lease while it lasts, so that a cut hits them at work.
void Soak::playSeries(const RestartSeries &Series, bool KillsLeader) {
  note(Series.describe());
  ++LongTasks;
  sleepMs(MsOfLongTasksBefore);
  std::vector<std::thread> Restarts;
  Series.play(Site, [&] {
    if (KillsLeader)
      Restarts.emplace_back([this] { killLeader(Random); });
  });
  --LongTasks;
  for (std::thread &Restart : Restarts)
    Restart.join();
}

void Soak::delayCalls(std::mt19937_64 &Draw) {
  const std::vector<int> Hit =
      drawWorkers(Draw, std::uniform_real_distribution<double>(0.1, 0.5)(Draw));
  const double Share = std::uniform_real_distribution<double>(0.1, 0.6)(Draw);
  note(std::to_string(Hit.size()) + " workers carry out " +
       std::to_string(int(100 * Share)) + "% of the calls late for 8 s");
  for (const int Index : Hit)
    Site.setLateCalls(Index, Share);
  sleepMs(8000);
  for (const int Index : Hit)
    Site.setLateCalls(Index, 0);
}

void Soak::rollEntries(std::mt19937_64 &Draw) {
  const int First = int(Draw() % EntryCount);
  for (int Count = 0; Count < 4; ++Count) {
    const int Index = (First + Count) % EntryCount;
    note("SIGTERM of " + Entries::name(Index) + " and a new policy");
    configure();
    Instances.terminate(Index, GraceMs);
    sleepMs(300);
    Instances.start(Index);
    sleepMs(1000);
  }
}

void Soak::changePolicies(std::mt19937_64 &) {
  note("14 policies within 4.6 s");
  for (int Count = 0; Count < 14; ++Count) {
    configure();
    sleepMs(330);
  }
}

void Soak::setAllAdvice(AdviceMode Mode) {
  for (int Machine = 0; Machine < EntryCount; ++Machine)
    Site.setAdvice(Machine, Mode);
}

void Soak::slowAdvice(std::mt19937_64 &) {
  note("advice takes six times as long for 7 s");
  setAllAdvice(AdviceMode::Slow);
  sleepMs(7000);
  setAllAdvice(AdviceMode::Sound);
}

// The machine whose calls fail keeps failing to the end.
void Soak::failAdvice(std::mt19937_64 &Draw) {
  const int Machine = int(Draw() % EntryCount);
  note("advice for " + Entries::name(Machine) + " fails from now on");
  Site.setAdvice(Machine, AdviceMode::Errors);
}

// Of the same kind, for the machines of the first zone.
void Soak::failAdviceOfZone(std::mt19937_64 &) {
  note("advice for the machines of zone-a fails from now on");
  for (int Machine = 0; Machine < EntryCount; ++Machine)
    if (Entries::name(Machine).starts_with("frontend-zone-a"))
      Site.setAdvice(Machine, AdviceMode::Errors);
}

void Soak::silentAdvice(std::mt19937_64 &) {
  note("advice is silent for 6 s");
  setAllAdvice(AdviceMode::Silent);
  sleepMs(6000);
  setAllAdvice(AdviceMode::Sound);
}

void Soak::planFaults() {
  const std::map<std::string, Fault> Known{
      {"crash-series", &Soak::crashSeries},
      {"crash-long", &Soak::crashLong},
      {"fail-runs", &Soak::failRuns},
      {"refuse-starts", &Soak::refuseStarts},
      {"burst", &Soak::burstOfGangs},
      {"hang", &Soak::hangWorkers},
      {"kill-leader", &Soak::killLeader},
      {"kill-all", &Soak::killAll},
      {"cut-store", &Soak::cutStore},
      {"cut-leader", &Soak::cutLeader},
      {"freeze-leader", &Soak::freezeLeader},
      {"recut", &Soak::recut},
      {"recut-kill", &Soak::recutAndKill},
      {"recut-drawn", &Soak::recutDrawn},
      {"late-orders", &Soak::delayCalls},
      {"roll", &Soak::rollEntries},
      {"policies", &Soak::changePolicies},
      {"advice-slow", &Soak::slowAdvice},
      {"advice-errors", &Soak::failAdvice},
      {"advice-errors-zone", &Soak::failAdviceOfZone},
      {"advice-silent", &Soak::silentAdvice}};
  std::mt19937_64 Draw(Chosen.Seed * 104'729 + 3);
  std::istringstream Lists(Chosen.Faults);
  for (std::string List; std::getline(Lists, List, '+');) {
    std::vector<Fault> &Lane = Lanes.emplace_back();
    std::istringstream Names(List);
    for (std::string Name; std::getline(Names, Name, ',');) {
      if (Name == "mix") {
        for (int Count = 0; Count < 4; ++Count)
          Lane.push_back(
              std::next(Known.begin(), std::ptrdiff_t(Draw() % Known.size()))
                  ->second);
      } else if (Known.contains(Name)) {
        Lane.push_back(Known.at(Name));
      } else if (Name != "none") {
        throw std::invalid_argument("no fault has the name " + Name);
      }
    }
  }
}

void Soak::playFaults() {
  std::mt19937_64 Draw(Chosen.Seed * 15'485'863 + 5);
  sleepMs(1000LL * Chosen.FaultsAtSecond);
  std::vector<std::thread> Players;
  for (const std::vector<Fault> &Lane : Lanes)
    Players.emplace_back([this, &Lane, Seed = Draw()] {
      std::mt19937_64 OfLane(Seed);
      for (const Fault One : Lane) {
        (this->*One)(OfLane);
        sleepMs(1000);
      }
    });
  for (std::thread &Player : Players)
    Player.join();
  note("the faults are over");
}

} // namespace apricotwing::soak
