#include "entry/entryprocess.h"

#include "core/error.h"
#include "entry/httppeertransport.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace apricotwing::entry {

namespace {

/// Half of the callers' connections may have calls that wait. The others are
/// for calls that are answered at once, and for new clients.
constexpr std::size_t ConnectionsPerWaitingCall = 2;

/// Part of the callers' memory, as a divisor, that the jobs of waiting calls
/// may take in addition. A job has up to four copies: at the router, in the
/// channel to the leader, in a batch and at the leader.
constexpr std::size_t WaitingJobsPart = 8;

/// Longest time for a request to arrive on an open connection, idle time
/// included. Clients close idle connections long before that.
constexpr std::uint32_t IdleTimeoutMs = 60'000;

constexpr std::size_t MaxClientBodyBytes = std::size_t(256) << 10;
constexpr std::size_t MaxPeerBodyBytes = std::size_t(16) << 20;

/// After a stop request, the platform sends clients to this instance until two
/// readiness probes, one per second, have failed. Connections are accepted for
/// this long.
constexpr Duration DeregistrationTime{2600};

/// Time in which clients with open connections are asked to close them. The
/// next connection that they open leads to another instance.
constexpr Duration ConnectionDrainTime{1000};

/// Retry-After of calls that are refused during shutdown.
constexpr Duration ShutdownRetryAfter{1000};

/// Part of the grace period that is reserved for the exit of the process after
/// run() has returned.
constexpr Duration ExitMargin{1200};

/// Time between two log lines about closed connections.
constexpr Duration RefusalLogPeriod{1000};

/// Time between two log lines about the work of the control thread, and the
/// part of it for which the thread must have been busy. Idle instances, which
/// are the most, write none.
constexpr Duration ProfileLogPeriod{1000};
constexpr double MinLoggedBusyShare = 0.2;

/// Age at which the metrics and the state dump are made anew.
constexpr Duration DumpMaxAge{250};

HttpServerOptions optionsFor(const std::string &Address,
                             std::size_t MaxBodyBytes,
                             const std::shared_ptr<IntakeBudget> &Intake,
                             IntakePart Part) {
  const std::size_t Colon = Address.rfind(':');
  HttpServerOptions Result;
  Result.Address = Address.substr(0, Colon);
  const std::string Port = Address.substr(Colon + 1);
  std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port);
  Result.Threads = 1;
  Result.MaxBodyBytes = MaxBodyBytes;
  Result.ReadTimeoutMs = IdleTimeoutMs;
  applyIntake(Result, Intake, Part);
  return Result;
}

HttpResponse statusOnly(int Status) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Body = "{}";
  return Result;
}

/// Number of accounts whose past use is shown by each leader.
constexpr std::size_t MaxShownAccounts = 50;

nlohmann::json leaderDump(const cell::Leader &Leader, TimePoint Now) {
  nlohmann::json Dump;
  Dump["term"] = Leader.term();
  Dump["loaded"] = Leader.isLoaded();
  Dump["members"] = Leader.memberCount();
  Dump["active_jobs"] = Leader.scheduler().activeJobs();
  for (const jobs::AccountUse &Use :
       Leader.scheduler().usage().largest(Now, MaxShownAccounts)) {
    auto &UseDump = Dump["past_use"][Use.Account];
    UseDump["share"] = Use.Share;
    UseDump["weight"] = Use.Weight;
    UseDump["delay_ms"] = Use.Delay.count();
  }
  for (const auto &[Id, Worker] : Leader.scheduler().workers()) {
    auto &WorkerDump = Dump["workers"][Id];
    WorkerDump["synced"] = Worker.isSynced();
    WorkerDump["reachable"] = Worker.isReachable();
    WorkerDump["draining"] = Worker.info().Draining;
    WorkerDump["evacuated"] = Worker.isEvacuated();
    WorkerDump["free_cpu_millis"] = Worker.freeResources().CpuMillis;
    WorkerDump["free_memory_mib"] = Worker.freeResources().MemoryMib;
    for (const auto &[Step, Claim] : Worker.claims())
      WorkerDump["claims"][Step] = Claim.CpuMillis;
    for (const auto &[Task, Run] : Worker.runs())
      WorkerDump["runs"][Task] = Run.Run;
  }
  return Dump;
}

void addProfile(prometheus::Registry &Registry, const LoopProfile &Profile) {
  const auto Counter = [&](const std::string &Name, const std::string &Help)
      -> prometheus::Family<prometheus::Counter> & {
    return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
  };
  auto &Busy = Counter("apricotwing_entry_busy_seconds_total",
                       "Elapsed time of the control thread's work, by kind");
  auto &Queued = Counter("apricotwing_entry_queued_seconds_total",
                         "Time for which work waited for the control thread");
  auto &Items = Counter("apricotwing_entry_work_items_total",
                        "Work items of the control thread");
  const auto Seconds = [](WorkLoad::Time Length) {
    return std::chrono::duration<double>(Length).count();
  };
  for (const auto &[Kind, Name] : WorkKindNames) {
    const WorkLoad &Load = Profile.of(Kind);
    const prometheus::Labels Labels{{"work", std::string(Name)}};
    Busy.Add(Labels).Increment(Seconds(Load.Busy));
    Queued.Add(Labels).Increment(Seconds(Load.Queued));
    Items.Add(Labels).Increment(double(Load.Items));
  }
}

std::int64_t millis(WorkLoad::Time Length) {
  return std::chrono::duration_cast<Duration>(Length).count();
}

/// Returns "MEAN/LONGEST" in ms of \p Count waits.
std::string meanAndLongest(WorkLoad::Time Sum, std::uint64_t Count,
                           WorkLoad::Time Longest) {
  const std::int64_t Mean = Count == 0 ? 0 : millis(Sum) / std::int64_t(Count);
  return std::to_string(Mean) + "/" + std::to_string(millis(Longest));
}

} // namespace

EntryProcess::EntryProcess(EntrySettings Settings, ControlLoop &Control,
                           cell::Node &Node, DecisionLog &Log,
                           const Clock &Time, const ClientCodec &Codec)
    : Settings(std::move(Settings)), Control(Control), Node(Node), Log(Log),
      Time(Time), Codec(Codec) {}

bool EntryProcess::postWork(WorkKind Kind, ControlLoop::Work Item) {
  const std::lock_guard Lock(IntakeMutex);
  return !IntakeClosed && Control.tryPost(Kind, std::move(Item));
}

void EntryProcess::serveClient(const HttpRequest &Request,
                               const Responder &Respond) {
  if (RefusingCalls) {
    // The control thread may have ended, so the call is refused right here.
    cell::ClientAnswer Refusal{cell::ClientStatus::Unavailable};
    Refusal.RetryAfter = ShutdownRetryAfter;
    Respond(Codec.encodeAnswer(Refusal));
    return;
  }
  auto Call = Codec.decodeCall(Request);
  if (!Call) {
    Respond(statusOnly(404));
    return;
  }
  const bool Queued = postWork(
      WorkKind::CallerCall, [this, Call = std::move(*Call), Respond]() mutable {
        Node.serve(std::move(Call),
                   [this, Respond](const cell::ClientAnswer &Answer) {
                     Respond(Codec.encodeAnswer(Answer));
                   });
      });
  if (!Queued) {
    cell::ClientAnswer Refusal{cell::ClientStatus::Unavailable};
    if (RefusingCalls)
      Refusal.RetryAfter = ShutdownRetryAfter;
    Respond(Codec.encodeAnswer(Refusal));
  }
}

void EntryProcess::servePeer(HttpRequest Request, const Responder &Respond) {
  if (Request.Path == PeerMessagePath) {
    const bool Queued = postWork(
        WorkKind::PeerMessage, [this, Body = std::move(Request.Body), Respond] {
          Node.receive(Body, [Respond](std::optional<std::string> Reply) {
            HttpResponse Response = statusOnly(Reply ? 200 : 503);
            if (Reply)
              Response.Body = std::move(*Reply);
            Respond(Response);
          });
        });
    if (!Queued)
      Respond(statusOnly(503));
    return;
  }
  if (Request.Path == "/healthz" || Request.Path == "/readyz") {
    const bool IsHealthy = Request.Path == "/healthz" || Ready;
    Respond(statusOnly(IsHealthy ? 200 : 503));
    return;
  }
  const bool Metrics = Request.Path == "/metrics";
  if (!Metrics && Request.Path != "/statez") {
    Respond(statusOnly(404));
    return;
  }
  postWork(WorkKind::Operations, [this, Metrics, Respond] {
    HttpResponse Response;
    Response.Body = recentDump(Metrics);
    if (Metrics)
      Response.ContentType = "text/plain; version=0.0.4";
    Respond(Response);
  });
}

const std::string &EntryProcess::recentDump(bool Metrics) {
  Dump &Last = Metrics ? LastMetrics : LastState;
  const TimePoint Now = Time.now();
  if (!Last.At || Now - *Last.At > DumpMaxAge)
    Last = {Now, Metrics ? metrics() : stateDump()};
  return Last.Text;
}

std::string EntryProcess::metrics() const {
  prometheus::Registry Registry;
  const auto Gauge = [&](const std::string &Name, const std::string &Help,
                         double Value) {
    prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
        {}, Value);
  };
  auto &Answers = prometheus::BuildCounter()
                      .Name("apricotwing_entry_answers_total")
                      .Help("Answers to callers by outcome")
                      .Register(Registry);
  for (const auto &[Status, Count] : Node.router().answers())
    Answers
        .Add({{"outcome",
               std::string(enumName(cell::ClientStatusNames, Status))}})
        .Increment(double(Count));
  if (Intake) {
    auto &Refused = prometheus::BuildCounter()
                        .Name("apricotwing_entry_refused_connections_total")
                        .Help("Connections closed and requests refused by a "
                              "limit for clients")
                        .Register(Registry);
    for (const auto &[Reason, Name] : IntakeRefusalNames)
      Refused.Add({{"cause", std::string(Name)}})
          .Increment(double(Intake->refusals(Reason)));
    auto &Held = prometheus::BuildGauge()
                     .Name("apricotwing_entry_intake_bytes")
                     .Help("Memory of unfinished requests and unread responses")
                     .Register(Registry);
    for (const auto &[Part, Name] : IntakePartNames)
      Held.Add({{"server", std::string(Name)}})
          .Set(double(Intake->bytes(Part)));
  }
  addProfile(Registry, Profile);
  cell::MemberCounts Counts;
  std::size_t WorkerSessions = 0;
  double ShardsLed = 0;
  double Members = 0;
  double ActiveJobs = 0;
  double Commits = 0;
  double RowsWritten = 0;
  double LostRuns = 0;
  double FailedJobs = 0;
  double JobMemory = 0;
  double MemoryRefusals = 0;
  double RunsToStop = 0;
  double MigratedRuns = 0;
  Duration LongestStop{0};
  double ReservedWorkers = 0;
  double EvacuatedWorkers = 0;
  std::map<jobs::WaitCause, int> WaitingSteps;
  std::vector<jobs::AccountUse> PastUse;
  for (const auto &Agent : Node.agents()) {
    Counts += Agent->member().counts();
    WorkerSessions += Agent->member().workerSessionCount();
    const cell::Leader *Leader = Agent->leader();
    if (!Leader)
      continue;
    ++ShardsLed;
    Members += double(Leader->memberCount());
    ActiveJobs += double(Leader->scheduler().activeJobs());
    Commits += double(Leader->journal().commits());
    RowsWritten += double(Leader->journal().rowsWritten());
    LostRuns += double(Leader->lostRuns());
    FailedJobs += double(Leader->failedJobs());
    JobMemory += double(Leader->scheduler().memory().held());
    MemoryRefusals += double(Leader->jobsRefusedForMemory());
    RunsToStop += double(Leader->scheduler().runsToStop().size());
    MigratedRuns += double(Leader->scheduler().migratedRuns());
    LongestStop = std::max(LongestStop, Leader->longestStop());
    ReservedWorkers += Leader->scheduler().reservedWorkers(Time.now());
    EvacuatedWorkers += Leader->scheduler().evacuatedWorkers();
    for (const auto &[Cause, Count] : Leader->scheduler().waitCauses())
      WaitingSteps[Cause] += Count;
    // An account belongs to one shard.
    for (jobs::AccountUse &Use :
         Leader->scheduler().usage().largest(Time.now(), MaxShownAccounts))
      PastUse.push_back(std::move(Use));
  }
  Gauge("apricotwing_entry_starts", "Start commands sent to workers",
        double(Counts.Starts));
  Gauge("apricotwing_entry_ends", "Ends of runs that workers reported",
        double(Counts.EndedRuns));
  Gauge("apricotwing_entry_advice_calls", "Calls for placement advice",
        double(Counts.AdviceCalls));
  Gauge("apricotwing_entry_links_lost", "Links to a leader that were lost",
        double(Counts.LinksLost));
  Gauge("apricotwing_entry_calls_over_limit",
        "Calls answered early because too many were waiting",
        double(Node.router().callsOverLimit()));
  Gauge("apricotwing_entry_open_calls", "Calls that wait for an answer",
        double(Node.router().openCalls()));
  // The exported name is kept from an earlier term for worker sessions.
  Gauge("apricotwing_entry_workers_in_care",
        "Workers with a session, opened after assignment by the leader",
        double(WorkerSessions));
  Gauge("apricotwing_entry_policy_version", "Version of the policy in force",
        double(Node.router().policy().Version));
  Gauge("apricotwing_entry_policy_view_age_seconds",
        "Time since the store confirmed that this policy is the newest one",
        std::chrono::duration<double>(Node.policyTracker().viewAge()).count());
  Gauge("apricotwing_entry_evacuated_zones",
        "Availability zones that operators have evacuated",
        double(Node.policyTracker().evacuatedZones().size()));
  Gauge("apricotwing_entry_internal_errors",
        "Work that was abandoned because of an unexpected exception",
        double(InternalErrors));
  Gauge("apricotwing_entry_shards", "Shards of the cell; 0: not known yet",
        double(Node.shardCount()));
  Gauge("apricotwing_entry_leading", "Shards that this instance leads",
        ShardsLed);
  if (ShardsLed > 0) {
    Gauge("apricotwing_leader_members",
          "Members with a link to this instance's leaders", Members);
    Gauge("apricotwing_leader_active_jobs", "Jobs that have not ended",
          ActiveJobs);
    Gauge("apricotwing_leader_commits", "Commits to the store", Commits);
    Gauge("apricotwing_leader_rows_written", "Rows written to the store",
          RowsWritten);
    Gauge("apricotwing_leader_lost_runs",
          "Runs that ended with their worker in this term", LostRuns);
    Gauge("apricotwing_leader_failed_jobs", "Jobs that failed in this term",
          FailedJobs);
    Gauge("apricotwing_leader_job_memory_bytes",
          "Estimated memory of the accepted jobs", JobMemory);
    Gauge("apricotwing_leader_jobs_refused_for_memory",
          "Jobs refused in this term because of the memory of accepted ones",
          MemoryRefusals);
    Gauge("apricotwing_leader_runs_to_stop",
          "Runs that have to end and are not known to have ended", RunsToStop);
    Gauge("apricotwing_leader_migrated_runs",
          "Runs stopped in this term because their worker, or that of another "
          "member of their gang, was about to leave",
          MigratedRuns);
    Gauge("apricotwing_leader_longest_stop_seconds",
          "Longest time for which such a run has had to end",
          std::chrono::duration<double>(LongestStop).count());
    Gauge("apricotwing_leader_reserved_workers",
          "Workers on which nothing is started beside a suspect task",
          ReservedWorkers);
    Gauge("apricotwing_leader_evacuated_workers",
          "Workers in evacuated zones, on which nothing is started",
          EvacuatedWorkers);
    auto &Waiting = prometheus::BuildGauge()
                        .Name("apricotwing_leader_waiting_steps")
                        .Help("Steps that wait for a start, by cause")
                        .Register(Registry);
    for (const auto &[Cause, CauseName] : jobs::WaitCauseNames)
      Waiting.Add({{"cause", std::string(CauseName)}}).Set(WaitingSteps[Cause]);
    auto &Shares = prometheus::BuildGauge()
                       .Name("apricotwing_leader_past_use_share")
                       .Help("Decayed average of an account's dominant share "
                             "of the shard, of the accounts with most")
                       .Register(Registry);
    auto &Delays = prometheus::BuildGauge()
                       .Name("apricotwing_leader_past_use_delay_seconds")
                       .Help("Time by which past use moves new steps of an "
                             "account back")
                       .Register(Registry);
    for (const jobs::AccountUse &Use : PastUse) {
      Shares.Add({{"account", Use.Account}}).Set(Use.Share);
      Delays.Add({{"account", Use.Account}})
          .Set(std::chrono::duration<double>(Use.Delay).count());
    }
  }
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

void EntryProcess::logProfile() {
  const TimePoint Now = Time.now();
  const Duration Period = Now - ProfileLoggedAt;
  if (Period < ProfileLogPeriod)
    return;
  ProfileLoggedAt = Now;
  const LoopProfile Recent = Control.takeProfile();
  const AsyncHttpClient::QueueTimes Calls =
      Outgoing ? Outgoing->takeQueueTimes() : AsyncHttpClient::QueueTimes{};
  Profile += Recent;
  const std::int64_t BusyMs = millis(Recent.total().Busy);
  if (double(BusyMs) < MinLoggedBusyShare * double(Period.count()))
    return;
  std::string Busy;
  std::string Queued;
  for (const auto &[Kind, Name] : WorkKindNames) {
    const WorkLoad &Load = Recent.of(Kind);
    if (Load.Items == 0)
      continue;
    const std::string Label =
        (Busy.empty() ? "" : ",") + std::string(Name) + ":";
    Busy += Label + std::to_string(millis(Load.Busy)) + "/" +
            std::to_string(Load.Items);
    Queued +=
        Label + meanAndLongest(Load.Queued, Load.Items, Load.LongestQueue);
  }
  Log.event("control thread", Settings.Instance.Name,
            {{"period_ms", std::to_string(Period.count())},
             {"busy_ms", std::to_string(BusyMs)},
             {"busy", Busy},
             {"queued_ms", Queued},
             {"calls", std::to_string(Calls.Calls)},
             {"calls_queued_ms",
              meanAndLongest(Calls.Sum, Calls.Calls, Calls.Longest)}});
}

void EntryProcess::logRefusals() {
  const TimePoint Now = Time.now();
  if (!Intake || Now - RefusalsLoggedAt < RefusalLogPeriod)
    return;
  RefusalsLoggedAt = Now;
  for (const auto &[Reason, Name] : IntakeRefusalNames) {
    std::uint64_t &Logged = LoggedRefusals[std::size_t(Reason)];
    const std::uint64_t Count = Intake->refusals(Reason);
    if (Count > Logged)
      Log.event("connections refused", Settings.Instance.Name,
                {{"cause", std::string(Name)},
                 {"count", std::to_string(Count - Logged)}});
    Logged = Count;
  }
}

std::string EntryProcess::stateDump() const {
  nlohmann::json Dump;
  Dump["instance"] = Settings.Instance.Name;
  Dump["zone"] = Settings.Instance.Zone;
  Dump["ready"] = Ready.load();
  Dump["policy_version"] = Node.router().policy().Version;
  Dump["evacuated_zones"] = Node.policyTracker().evacuatedZones();
  Dump["shards"] = Node.shardCount();
  Dump["open_calls"] = Node.router().openCalls();
  for (const auto &Agent : Node.agents()) {
    nlohmann::json ShardDump;
    ShardDump["leader_term"] = Agent->member().leaderTerm();
    ShardDump["workers_in_care"] = Agent->member().workerSessionCount();
    if (Agent->leader())
      ShardDump["leading"] = leaderDump(*Agent->leader(), Time.now());
    Dump["by_shard"].push_back(std::move(ShardDump));
  }
  return Dump.dump();
}

void EntryProcess::pump(const std::atomic<bool> &StopRequested) {
  Node.pump();
  logRefusals();
  logProfile();
  const bool IsReady = Node.isReady();
  Ready = IsReady;
  if (IsReady != WasReady) {
    WasReady = IsReady;
    Log.event(IsReady ? "ready" : "not ready", Settings.Instance.Name, {});
  }
  if (!StopRequested)
    return;
  const TimePoint Now = Time.now();
  if (!StoppingSince) {
    StoppingSince = Now;
    Log.event("stopping", Settings.Instance.Name, {{"cause", "signal"}});
    Node.leave();
  }
  const Duration Elapsed = Now - *StoppingSince;
  // From now on, responses ask clients to close their connection.
  if (Elapsed >= DeregistrationTime)
    ClientServer->stopAccepting();
  if (Elapsed >= DeregistrationTime + ConnectionDrainTime)
    RefusingCalls = true;
  const bool GraceExpired = Elapsed >= Settings.GracePeriod - ExitMargin;
  if (GraceExpired || (RefusingCalls && Node.isIdle()))
    Control.stop();
}

void EntryProcess::run(const std::atomic<bool> &StopRequested,
                       std::atomic<bool> &ReloadRequested,
                       const std::function<void()> &Reload) {
  const IntakeLimits Limits = intakeLimits(Settings.Intake, Settings.Machine);
  Intake = std::make_shared<IntakeBudget>(Limits);
  const IntakePartLimits &Callers =
      Limits.Parts[std::size_t(IntakePart::Callers)];
  Node.setCallLimits({std::max<std::size_t>(
                          Callers.Connections / ConnectionsPerWaitingCall, 1),
                      Callers.Bytes / WaitingJobsPart});
  const auto PeerServer =
      startHttpServer(optionsFor(Settings.Instance.Address, MaxPeerBodyBytes,
                                 Intake, IntakePart::Peers),
                      [this](HttpRequest Request, const Responder &Respond) {
                        servePeer(std::move(Request), Respond);
                      });
  const auto ProbeServer = startHttpServer(
      optionsFor(Settings.ReadyAddress, MaxClientBodyBytes, Intake,
                 IntakePart::Probe),
      [this](const HttpRequest &Request, const Responder &Respond) {
        const bool IsHealthy = Ready && Request.Path == Codec.readyPath();
        Respond(statusOnly(IsHealthy ? 200 : 503));
      });
  ClientServer = startHttpServer(
      optionsFor(Settings.ClientAddress, MaxClientBodyBytes, Intake,
                 IntakePart::Callers),
      [this](const HttpRequest &Request, const Responder &Respond) {
        serveClient(Request, Respond);
      });
  Control.setErrorHandler([this](const std::string &Problem) {
    ++InternalErrors;
    Log.event("internal error", Settings.Instance.Name, {{"problem", Problem}});
  });
  Log.event("started", Settings.Instance.Name,
            {{"zone", Settings.Instance.Zone},
             {"callers", Settings.ClientAddress},
             {"peers", Settings.Instance.Address}});
  Control.run(
      [&] {
        pump(StopRequested);
        if (ReloadRequested.exchange(false))
          Reload();
      },
      cell::Node::PumpPeriod);
  // A call without an answer would keep its connection open, and with it the
  // server. Calls that are still queued are therefore served as well.
  RefusingCalls = true;
  {
    const std::lock_guard Lock(IntakeMutex);
    IntakeClosed = true;
  }
  Control.drain();
  Node.failOpenCalls();
  Log.event("stopped", Settings.Instance.Name, {});
  ClientServer.reset();
}

} // namespace apricotwing::entry
