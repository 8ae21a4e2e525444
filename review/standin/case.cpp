/// \file
/// Plays the case that the first argument names. Exits with 1 if the rule was
/// broken, 0 if it held, 2 if the case could not run.
#include "cell.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CouldNotRun = 2;

json step(int Count, std::int64_t Cpu, int EstimateMs) {
  return {{"count", Count},
          {"cpu", Cpu},
          {"mem_mb", 1},
          {"estimated_duration_ms", EstimateMs}};
}

json job(int WorkMs, json Steps) {
  return {{"spec", "work_ms=" + std::to_string(WorkMs)},
          {"steps", std::move(Steps)}};
}

std::string jobId(int Number) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%016x", 0x5c0e7a21 + Number);
  return Text;
}

/// Polls \p Condition until it holds or \p LimitMs have passed.
template <typename Test> bool waitFor(int LimitMs, const Test &Condition) {
  for (const std::int64_t Until = nowMs() + LimitMs; nowMs() < Until;
       sleepMs(20))
    if (Condition())
      return true;
  return Condition();
}

int verdict(Cell &Site, const std::vector<std::string> &Findings) {
  for (const std::string &One : Findings)
    Site.record().line("BROKEN: " + One);
  Site.record().line("findings: " + std::to_string(Findings.size()));
  std::cout << Findings.size() << " findings\n";
  for (std::size_t I = 0; I < Findings.size() && I < 5; ++I)
    std::cout << Findings[I] << '\n';
  return Findings.empty() ? Held : Broken;
}

/// SIGKILL of the leading entry, which starts again after \p DownMs.
bool killLeader(Cell &Site, int DownMs) {
  const int Leader = Site.leader();
  if (Leader < 0)
    return false;
  Site.killEntry(Leader);
  sleepMs(DownMs);
  Site.startEntry(Leader);
  return true;
}

/// A route is removed while a job of it waits for its second step, and the
/// leading process is killed.
int removedRoute(Cell &Site, bool Trouble) {
  const json Kept = Cell::route("kept", "planner");
  const json Dropped = Cell::route("dropped", "planner");
  Site.configure(json::array({Kept, Dropped}));
  for (int I = 0; I < 8; ++I)
    Site.addExecutor("i-000000000" + std::to_string(I), "planner");
  if (!Site.startEntries())
    return CouldNotRun;
  json Second = step(4, 1000, 2000);
  Second["after"] = {0};
  const std::string Id = jobId(1);
  if (!Site.submit("/dropped/" + Id, job(6000, {step(4, 1000, 6000), Second})))
    return CouldNotRun;
  if (!waitFor(5000, [&] { return Site.running() == 4; }))
    return CouldNotRun;
  if (Trouble) {
    Site.configure(json::array({Kept}));
    sleepMs(2500);
    // TROUBLE=2 only removes the route.
    const char *Level = std::getenv("TROUBLE");
    if (!(Level && std::string(Level) == "2") && !killLeader(Site, 500))
      return CouldNotRun;
  }
  // The first step ends 6 s after its start.
  sleepMs(30'000);
  int Done = 0;
  for (const Recorder::Run &One : Site.record().runs())
    Done += One.How == "done" ? 1 : 0;
  std::vector<std::string> Findings;
  if (Done < 8)
    Findings.push_back("the accepted job " + Id + " has " +
                       std::to_string(Done) +
                       " of 8 tasks done, nothing of it runs, and all "
                       "executors are free");
  return verdict(Site, Findings);
}

/// The leading process is killed while more runs than one answer of an executor
/// lists have ended and are not acknowledged.
int manyEnds(Cell &Site, bool Trouble) {
  Site.configure(json::array({Cell::route("sweep", "planner")}));
  for (int I = 0; I < 2; ++I)
    Site.addExecutor("i-000000000" + std::to_string(I), "planner");
  if (!Site.startEntries())
    return CouldNotRun;
  std::vector<std::thread> Clients;
  std::atomic<int> Accepted = 0;
  for (int I = 0; I < 10; ++I)
    Clients.emplace_back([&, I] {
      const std::string Path = "/sweep/" + jobId(I);
      Accepted += Site.submit(Path, job(1000, {step(60, 50, 1000)})) ? 1 : 0;
    });
  for (std::thread &One : Clients)
    One.join();
  if (Accepted != 10 || !waitFor(5000, [&] { return Site.running() >= 600; }))
    return CouldNotRun;
  if (Trouble && !killLeader(Site, 3500))
    return CouldNotRun;
  waitFor(30'000, [&] {
    sleepMs(500);
    for (int I = 0; I < 10; ++I)
      if (Site.state("/sweep/" + jobId(I)) != "completed")
        return false;
    return true;
  });
  sleepMs(2000);
  return verdict(Site, ranTwice(Site.record().runs()));
}

/// One job of 12,000 short tasks comes; without the trouble 24 jobs of 500.
int largeJob(Cell &Site, bool Trouble) {
  Site.configure(json::array(
      {Cell::route("sweep", "planner"), Cell::route("quote", "planner")}));
  for (int I = 0; I < 8; ++I)
    Site.addExecutor("i-000000000" + std::to_string(I), "planner");
  if (!Site.startEntries())
    return CouldNotRun;
  std::vector<std::string> Accepted;
  const auto Submit = [&](const std::string &Path, const json &Job) {
    if (Site.submit(Path, Job))
      Accepted.push_back(Path);
  };
  // A job of another queue, whose second step is due while the sweep runs.
  json Second = step(2, 1000, 500);
  Second["after"] = {0};
  Submit("/quote/" + jobId(2), job(30'000, {step(2, 1000, 30'000), Second}));
  if (Trouble)
    Submit("/sweep/" + jobId(1), job(300, {step(12'000, 400, 300)}));
  for (int I = 0; I < 24 && !Trouble; ++I)
    Submit("/sweep/" + jobId(10 + I), job(300, {step(500, 400, 300)}));
  if (Accepted.size() != (Trouble ? 2 : 25))
    return CouldNotRun;
  const auto AllCompleted = [&] {
    sleepMs(1000);
    for (const std::string &Path : Accepted)
      if (Site.state(Path) != "completed")
        return false;
    return true;
  };
  // Both steps of the first job take 60 s. finish_s (14 s) after the end of the
  // traffic the jobs are asked for.
  waitFor(85'000, AllCompleted);
  std::vector<std::string> Findings;
  for (const std::string &Path : Accepted) {
    const std::string State = Site.state(Path);
    if (State != "completed")
      Findings.push_back("the accepted job " + Path + " is shown as '" + State +
                         "' with " + std::to_string(Site.running()) +
                         " tasks on 8 executors");
  }
  Site.record().line(
      "writes of rows over max_row_bytes that the store refused: " +
      std::to_string(Site.store().oversizedWrites()));
  return verdict(Site, Findings);
}

/// Three times the executor under a task that lasts crashes.
int crashes(Cell &Site, bool Trouble) {
  Site.configure(json::array({Cell::route("service", "planner", 4)}));
  for (int I = 0; I < 8; ++I)
    Site.addExecutor("i-000000000" + std::to_string(I), "planner");
  if (!Site.startEntries())
    return CouldNotRun;
  json Lasting = step(1, 4000, 1000);
  Lasting["long_running"] = true;
  const std::string Path = "/service/" + jobId(1);
  if (!Site.submit(Path, job(600'000, json::array({Lasting}))))
    return CouldNotRun;
  for (int Crash = 0; Crash < 3; ++Crash) {
    // At work again long before 6 s after the last end.
    if (!waitFor(6000, [&] { return Site.running() == 1; }))
      break;
    sleepMs(4000);
    if (!Trouble)
      continue;
    const std::string Host = Site.record().runs().back().Executor;
    Site.killExecutor(Host);
    sleepMs(4500);
    Site.restartExecutor(Host);
  }
  // The last end was 4.5 s ago; 12 s more are calm.
  const bool Runs = waitFor(12'000, [&] { return Site.running() == 1; });
  const std::string State = Site.state(Path);
  int Failures = 0;
  for (const Recorder::Run &One : Site.record().runs())
    Failures += One.How == "failed" ? 1 : 0;
  std::vector<std::string> Findings;
  if (!Runs || State != "in_progress")
    Findings.push_back("the accepted long-running job " + Path +
                       ", which nobody has cancelled, is shown as '" + State +
                       "' and " + std::to_string(Site.running()) +
                       " of its tasks run; runs that ended failed: " +
                       std::to_string(Failures));
  return verdict(Site, Findings);
}

/// A task that lasts fails while a gang waits for room.
int lastingTask(Cell &Site, bool Trouble) {
  Site.configure(json::array({Cell::route("service", "planner", 4),
                              Cell::route("plan", "planner", 4)}));
  for (int I = 0; I < 4; ++I)
    Site.addExecutor("i-000000000" + std::to_string(I), "planner");
  if (!Site.startEntries())
    return CouldNotRun;
  json Lasting = step(1, 7000, 0);
  Lasting["long_running"] = true;
  if (!Site.submit("/service/" + jobId(1),
                   job(600'000, json::array({Lasting}))) ||
      !Site.submit("/plan/" + jobId(2),
                   job(45'000, json::array({step(12, 6000, 45'000)}))) ||
      !waitFor(5000, [&] { return Site.running() == 13; }))
    return CouldNotRun;
  if (Trouble) {
    json Gang = step(8, 8000, 3000);
    Gang["gang_scheduled"] = true;
    if (!Site.submit("/plan/" + jobId(3), job(3000, json::array({Gang}))))
      return CouldNotRun;
  }
  sleepMs(4000);
  const std::string Task = jobId(1) + ".0.0.0";
  Site.fail(Task);
  const std::int64_t Ended = nowMs();
  const bool Runs = waitFor(25'000, [&] {
    const auto All = Site.record().runs();
    return std::any_of(All.begin(), All.end(), [&](const Recorder::Run &One) {
      return One.Task == Task && One.Ended < 0;
    });
  });
  std::vector<std::string> Findings;
  if (!Runs || nowMs() - Ended > 13'000)
    Findings.push_back("the task that lasts, " + Task + ", has not run for " +
                       std::to_string(nowMs() - Ended) +
                       " ms since its last end");
  return verdict(Site, Findings);
}

/// The leading machine freezes. Clients whose submissions get no answer give up
/// and cancel their jobs at other machines.
int cancelledUnanswered(Cell &Site, bool Trouble) {
  Site.configure(json::array({Cell::route("plan", "planner")}));
  for (int I = 0; I < 8; ++I)
    Site.addExecutor("i-000000000" + std::to_string(I), "planner");
  if (!Site.startEntries(6))
    return CouldNotRun;
  const int Leader = Site.leader();
  if (Leader < 0)
    return CouldNotRun;
  // One client for each pair of machines but the leader's: one for the
  // submission and one for the cancelling.
  std::vector<std::pair<int, int>> Pairs;
  for (int First = 0; First < Site.entries(); ++First)
    for (int Second = 0; Second < Site.entries(); ++Second)
      if (First != Second && First != Leader && Second != Leader)
        Pairs.emplace_back(First, Second);
  if (Trouble)
    Site.freeze(Leader, true);
  struct Cancelled {
    std::string Id;
    std::int64_t At = -1;
    int Status = 0;
  };
  std::vector<Cancelled> Jobs(Pairs.size());
  std::vector<std::thread> Clients;
  for (std::size_t I = 0; I < Pairs.size(); ++I)
    Clients.emplace_back([&, I] {
      const auto [First, Second] = Pairs[I];
      Jobs[I].Id = jobId(int(I));
      const std::string Path = "/plan/" + Jobs[I].Id;
      // The client leaves after 0.9 s, well before its deadline of 3 s.
      Site.client(First, "POST", Path,
                  job(30'000, json::array({step(2, 1000, 30'000)})), 3000, 900);
      for (int Try = 0; Try < 4; ++Try) {
        Jobs[I].Status = Site.client(Second, "DELETE", Path, nullptr).Status;
        if (Jobs[I].Status / 100 != 2 && Jobs[I].Status != 410)
          continue;
        Jobs[I].At = nowMs();
        return;
      }
    });
  sleepMs(3500);
  if (Trouble)
    Site.freeze(Leader, false);
  for (std::thread &One : Clients)
    One.join();
  // contact_timeout_ms, cancel_ms and stop_timeout_ms after the last
  // disturbance and the last acknowledgement, and some more.
  sleepMs(12'000);
  const std::int64_t Now = nowMs();
  std::vector<std::string> Findings;
  for (const Cancelled &One : Jobs)
    for (const Recorder::Run &Run : Site.record().runs())
      if (One.At >= 0 && Run.Ended < 0 && Run.Task.starts_with(One.Id))
        Findings.push_back(
            Run.Task + " runs since " + std::to_string(Run.Started) +
            " ms and still " + std::to_string(Now - One.At) +
            " ms after the cancelling of its job was acknowledged with " +
            std::to_string(One.Status));
  return verdict(Site, Findings);
}

} // namespace

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 6) {
    std::cerr << "usage: standin CASE PROGRAM FOLDER RECORD TROUBLE\n";
    return CouldNotRun;
  }
  const std::string Name = Words[1];
  const bool Trouble = std::string(Words[5]) != "0";
  const std::map<std::string, int (*)(Cell &, bool)> Cases{
      {"removed-route", removedRoute},
      {"many-ends", manyEnds},
      {"large-job", largeJob},
      {"crashes", crashes},
      {"lasting-task", lastingTask},
      {"cancelled-unanswered", cancelledUnanswered}};
  const auto Found = Cases.find(Name);
  if (Found == Cases.end())
    return CouldNotRun;
  try {
    Cell Site(Words[2], Words[3], Words[4]);
    const int Result = Found->second(Site, Trouble);
    if (Result == CouldNotRun)
      std::cout << "the case could not run\n";
    return Result;
  } catch (const std::exception &Problem) {
    std::cerr << Problem.what() << '\n';
    return CouldNotRun;
  }
}
