/// \file
/// apricotwing-soak: runs real processes of the entry instances against
/// stand-ins of their platform, with faults from outside, and checks that no
/// job stands still although there is room and no task runs twice. Exits with 0
/// if nothing was found, 1 if something was, 2 if the deployment did not start
/// or no run has.
#include "soak/entrylogs.h"
#include "soak/platform.h"
#include "soak/restartseries.h"

#include <boost/program_options.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <iostream>
#include <sstream>

namespace apricotwing::soak {

namespace {

/// A final state is due this long after the traffic.
constexpr std::int64_t FinishMs = 14'000;
constexpr std::int64_t CheckIntervalMs = 100;
constexpr int ClientDeadlineMs = 3000;
constexpr int ClientThreads = 32;
constexpr int MaxSubmissions = 4;
constexpr std::int64_t GraceMs = 6000;
constexpr std::int64_t MsOfLongTasksBefore = 4000;

struct Options {
  std::string Program, Folder, Faults = "none";
  std::uint64_t Seed = 1;
  int TrafficSeconds = 40;
  int FaultsAtSecond = 8; ///< Of the traffic.
  int QuietSeconds = 28;  ///< At most, after the traffic.
  double Load = 1;
  bool Throttle = false;
  int Rounds = 3; ///< Of restarts and cuts.
  bool OnlyStarts = false;
};

/// A loopback network of this process, so that soaks can run side by side.
std::string ownNetwork() {
  const auto Pid = unsigned(getpid());
  return "127." + std::to_string(128 + ((Pid >> 8U) & 63U)) + "." +
         std::to_string(Pid & 255U) + ".";
}

/// Runs the deployment, its callers and the faults of one seed.
class Soak {
public:
  explicit Soak(const Options &Chosen)
      : Chosen(Chosen), Random(Chosen.Seed), Network(ownNetwork()),
        Site(Registry, Network, 8185, Chosen.Seed,
             Chosen.Folder + "/record.txt"),
        Instances(Chosen.Program, Network, Chosen.Folder) {
    for (int Index = 0; Index < EntryCount; ++Index) {
      Registry.listen(Instances.storeIp(Index), Entries::StorePort);
      Site.listenForAdvice(Index, Instances.adviceIp(Index),
                           Entries::AdvicePort);
    }
  }

  int run();

private:
  using Fault = void (Soak::*)(std::mt19937_64 &);

  void note(const std::string &Text) {
    Site.record(Text);
    std::cout << nowMs() - TrafficStart << " ms " << Text << std::endl;
  }
  void configure() {
    PolicyVersion += 3;
    Registry.put("op", "config", policy(PolicyVersion).dump());
  }
  int leader() { return std::max(0, Entries::indexOf(Registry.leader())); }
  std::vector<int> someWorkers(std::mt19937_64 &Draw, double Share);

  void produceTraffic();
  void submitJobs();
  void submit(const JobPlan &Plan, std::mt19937_64 &Draw);
  std::string readState(const std::string &Id);

  void planFaults();
  void playFaults();
  void crashSeries(std::mt19937_64 &);
  void crashLong(std::mt19937_64 &);
  void failRuns(std::mt19937_64 &);
  void refuseStarts(std::mt19937_64 &);
  void burstOfGangs(std::mt19937_64 &);
  void hangWorkers(std::mt19937_64 &);
  void killLeader(std::mt19937_64 &);
  void killAll(std::mt19937_64 &);
  void cutStore(std::mt19937_64 &);
  void cutLeader(std::mt19937_64 &);
  void freezeLeader(std::mt19937_64 &);
  void recut(std::mt19937_64 &);
  void recutAndKill(std::mt19937_64 &);
  void recutDrawn(std::mt19937_64 &);
  void playSeries(const RestartSeries &Series, bool KillsLeader);
  void delayCalls(std::mt19937_64 &);
  void rollEntries(std::mt19937_64 &);
  void changePolicies(std::mt19937_64 &);
  void slowAdvice(std::mt19937_64 &);
  void failAdvice(std::mt19937_64 &);
  void failAdviceOfZone(std::mt19937_64 &);
  void silentAdvice(std::mt19937_64 &);
  void setAllAdvice(AdviceMode Mode);

  int report();
  int reportRepeatedTasks();

  const Options Chosen;
  std::mt19937_64 Random;
  const std::string Network;
  Store Registry;
  Platform Site;
  Entries Instances;
  /// Faults that are played one after the other; the lists side by side.
  std::vector<std::vector<Fault>> Lanes;
  int PolicyVersion = 0;
  std::int64_t TrafficStart = 0;
  std::int64_t CheckFrom = 0; ///< From here on a standstill is a finding.
  std::mutex Mutex;
  std::condition_variable Arrived;
  std::deque<JobPlan> Queue;
  bool TrafficEnded = false;
  std::atomic<int> LongTasks = 0; ///< Faults that make tasks long.
  std::map<int, int> Statuses;    ///< Of submissions, by HTTP status.
};

std::vector<int> Soak::someWorkers(std::mt19937_64 &Draw, double Share) {
  std::vector<int> All(WorkerCount);
  for (int Index = 0; Index < WorkerCount; ++Index)
    All[std::size_t(Index)] = Index;
  std::shuffle(All.begin(), All.end(), Draw);
  All.resize(std::size_t(std::max(1.0, Share * WorkerCount)));
  return All;
}

// Callers.

void Soak::produceTraffic() {
  std::mt19937_64 Draw(Chosen.Seed * 7919 + 1);
  double Total = 0;
  for (const QueueKind &Kind : QueueKinds)
    Total += Kind.JobsPerSecond;
  std::exponential_distribution<double> Gap(Total * Chosen.Load / 1000);
  std::uniform_real_distribution<double> Share(0, Total);
  int Number = 0;
  double Next = 0;
  const double End = 1000.0 * Chosen.TrafficSeconds;
  while ((Next += Gap(Draw)) < End) {
    double Pick = Share(Draw);
    const QueueKind *Kind = QueueKinds.data();
    while (Pick > Kind->JobsPerSecond && Kind != &QueueKinds.back())
      Pick -= Kind++->JobsPerSecond;
    JobPlan Plan = drawJob(Draw, *Kind, ++Number);
    if (LongTasks > 0 && Number % 3 == 0)
      lengthen(Plan, Draw);
    sleepMs(
        std::max<std::int64_t>(0, TrafficStart + std::int64_t(Next) - nowMs()));
    Site.addJob(Plan);
    const std::lock_guard Lock(Mutex);
    Queue.push_back(std::move(Plan));
    Arrived.notify_one();
  }
  const std::lock_guard Lock(Mutex);
  TrafficEnded = true;
  Arrived.notify_all();
}

void Soak::submitJobs() {
  std::mt19937_64 Draw(
      std::hash<std::thread::id>()(std::this_thread::get_id()));
  for (;;) {
    JobPlan Plan;
    {
      std::unique_lock Lock(Mutex);
      Arrived.wait(Lock, [this] { return TrafficEnded || !Queue.empty(); });
      if (Queue.empty())
        return;
      Plan = std::move(Queue.front());
      Queue.pop_front();
    }
    submit(Plan, Draw);
  }
}

// A call without an answer is repeated at another entry, as callers do.
void Soak::submit(const JobPlan &Plan, std::mt19937_64 &Draw) {
  const std::string Body = Plan.submission().dump();
  for (int Try = 0; Try < MaxSubmissions; ++Try) {
    const Response Answer =
        call(Instances.ip(int(Draw() % EntryCount)), Entries::ClientPort,
             "POST", Plan.path(),
             {{"Host", "soak.example"},
              {"Content-Type", "application/json"},
              {"Authorization", "Bearer " + accountKey(Plan.Account)},
              {"X-Apricotwing-Deadline-Ms", std::to_string(ClientDeadlineMs)}},
             Body, ClientDeadlineMs);
    {
      const std::lock_guard Lock(Mutex);
      ++Statuses[Answer.Status];
    }
    if (Answer.Status >= 200 && Answer.Status < 300)
      Site.accepted(Plan.Id);
    if (Answer.Status != 0 && Answer.Status != 502 && Answer.Status != 504)
      return;
  }
}

std::string Soak::readState(const std::string &Id) {
  std::string Last = "no answer";
  for (int Try = 0; Try < MaxSubmissions; ++Try) {
    const Response Answer =
        call(Instances.ip(int(Random() % EntryCount)), Entries::ClientPort,
             "GET", Site.pathOf(Id),
             {{"Host", "soak.example"},
              {"Authorization", "Bearer " + accountKey(Site.accountOf(Id))},
              {"X-Apricotwing-Deadline-Ms", std::to_string(ClientDeadlineMs)}},
             "", ClientDeadlineMs);
    if (Answer.Status == 200)
      return Json::parse(Answer.Body).value("state", "");
    Last = std::to_string(Answer.Status);
    if (Answer.Status == 410)
      return Last;
  }
  return Last;
}

// Faults.

void Soak::crashSeries(std::mt19937_64 &Draw) {
  for (int Wave = 0; Wave < 6; ++Wave) {
    const std::vector<int> Hit = someWorkers(Draw, 0.5);
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
  const std::vector<int> Hit = someWorkers(Draw, 0.15);
  note("15% of the workers crash for 4.5 s");
  for (const int Index : Hit)
    Site.crashWorker(Index);
  sleepMs(4500);
  for (const int Index : Hit)
    Site.startWorker(Index);
}

void Soak::failRuns(std::mt19937_64 &Draw) {
  const std::vector<int> Hit = someWorkers(Draw, 0.085);
  note("8.5% of the workers fail all runs for 6.5 s");
  for (const int Index : Hit)
    Site.setMode(Index, WorkerMode::FailsRuns);
  sleepMs(6500);
  for (const int Index : Hit)
    Site.setMode(Index, WorkerMode::Sound);
}

void Soak::refuseStarts(std::mt19937_64 &Draw) {
  const std::vector<int> Hit = someWorkers(Draw, 0.085);
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
  const std::vector<int> Hit = someWorkers(Draw, 0.1);
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
      someWorkers(Draw, std::uniform_real_distribution<double>(0.1, 0.5)(Draw));
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

// The check.

int Soak::reportRepeatedTasks() {
  const std::vector<RepeatedTask> Cases = Site.repeatedTasks();
  for (const RepeatedTask &Case : Cases)
    std::cout << "FINDING TWICE " << Case.Later.Task << ": " << Case.Reason
              << "\n  " << Case.Earlier.describe(TrafficStart) << "\n  "
              << Case.Later.describe(TrafficStart) << "\n"
              << logLinesOf(Instances, Case);
  return int(Cases.size());
}

int Soak::report() {
  int Findings = 0;
  std::set<std::string> WronglyEnded;
  for (const std::string &Id : Site.acceptedJobs()) {
    const std::string Problem = Site.checkState(Id, readState(Id));
    if (Problem.empty())
      continue;
    ++Findings;
    WronglyEnded.insert(Id);
    std::cout << "FINDING state of " << Site.pathOf(Id) << ": " << Problem
              << "\n"
              << lastLogLines(Instances, "job ended", "id=" + Id + " ");
  }
  for (const Standstill &One : Site.standstills()) {
    if (WronglyEnded.contains(One.Job))
      continue;
    const bool Counts =
        One.ToMs - std::max(One.FromMs, CheckFrom) >= MaxStandstillMs;
    Findings += Counts ? 1 : 0;
    std::cout << (Counts ? "FINDING" : "early") << " standstill of "
              << Site.pathOf(One.Job) << " step " << One.Step << " from "
              << One.FromMs - TrafficStart << " to " << One.ToMs - TrafficStart
              << " ms: " << One.Detail << "\n"
              << lastLogLines(Instances, "step waits",
                              "id=" + One.Job + ".0." +
                                  std::to_string(One.Step) + " ");
  }
  const int BeyondStarts = Findings;
  Findings += reportRepeatedTasks();
  for (const std::string &Problem : Site.wrongStarts()) {
    ++Findings;
    std::cout << "FINDING start of " << Problem << "\n";
  }
  const int Ended = Instances.restartEnded();
  if (Ended > 0) {
    Findings += Ended;
    std::cout << "FINDING " << Ended << " entries ended by themselves\n";
  }
  for (const auto &[Status, Count] : Statuses)
    std::cout << "submissions answered " << Status << ": " << Count << "\n";
  for (const auto &[Name, Count] : Site.counts())
    std::cout << Name << ": " << Count << "\n";
  std::cout << "accepted: " << Site.acceptedJobs().size()
            << ", not ended: " << Site.openJobs() << ", findings: " << Findings
            << ", of these no starts: " << BeyondStarts << ", seed "
            << Chosen.Seed << ", faults " << Chosen.Faults << std::endl;
  return Chosen.OnlyStarts ? Findings - BeyondStarts : Findings;
}

int Soak::run() {
  planFaults();
  configure();
  for (int Index = 0; Index < EntryCount; ++Index)
    Instances.start(Index);
  if (!Instances.awaitReady()) {
    std::cout << "the entries do not become ready\n";
    return 2;
  }
  Instances.throttle(Chosen.Throttle);
  sleepMs(2000);
  TrafficStart = nowMs();
  note("traffic begins");
  std::vector<std::thread> Callers;
  Callers.reserve(ClientThreads);
  for (int Count = 0; Count < ClientThreads; ++Count)
    Callers.emplace_back([this] { submitJobs(); });
  std::thread Producer([this] { produceTraffic(); });
  std::thread Troubles([this] { playFaults(); });
  Producer.join();
  for (std::thread &Caller : Callers)
    Caller.join();
  Troubles.join();
  const std::int64_t QuietFrom = nowMs();
  note("traffic ends");
  CheckFrom = QuietFrom + FinishMs;
  const std::int64_t End = QuietFrom + 1000LL * Chosen.QuietSeconds;
  std::int64_t NextNote = 0;
  while (nowMs() < End && (nowMs() < CheckFrom || Site.openJobs() > 0)) {
    for (const Standstill &One : Site.check())
      note("standstill of " + One.Job + " step " + std::to_string(One.Step) +
           ": " + One.Detail);
    if (nowMs() >= NextNote) {
      NextNote = nowMs() + 4000;
      note("open jobs: " + std::to_string(Site.openJobs()));
    }
    sleepMs(CheckIntervalMs);
  }
  const int Findings = report();
  if (Site.counts()["starts"] == 0) {
    std::cout << "no run has started, so the soak shows nothing\n";
    return 2;
  }
  return Findings > 0 ? 1 : 0;
}

bool readOptions(int Count, const char *const *Arguments, Options &Chosen) {
  namespace po = boost::program_options;
  po::options_description Description("apricotwing-soak");
  Description.add_options()("help", "show this text")(
      "entry", po::value(&Chosen.Program)->required(),
      "path of apricotwing-entry")("folder",
                                   po::value(&Chosen.Folder)->required(),
                                   "for settings, logs and the record")(
      "seed", po::value(&Chosen.Seed)->default_value(Chosen.Seed),
      "")("faults", po::value(&Chosen.Faults)->default_value(Chosen.Faults),
          "list of faults in turn; lists joined by + run side by side: "
          "crash-series, crash-long, fail-runs, refuse-starts, burst, "
          "hang, kill-leader, kill-all, cut-store, cut-leader, "
          "freeze-leader, recut, recut-kill, recut-drawn, late-orders, roll, "
          "policies, advice-slow, advice-errors, "
          "advice-errors-zone, advice-silent, mix, none")(
      "traffic",
      po::value(&Chosen.TrafficSeconds)->default_value(Chosen.TrafficSeconds),
      "length of the traffic in seconds")(
      "faults-at",
      po::value(&Chosen.FaultsAtSecond)->default_value(Chosen.FaultsAtSecond),
      "second of the traffic at which the faults begin")(
      "quiet",
      po::value(&Chosen.QuietSeconds)->default_value(Chosen.QuietSeconds),
      "longest time after the traffic in seconds")(
      "load", po::value(&Chosen.Load)->default_value(Chosen.Load),
      "relative to the usual jobs per second")(
      "throttle", po::bool_switch(&Chosen.Throttle),
      "each entry runs 10 ms of every 40 ms")(
      "rounds", po::value(&Chosen.Rounds)->default_value(Chosen.Rounds),
      "of recut and recut-kill")(
      "only-starts", po::bool_switch(&Chosen.OnlyStarts),
      "exit with 1 only for wrong starts, tasks that ran twice and entries "
      "that ended by themselves");
  po::variables_map Values;
  po::store(po::parse_command_line(Count, Arguments, Description), Values);
  if (Values.contains("help")) {
    std::cout << Description;
    return false;
  }
  po::notify(Values);
  return true;
}

} // namespace

} // namespace apricotwing::soak

int main(int Count, char **Arguments) {
  using namespace apricotwing::soak;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Options Chosen;
    if (!readOptions(Count, Arguments, Chosen))
      return 0;
    std::filesystem::create_directories(Chosen.Folder);
    nowMs();
    Soak Trial(Chosen);
    return Trial.run();
  } catch (const std::exception &Problem) {
    std::cerr << "apricotwing-soak: " << Problem.what() << '\n';
    return 2;
  }
}
