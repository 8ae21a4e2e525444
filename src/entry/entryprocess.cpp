#include "entry/entryprocess.h"

#include "core/error.h"
#include "entry/httppeertransport.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace apricotwing::entry {

namespace {

/// Open connections of callers close themselves long before that.
constexpr std::uint32_t IdleTimeoutMs = 60'000;

constexpr std::size_t MaxCallerBody = std::size_t(256) << 10;
constexpr std::size_t MaxPeerBody = std::size_t(16) << 20;

/// After a stop is requested, callers are sent here until two readiness
/// probes, one a second, have missed.
constexpr Duration NoticeTime{2600};

/// Time for callers with open connections to be told to go elsewhere.
constexpr Duration LingerTime{1000};

/// Retry-After of a process that is about to end.
constexpr Duration RefusalRetry{1000};

/// Kept of the grace period for the end of the process itself.
constexpr Duration ExitMargin{1200};

HttpServerOptions optionsFor(const std::string &Address, std::size_t MaxBody) {
  const std::size_t Colon = Address.rfind(':');
  HttpServerOptions Result;
  Result.Address = Address.substr(0, Colon);
  const std::string Port = Address.substr(Colon + 1);
  std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port);
  Result.Threads = 1;
  Result.MaxBodyBytes = MaxBody;
  Result.ReadTimeoutMs = IdleTimeoutMs;
  return Result;
}

HttpResponse statusOnly(int Status) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Body = "{}";
  return Result;
}

} // namespace

EntryProcess::EntryProcess(EntrySettings Settings, ControlLoop &Control,
                           cell::Node &Node, DecisionLog &Log,
                           const Clock &Time, const ClientCodec &Codec)
    : Settings(std::move(Settings)), Control(Control), Node(Node), Log(Log),
      Time(Time), Codec(Codec) {}

void EntryProcess::serveCaller(const HttpRequest &Request,
                               const Responder &Respond) {
  if (Ending) {
    // The control thread may not run any more.
    cell::ClientAnswer Refusal{cell::ClientStatus::Unavailable};
    Refusal.RetryAfter = RefusalRetry;
    Respond(Codec.write(Refusal));
    return;
  }
  auto Call = Codec.read(Request);
  if (!Call) {
    Respond(statusOnly(404));
    return;
  }
  const bool Taken =
      Control.offer([this, Call = std::move(*Call), Respond]() mutable {
        Node.serve(std::move(Call),
                   [this, Respond](const cell::ClientAnswer &Answer) {
                     Respond(Codec.write(Answer));
                   });
      });
  if (!Taken)
    Respond(Codec.write({cell::ClientStatus::Unavailable}));
}

void EntryProcess::servePeer(HttpRequest Request, const Responder &Respond) {
  if (Request.Path == MailPath) {
    Control.offer([this, Body = std::move(Request.Body), Respond] {
      const auto Reply = Node.receive(Body);
      HttpResponse Response = statusOnly(Reply ? 200 : 503);
      if (Reply)
        Response.Body = *Reply;
      Respond(Response);
    });
    return;
  }
  if (Request.Path == "/healthz" || Request.Path == "/readyz") {
    const bool Good = Request.Path == "/healthz" || Ready;
    Respond(statusOnly(Good ? 200 : 503));
    return;
  }
  const bool Metrics = Request.Path == "/metrics";
  if (!Metrics && Request.Path != "/statez") {
    Respond(statusOnly(404));
    return;
  }
  Control.offer([this, Metrics, Respond] {
    HttpResponse Response;
    Response.Body = Metrics ? metrics() : stateDump();
    if (Metrics)
      Response.ContentType = "text/plain; version=0.0.4";
    Respond(Response);
  });
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
  for (const auto &[Status, Count] : Node.member().counts().Answers)
    Answers
        .Add({{"outcome",
               std::string(enumName(cell::ClientStatusNames, Status))}})
        .Increment(double(Count));
  const cell::MemberCounts &Counts = Node.member().counts();
  Gauge("apricotwing_entry_starts", "Runs ordered here", double(Counts.Starts));
  Gauge("apricotwing_entry_ends", "Ends of runs seen here",
        double(Counts.EndedRuns));
  Gauge("apricotwing_entry_advice_calls", "Calls for placement advice",
        double(Counts.AdviceCalls));
  Gauge("apricotwing_entry_links_lost", "Links to a leader that were lost",
        double(Counts.LinksLost));
  Gauge("apricotwing_entry_open_calls", "Calls that wait for an answer",
        double(Node.member().openCalls()));
  Gauge("apricotwing_entry_workers_in_care", "Workers looked after",
        double(Node.member().workerSessionCount()));
  Gauge("apricotwing_entry_policy_version", "Version of the policy in force",
        double(Node.member().policy().Version));
  Gauge("apricotwing_entry_leading", "1 while this instance leads",
        Node.leader() ? 1 : 0);
  if (const cell::Leader *Office = Node.leader()) {
    Gauge("apricotwing_leader_members", "Members that are linked",
          double(Office->memberCount()));
    Gauge("apricotwing_leader_active_jobs", "Jobs that have not ended",
          double(Office->scheduler().activeJobs()));
    Gauge("apricotwing_leader_commits", "Commits to the store",
          double(Office->journal().commits()));
    Gauge("apricotwing_leader_rows_written", "Rows written to the store",
          double(Office->journal().rowsWritten()));
  }
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

std::string EntryProcess::stateDump() const {
  nlohmann::json Dump;
  Dump["instance"] = Settings.Instance.Name;
  Dump["zone"] = Settings.Instance.Zone;
  Dump["ready"] = Ready.load();
  Dump["policy_version"] = Node.member().policy().Version;
  Dump["leader_term"] = Node.member().leaderTerm();
  Dump["open_calls"] = Node.member().openCalls();
  Dump["workers_in_care"] = Node.member().workerSessionCount();
  if (const cell::Leader *Office = Node.leader()) {
    auto &Leading = Dump["leading"];
    Leading["term"] = Office->term();
    Leading["loaded"] = Office->isLoaded();
    Leading["members"] = Office->memberCount();
    Leading["active_jobs"] = Office->scheduler().activeJobs();
    for (const auto &[Id, Worker] : Office->scheduler().workers()) {
      auto &Entry = Leading["workers"][Id];
      Entry["synced"] = Worker.isSynced();
      Entry["reachable"] = Worker.isReachable();
      Entry["draining"] = Worker.info().Draining;
      Entry["free_cpu_millis"] = Worker.freeResources().CpuMillis;
      Entry["free_memory_mib"] = Worker.freeResources().MemoryMib;
      for (const auto &[Step, Room] : Worker.claims())
        Entry["claims"][Step] = Room.CpuMillis;
      for (const auto &[Task, Run] : Worker.runs())
        Entry["runs"][Task] = Run.Run;
    }
  }
  return Dump.dump();
}

void EntryProcess::pump(const std::atomic<bool> &StopRequested) {
  Node.pump();
  const bool NowReady = Node.isReady();
  Ready = NowReady;
  if (NowReady != WasReady) {
    WasReady = NowReady;
    Log.event(NowReady ? "ready" : "not ready", Settings.Instance.Name, {});
  }
  if (!StopRequested)
    return;
  const TimePoint Now = Time.now();
  if (!StoppingSince) {
    StoppingSince = Now;
    Log.event("stopping", Settings.Instance.Name, {{"cause", "signal"}});
    Node.leave();
  }
  const Duration Since = Now - *StoppingSince;
  // Responses from now on ask their callers to open a new connection, which
  // leads elsewhere.
  if (Since >= NoticeTime)
    Callers->stopAccepting();
  if (Since >= NoticeTime + LingerTime)
    Ending = true;
  const bool MustEnd = Since >= Settings.Grace - ExitMargin;
  if (MustEnd || (Ending && Node.isIdle()))
    Control.stop();
}

void EntryProcess::run(const std::atomic<bool> &StopRequested,
                       std::atomic<bool> &ReloadRequested,
                       const std::function<void()> &Reload) {
  const auto Peers =
      startHttpServer(optionsFor(Settings.Instance.Address, MaxPeerBody),
                      [this](HttpRequest Request, const Responder &Respond) {
                        servePeer(std::move(Request), Respond);
                      });
  const auto Probe = startHttpServer(
      optionsFor(Settings.ReadyAddress, MaxCallerBody),
      [this](const HttpRequest &Request, const Responder &Respond) {
        const bool Good = Ready && Request.Path == Codec.readyPath();
        Respond(statusOnly(Good ? 200 : 503));
      });
  Callers = startHttpServer(
      optionsFor(Settings.ClientAddress, MaxCallerBody),
      [this](const HttpRequest &Request, const Responder &Respond) {
        serveCaller(Request, Respond);
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
  // A call without an answer would keep its connection, and the server, open:
  // those in the ring are taken as well.
  Ending = true;
  Control.drain();
  Node.failOpenCalls();
  Log.event("stopped", Settings.Instance.Name, {});
  Callers.reset();
}

} // namespace apricotwing::entry
