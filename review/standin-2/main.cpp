/// \file
/// The cases of the second review that are scripts: main CASE FOLDER. Exits
/// with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
#include "cell.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace review;

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// Starts all processes; false if they are not ready in time.
bool startAll(Cell &Site, int Entries, const std::vector<Queue> &Queues) {
  Site.configure(Queues);
  for (int Index = 0; Index < Entries; ++Index)
    Site.start(Index);
  return Site.awaitReady(20'000);
}

/// Executors crash one at a time under a sound gang, whose job must not be
/// shown as failed.
int crashes(const std::string &Folder) {
  constexpr int Executors = 12;
  constexpr int Tasks = 20;
  constexpr int Crashes = 6;
  Options Chosen;
  Chosen.Folder = Folder;
  Chosen.Executors = Executors;
  Cell Site(Chosen);
  Queue Planning{.Name = "planning"};
  if (!startAll(Site, Chosen.Entries, {Planning}))
    return 2;
  const Job Plan{newId(1), "planning", "key-one", 15'000, 16'000, Tasks};
  const Json Steps{{{"count", Tasks},
                    {"cpu", Plan.Cpu},
                    {"mem_mb", 2000},
                    {"estimated_duration_ms", Plan.WorkMs},
                    {"gang_scheduled", true}}};
  if (Site.submit(Plan, Steps) != 200)
    return 2;
  std::string State;
  const auto Ended = [&] {
    State = Site.state(Plan);
    return State == "failed" || State == "completed" || State == "cancelled";
  };
  for (int Number = 0; hasTrouble() && Number < Crashes && !Ended(); ++Number) {
    soak::sleepMs(6500);
    const int Victim = (5 * Number + 3) % Executors;
    Site.crashExecutor(Victim);
    soak::sleepMs(2000);
    Site.startExecutor(Victim);
  }
  for (int Second = 0; Second < 40 && !Ended(); ++Second)
    soak::sleepMs(1000);
  Site.note("GET shows " + State + "; runs that ended failed: " +
            std::to_string(Site.failedEnds(Plan.Id)) + ", max_attempts " +
            std::to_string(Planning.MaxAttempts));
  const bool Broken = State == "failed" && Site.failedEnds(Plan.Id) == 0;
  Site.note(Broken ? "BROKEN: shown as failed without cause" : "held");
  return Broken ? 1 : 0;
}

/// Waits until the task has been away for too long by the rule LOST: 6 s from
/// its last run, and 3 s more in which there is room for it twice over.
/// Returns how long it was away, in ms.
std::int64_t awaitRestart(Cell &Site, const Job &Service,
                          const std::string &Task, std::int64_t From,
                          std::int64_t WatchMs, bool &Broken) {
  std::int64_t RoomSince = From;
  std::int64_t Now = From;
  for (; (Now = soak::nowMs()) < From + WatchMs; soak::sleepMs(20)) {
    if (Site.isRunning(Task))
      return Now - From;
    if (Site.slotsFor(Service.Cpu) < 2)
      RoomSince = Now;
    if (!Broken && Now - std::max(From + 6000, RoomSince) > 3000) {
      Broken = true;
      Site.note("BROKEN: " + Task + " does not run, with room for " +
                std::to_string(Site.slotsFor(Service.Cpu)) +
                " such tasks and " + std::to_string(Site.usedCpu() / 1000) +
                " cores in use");
    }
  }
  return Now - From;
}

/// A run of a task that lasts fails while younger steps of its queue take the
/// calls for advice, which are slow there. One machine of three makes none.
int lasting(const std::string &Folder) {
  constexpr int PerSecondTenths = 45;
  Options Chosen;
  Chosen.Folder = Folder;
  Cell Site(Chosen);
  Queue Planning{.Name = "planning"};
  Planning.AdviceMs = 480;
  Planning.AdvicePerWorkerMs = 6.9;
  if (!startAll(Site, Chosen.Entries, {Planning}))
    return 2;
  const Job Service{newId(1), "planning", "key-two", 2000, 0, 0};
  if (Site.submit(Service, {{{"count", 2},
                             {"cpu", Service.Cpu},
                             {"mem_mb", 500},
                             {"long_running", true}}}) != 200)
    return 2;
  const std::string Task = Service.Id + ".0.0.0";
  Site.countAsksOf(Service.Id);
  std::atomic<bool> Stop = false;
  std::thread Traffic([&] {
    std::vector<std::thread> Clients;
    const std::int64_t Start = soak::nowMs();
    for (std::uint64_t Number = 0; !Stop; ++Number) {
      const std::int64_t At =
          Start + std::int64_t(Number) * 10'000 / PerSecondTenths;
      while (!Stop && soak::nowMs() < At)
        soak::sleepMs(5);
      Clients.emplace_back([&Site, Number] {
        const Job Small{
            newId(100 + Number), "planning", "key-one", 1000, 2000, 0};
        Site.submit(Small, {{{"count", 1},
                             {"cpu", Small.Cpu},
                             {"mem_mb", 500},
                             {"estimated_duration_ms", Small.WorkMs}}});
      });
    }
    for (std::thread &One : Clients)
      One.join();
  });
  soak::sleepMs(15'000);
  bool Broken = !Site.isRunning(Task);
  if (!Broken && hasTrouble()) {
    const std::int64_t Failed = soak::nowMs();
    const int AsksBefore = Site.asks();
    Site.adviceUse(Failed);
    Site.failRun(Task);
    const std::int64_t Away =
        awaitRestart(Site, Service, Task, Failed, 30'000, Broken);
    Site.note(Task + " was away for " + std::to_string(Away) +
              " ms; calls for advice on it meanwhile: " +
              std::to_string(Site.asks() - AsksBefore) +
              "; advice service busy: " + Site.adviceUse(Failed));
  } else if (!Broken) {
    soak::sleepMs(30'000);
    Broken = !Site.isRunning(Task);
  }
  Stop = true;
  Traffic.join();
  Site.note(Broken ? "BROKEN" : "held");
  return Broken ? 1 : 0;
}

/// A run of a task that lasts fails while larger tasks of a more urgent queue
/// wait for whole executors.
int urgent(const std::string &Folder) {
  constexpr int PerSecondTenths = 45;
  Options Chosen;
  Chosen.Folder = Folder;
  Cell Site(Chosen);
  Queue Urgent{.Name = "urgent",
               .Priority = 0,
               .TargetMs = 3000,
               .MaxAttempts = 2,
               .SlackFactor = 1.9};
  Queue Desk{.Name = "desk",
             .Priority = 1,
             .TargetMs = 1000,
             .MaxAttempts = 2,
             .SlackFactor = 2.2};
  if (!startAll(Site, Chosen.Entries, {Urgent, Desk}))
    return 2;
  const Job Service{newId(1), "desk", "key-two", 1000, 0, 0};
  if (Site.submit(Service, {{{"count", 2},
                             {"cpu", Service.Cpu},
                             {"mem_mb", 500},
                             {"long_running", true}}}) != 200)
    return 2;
  const std::string Task = Service.Id + ".0.0.0";
  std::atomic<bool> Stop = false;
  std::thread Traffic([&] {
    std::vector<std::thread> Clients;
    const std::int64_t Start = soak::nowMs();
    for (std::uint64_t Number = 0; !Stop; ++Number) {
      const std::int64_t At =
          Start + std::int64_t(Number) * 10'000 / PerSecondTenths;
      while (!Stop && soak::nowMs() < At)
        soak::sleepMs(5);
      Clients.emplace_back([&Site, Number] {
        const Job Large{
            newId(100 + Number), "urgent", "key-one", 30'000, 4000, 0};
        Site.submit(Large, {{{"count", 1},
                             {"cpu", Large.Cpu},
                             {"mem_mb", 500},
                             {"estimated_duration_ms", Large.WorkMs}}});
      });
    }
    for (std::thread &One : Clients)
      One.join();
  });
  soak::sleepMs(20'000);
  bool Broken = !Site.isRunning(Task);
  if (!Broken && hasTrouble()) {
    const std::int64_t Failed = soak::nowMs();
    Site.failRun(Task);
    const std::int64_t Away =
        awaitRestart(Site, Service, Task, Failed, 30'000, Broken);
    Site.note(Task + " was away for " + std::to_string(Away) + " ms");
  } else if (!Broken) {
    soak::sleepMs(30'000);
    Broken = !Site.isRunning(Task);
  }
  Stop = true;
  Traffic.join();
  Site.note(Broken ? "BROKEN" : "held");
  return Broken ? 1 : 0;
}

/// An executor is lost for good, and jobs come. The count of waiting jobs must
/// be at least half of those that have waited for 5 s.
int count(const std::string &Folder) {
  constexpr int NewJobs = 10;
  constexpr int WatchMs = 16'000;
  constexpr std::int64_t VisibleMs = 3000 + 2000;
  Options Chosen;
  Chosen.Folder = Folder;
  Cell Site(Chosen);
  Queue Desk{.Name = "desk",
             .Priority = 0,
             .TargetMs = 250,
             .MaxAttempts = 3,
             .SlackFactor = 1.5};
  if (!startAll(Site, Chosen.Entries, {Desk}))
    return 2;
  const Json Steps{{{"count", 1},
                    {"cpu", 2800},
                    {"mem_mb", 4000},
                    {"estimated_duration_ms", 1000}}};
  soak::sleepMs(15'000);
  const std::int64_t LostAt = soak::nowMs();
  if (hasTrouble())
    Site.darkenExecutor(0);
  soak::sleepMs(200);
  std::vector<std::pair<std::string, std::int64_t>> Accepted;
  for (int Number = 0; Number < NewJobs; ++Number) {
    const Job Small{
        newId(100 + std::uint64_t(Number)), "desk", "key-one", 2800, 1000, 0};
    if (Site.submit(Small, Steps) == 200)
      Accepted.emplace_back(Small.Id, soak::nowMs());
  }
  int BrokenChecks = 0;
  int Checks = 0;
  while (soak::nowMs() - LostAt < WatchMs) {
    const std::int64_t Asked = soak::nowMs();
    const int Told = Site.pending("desk", "key-one");
    int Waiting = 0;
    for (const auto &[Id, At] : Accepted)
      Waiting += Asked - At > VisibleMs && !Site.hasBegun(Id) ? 1 : 0;
    ++Checks;
    const bool IsBroken = Told >= 0 && 2 * Told < Waiting;
    BrokenChecks += IsBroken ? 1 : 0;
    Site.note("GET desk/ -> pending " + std::to_string(Told) + "; " +
              std::to_string(Waiting) +
              " jobs have waited for over 5 s and haven't begun" +
              (IsBroken ? ": BROKEN" : ""));
    soak::sleepMs(500);
  }
  Site.note(std::to_string(BrokenChecks) + " of " + std::to_string(Checks) +
            " answers are wrong");
  Site.note(BrokenChecks > 0 ? "BROKEN" : "held");
  return BrokenChecks > 0 ? 1 : 0;
}

/// A start order is carried out late, by the next process of its executor,
/// which crashed behind a cut, while the leader that sent it is lost.
int twice(const std::string &Folder) {
  constexpr std::int64_t LateMs = 6000;
  constexpr std::int64_t CutMs = 12'000;
  Options Chosen;
  Chosen.Folder = Folder;
  Cell Site(Chosen);
  Queue Desk{.Name = "desk",
             .Priority = 0,
             .TargetMs = 250,
             .MaxAttempts = 3,
             .SlackFactor = 1.5};
  if (!startAll(Site, Chosen.Entries, {Desk}))
    return 2;
  soak::sleepMs(18'000);
  const Job Plan{newId(1), "desk", "key-one", 9000, 16'000, 0};
  const std::string Task = Plan.Id + ".0.0.0";
  const bool Trouble = hasTrouble();
  if (Trouble)
    Site.holdNextStart(0, LateMs);
  if (Site.submit(Plan, {{{"count", 1},
                          {"cpu", Plan.Cpu},
                          {"mem_mb", 9000},
                          {"estimated_duration_ms", Plan.WorkMs}}}) != 200)
    return 2;
  const std::int64_t SentAt = soak::nowMs();
  if (Trouble) {
    while (!Site.isStartHeld(0)) {
      soak::sleepMs(1);
      if (soak::nowMs() - SentAt > 1000)
        return 2; // The task was placed elsewhere.
    }
    Site.setCut(0, true);
    const int Leader = Site.leader();
    std::thread Next([&] { Site.restartBehindCut(0, 1000); });
    soak::sleepMs(700);
    Site.kill(Leader);
    soak::sleepMs(500);
    Site.start(Leader);
    Next.join();
  }
  std::int64_t TwiceMs = 0;
  bool IsCut = Trouble;
  while (soak::nowMs() - SentAt < 30'000) {
    if (IsCut && soak::nowMs() - SentAt >= CutMs) {
      IsCut = false;
      Site.setCut(0, false);
    }
    if (Site.runsAtOnce(Task) > 1) {
      if (TwiceMs == 0)
        Site.note("BROKEN: " + Task + " runs twice at the same time");
      TwiceMs += 5;
    }
    soak::sleepMs(5);
  }
  Site.note("two runs at the same time for about " + std::to_string(TwiceMs) +
            " ms; GET shows " + Site.state(Plan));
  Site.note(TwiceMs > 0 ? "BROKEN" : "held");
  return TwiceMs > 0 ? 1 : 0;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return 2;
  const std::string Case = Argv[1];
  try {
    if (Case == "crashes")
      return crashes(Argv[2]);
    if (Case == "lasting")
      return lasting(Argv[2]);
    if (Case == "twice")
      return twice(Argv[2]);
    if (Case == "count")
      return count(Argv[2]);
    if (Case == "urgent")
      return urgent(Argv[2]);
  } catch (const std::exception &Problem) {
    std::cerr << "the case couldn't run: " << Problem.what() << '\n';
  }
  return 2;
}
