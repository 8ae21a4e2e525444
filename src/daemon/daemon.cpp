#include "daemon/daemon.h"

#include "httpclient/crypto.h"
#include "httpserver/intakesettings.h"

#include <thread>
#include <utility>

namespace apricotwing {

namespace {

constexpr Duration WorkerTimeout{1000};
constexpr Duration PeerTimeout{500};

/// Time that a load balancer needs to notice that an instance is not ready.
constexpr Duration LeaveGracePeriod{2000};

constexpr Duration DrainPollPeriod{20};
constexpr Duration LogFlushPeriod{5000};

HttpServerOptions serverOptions(const Settings &Options,
                                const ListenAddress &Address,
                                const std::shared_ptr<IntakeBudget> &Intake,
                                IntakePart Part) {
  HttpServerOptions Result;
  Result.Address = Address.Ip;
  Result.Port = Address.Port;
  Result.MaxBodyBytes = Options.Http.MaxBodyBytes;
  Result.ReadTimeoutMs = std::uint32_t(Options.Http.HeaderTimeout.count());
  applyIntake(Result, Intake, Part);
  return Result;
}

IntakeLimits clientLimits(const Settings &Options) {
  IntakeSettings Result;
  Result.BudgetKib = Options.Intake.BudgetKib;
  Result.Connections = Options.Intake.Connections;
  Result.RequestTimeout = Options.Http.HeaderTimeout;
  return intakeLimits(Result, {});
}

InstanceIdentity identity(const Settings &Options) {
  return {Options.Instance.Id, toString(Options.Http.Listen),
          toString(Options.Http.PeerListen), Options.Instance.Zone};
}

AuthoritySettings authoritySettings(const Settings &Options) {
  AuthoritySettings Result = Options.Authority;
  Result.RequestDeadline = Options.Requests.MaxDeadline;
  return Result;
}

} // namespace

Daemon::Daemon(const Settings &LoadedSettings)
    : Options(LoadedSettings), Logger(Time, Options.Level), Metrics(Time),
      Ids(Options.Instance.Id + "-" + randomId()),
      HttpTable(Client, Options.Table.Url, Options.Table.Timeout),
      Table(HttpTable, Metrics, Time),
      HttpObjects(Client, Options.ObjectsUrl, Options.Table.Timeout),
      Objects(HttpObjects, Metrics, Time),
      InstanceClient(Client, Options.ListUrl, Options.Table.Timeout),
      Workers(Client, WorkerTimeout), Peers(Client, PeerTimeout),
      Session(Table, Peers, Codec, Time, Ids, identity(Options),
              authoritySettings(Options)),
      Upstreams(Client), Context{Options,        Time,    Logger,    Metrics,
                                 Codec,          Ids,     Table,     Objects,
                                 InstanceClient, Workers, Upstreams, Peers,
                                 Session},
      Ledger(Table, Codec, Time, Ids, Session),
      Intake(std::make_shared<IntakeBudget>(clientLimits(Options))) {
  // The callbacks below use members that are created later. They cannot run
  // before the servers and threads at the end of this constructor start.
  Requests =
      std::make_unique<RequestService>(Context, [this] { Grants->wake(); });
  Instances = std::make_unique<InstanceListService>(
      Context, [this](const auto &Snapshot) {
        Requests->setExecutors(Snapshot.Executors);
      });
  Grants = std::make_unique<GrantService>(Context, *Requests, *Instances);
  Shards = std::make_unique<ShardRunner>(Context, *Instances);
  Runs = std::make_unique<RunService>(
      Context, *Shards,
      [this](const std::string &Peer, const TeamName &Team, const RunId &Run) {
        return Peers.runView(Peer, Team, Run);
      });
  AuthorityService::Listeners Callbacks;
  Callbacks.OnRound = [this](const RoundReport &) {
    Requests->refreshAuthority();
    Metrics.setReady(HttpApi->isReady());
  };
  Callbacks.OnConfig = [this](const auto &Document) {
    handleConfig(*Document);
  };
  Callbacks.OnLost = [this](const SessionId &) { handleSessionLost(); };
  Authority = std::make_unique<AuthorityService>(Context, std::move(Callbacks));
  HttpApi = std::make_unique<Api>(
      Context, Api::ServiceRefs{*Requests, *Runs, *Shards, *Instances, Ledger,
                                [this] { return collectState(); },
                                [this] { return metricsText(); },
                                [this] { Authority->wake(); }});
  PeerServer = startHttpServer(
      serverOptions(Options, Options.Http.PeerListen, Intake,
                    IntakePart::Peers),
      [this](const HttpRequest &Request, const Responder &Respond) {
        HttpApi->handlePeer(Request, Respond);
      });
  Server = startHttpServer(
      serverOptions(Options, Options.Http.Listen, Intake, IntakePart::Callers),
      [this](HttpRequest Request, const Responder &Respond) {
        HttpApi->handle(std::move(Request), Respond);
      });
  Authority->start();
  LogFlushThread = std::make_unique<PeriodicThread>(
      LogFlushPeriod,
      [this] {
        reportRefusals();
        Logger.flush();
        Metrics.setLogLinesSuppressed(Logger.suppressed());
      },
      [](const std::exception &) {});
  Logger.info(Component::Daemon, "started",
              Options.Instance.Id + " on " + toString(Options.Http.Listen));
}

Daemon::~Daemon() = default;

void Daemon::handleConfig(const Config &Document) {
  HttpApi->setConfig(Document);
  Requests->setConfig(Document);
  Grants->wake();
  Shards->notify();
}

void Daemon::handleSessionLost() {
  Shards->handleSessionLost();
  Grants->wake();
}

std::string Daemon::metricsText() {
  {
    const std::lock_guard Lock(TrafficMutex);
    const HttpTraffic Total = Client.traffic();
    Metrics.addBytes(ByteDirection::Sent,
                     Total.BytesSent - ReportedTraffic.BytesSent);
    Metrics.addBytes(ByteDirection::Received,
                     Total.BytesReceived - ReportedTraffic.BytesReceived);
    ReportedTraffic = Total;
  }
  return Metrics.serialize();
}

StateDump Daemon::collectState() const {
  const TimePoint Now = Time.now();
  const auto TimeSince = [Now](TimePoint Last) {
    return Last == TimePoint::min() ? Duration(-1) : Now - Last;
  };
  StateDump Result;
  Result.Session = Session.sessionId();
  Result.Session.Instance = Options.Instance.Id;
  Result.Zone = Options.Instance.Zone;
  Result.Ready = HttpApi->isReady();
  Result.Draining = HttpApi->isDraining();
  if (const std::shared_ptr<const Config> Document = Session.config())
    Result.ConfigVersion = Document->Version;
  const TimePoint ValidUntil = Session.validUntil();
  Result.AuthorityLeft =
      ValidUntil == TimePoint::min() ? Duration(-1) : ValidUntil - Now;
  Result.SinceContact["table"] = TimeSince(Session.lastStoreContact());
  Result.SinceContact["list"] = TimeSince(Instances->lastContact());
  for (const auto &[Peer, Last] : Session.lastPeerContacts())
    Result.SinceContact["peer " + Peer] = TimeSince(Last);
  for (const MemberRow &Member : Session.members())
    Result.Members.push_back(Member.Record);
  Result.Shards = Shards->status();
  Result.Grants = Grants->held();
  Result.Requests = Requests->stats();
  Result.TableReads = Table.reads();
  Result.TableWrites = Table.writes();
  return Result;
}

void Daemon::reportRefusals() {
  for (const auto &[Reason, Name] : IntakeRefusalNames) {
    const std::uint64_t Count = Intake->refusals(Reason);
    const std::uint64_t Logged =
        std::exchange(LoggedRefusals[std::size_t(Reason)], Count);
    if (Count > Logged)
      Logger.warning(Component::Http, "clients refused",
                     "cause " + std::string(Name) + ", " +
                         std::to_string(Count - Logged) +
                         " connections or requests; see [intake]");
    Metrics.setClientsRefused(Name, Count);
  }
}

void Daemon::waitForOpenRequests() {
  const TimePoint GiveUpTime = Time.now() + Options.Requests.MaxDeadline;
  while ((Requests->open() > 0 || HttpApi->openCalls() > 0) &&
         Time.now() < GiveUpTime)
    std::this_thread::sleep_for(DrainPollPeriod);
}

void Daemon::shutDown() {
  Logger.info(Component::Daemon, "shutting down", Options.Instance.Id);
  HttpApi->leave();
  Authority->leave();
  std::this_thread::sleep_for(LeaveGracePeriod);
  HttpApi->drain();
  Requests->drain();
  waitForOpenRequests();
  Shards->finish();
  Grants->finish();
  Instances->stop();
  Authority->finish();
  Server->stopAccepting();
  Logger.info(Component::Daemon, "stopped", Options.Instance.Id);
  Logger.flush();
}

} // namespace apricotwing
