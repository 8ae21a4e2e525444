#include "soak/soak.h"

#include "soak/entrylogs.h"

#include <unistd.h>

#include <iostream>
#include <thread>

namespace apricotwing::soak {

namespace {

/// A final state is due this long after the traffic.
constexpr std::int64_t FinishMs = 14'000;
constexpr std::int64_t CheckIntervalMs = 100;
constexpr int ClientDeadlineMs = 3000;
constexpr int ClientThreads = 32;
constexpr int MaxSubmissions = 4;

/// A loopback network of this process, so that soaks can run side by side.
std::string ownNetwork() {
  const auto Pid = unsigned(getpid());
  return "127." + std::to_string(128 + ((Pid >> 8U) & 63U)) + "." +
         std::to_string(Pid & 255U) + ".";
}

} // namespace

Soak::Soak(const Options &Chosen)
    : Chosen(Chosen), Random(Chosen.Seed), Network(ownNetwork()),
      Site(Registry, Network, 8185, Chosen.Seed, Chosen.Folder + "/record.txt"),
      Instances(Chosen.Program, Network, Chosen.Folder) {
  for (int Index = 0; Index < EntryCount; ++Index) {
    Registry.listen(Instances.storeIp(Index), Entries::StorePort);
    Site.listenForAdvice(Index, Instances.adviceIp(Index), Entries::AdvicePort);
  }
}

void Soak::note(const std::string &Text) {
  Site.record(Text);
  const std::lock_guard Lock(Mutex);
  std::cout << nowMs() - TrafficStart << " ms " << Text << std::endl;
}

void Soak::configure() {
  const std::lock_guard Lock(Mutex);
  PolicyVersion += 3;
  Registry.put("op", "config", policy(PolicyVersion).dump());
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

} // namespace apricotwing::soak
