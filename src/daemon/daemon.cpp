#include "daemon/daemon.h"

#include "httpclient/crypto.h"

#include <thread>
#include <utility>

namespace apricotwing {

namespace {

constexpr Duration WorkerTimeout{1000};
constexpr Duration PeerTimeout{500};

/// A load balancer needs this long to notice that an instance is leaving.
constexpr Duration LeaveGrace{2000};

constexpr Duration DrainPoll{20};
constexpr Duration HousekeepingPeriod{5000};

HttpServerOptions serverOptions(const Settings &Values,
                                const ListenAddress &Address) {
  HttpServerOptions Options;
  Options.Address = Address.Ip;
  Options.Port = Address.Port;
  Options.MaxBodyBytes = Values.Http.MaxBodyBytes;
  Options.ReadTimeoutMs = std::uint32_t(Values.Http.HeaderTimeout.count());
  return Options;
}

InstanceIdentity identity(const Settings &Values) {
  return {Values.Instance.Id, toString(Values.Http.Listen),
          toString(Values.Http.PeerListen), Values.Instance.Zone};
}

AuthoritySettings authoritySettings(const Settings &Values) {
  AuthoritySettings Result = Values.Authority;
  Result.RequestDeadline = Values.Requests.MaxDeadline;
  return Result;
}

} // namespace

Daemon::Daemon(const Settings &FromFile)
    : Values(FromFile), Events(Time, Values.Level), Counts(Time),
      Ids(Values.Instance.Id + "-" + randomId()),
      PlainTable(Client, Values.Table.Url, Values.Table.Timeout),
      Table(PlainTable, Counts, Time),
      PlainObjects(Client, Values.ObjectsUrl, Values.Table.Timeout),
      Objects(PlainObjects, Counts, Time),
      List(Client, Values.ListUrl, Values.Table.Timeout),
      Workers(Client, WorkerTimeout), Peers(Client, PeerTimeout),
      Session(Table, Peers, Codec, Time, Ids, identity(Values),
              authoritySettings(Values)),
      Upstreams(Client), Context{Values,    Time,  Events,  Counts, Codec,
                                 Ids,       Table, Objects, List,   Workers,
                                 Upstreams, Peers, Session},
      Ledger(Table, Codec, Time, Ids, Session) {
  // No request comes in before the servers start, when all parts exist.
  Requests =
      std::make_unique<RequestService>(Context, [this] { Grants->wake(); });
  Listing = std::make_unique<InstanceListService>(
      Context, [this](const auto &Snapshot) {
        Requests->setExecutors(Snapshot.Executors);
      });
  Grants = std::make_unique<GrantService>(Context, *Requests, *Listing);
  Shards = std::make_unique<ShardRunner>(Context, *Listing);
  Runs = std::make_unique<RunService>(
      Context, *Shards,
      [this](const std::string &Peer, const TeamName &Team, const RunId &Run) {
        return Peers.runView(Peer, Team, Run);
      });
  AuthorityService::Listeners Callbacks;
  Callbacks.OnRound = [this](const RoundReport &) {
    Requests->refreshAuthority();
    Counts.setReady(Interface->isReady());
  };
  Callbacks.OnConfig = [this](const auto &Document) {
    handleConfig(*Document);
  };
  Callbacks.OnLost = [this](const SessionId &) { handleLost(); };
  Authority = std::make_unique<AuthorityService>(Context, std::move(Callbacks));
  Interface = std::make_unique<Api>(
      Context,
      Api::Services{*Requests, *Runs, *Shards, *Listing, Ledger,
                    [this] { return dump(); }, [this] { return metricsText(); },
                    [this] { Authority->wake(); }});
  PeerServer = startHttpServer(
      serverOptions(Values, Values.Http.PeerListen),
      [this](const HttpRequest &Request, const Responder &Respond) {
        Interface->handlePeer(Request, Respond);
      });
  Server =
      startHttpServer(serverOptions(Values, Values.Http.Listen),
                      [this](HttpRequest Request, const Responder &Respond) {
                        Interface->handle(std::move(Request), Respond);
                      });
  Authority->start();
  Housekeeping = std::make_unique<PeriodicThread>(
      HousekeepingPeriod,
      [this] {
        Events.flush();
        Counts.setLogLinesSuppressed(Events.suppressed());
      },
      [](const std::exception &) {});
  Events.info(Component::Daemon, "started",
              Values.Instance.Id + " on " + toString(Values.Http.Listen));
}

Daemon::~Daemon() = default;

void Daemon::handleConfig(const Config &Document) {
  Interface->setConfig(Document);
  Requests->setConfig(Document);
  Grants->wake();
  Shards->notify();
}

void Daemon::handleLost() {
  Shards->handleSessionLost();
  Grants->wake();
}

std::string Daemon::metricsText() {
  {
    const std::lock_guard Lock(TrafficMutex);
    const HttpTraffic Total = Client.traffic();
    Counts.addBytes(ByteDirection::Sent,
                    Total.BytesSent - CountedTraffic.BytesSent);
    Counts.addBytes(ByteDirection::Received,
                    Total.BytesReceived - CountedTraffic.BytesReceived);
    CountedTraffic = Total;
  }
  return Counts.serialize();
}

StateDump Daemon::dump() const {
  const TimePoint Now = Time.now();
  const auto Since = [Now](TimePoint Last) {
    return Last == TimePoint::min() ? Duration(-1) : Now - Last;
  };
  StateDump Result;
  Result.Session = Session.sessionId();
  Result.Session.Instance = Values.Instance.Id;
  Result.Zone = Values.Instance.Zone;
  Result.Ready = Interface->isReady();
  Result.Draining = Interface->isDraining();
  if (const std::shared_ptr<const Config> Document = Session.config())
    Result.ConfigVersion = Document->Version;
  const TimePoint Until = Session.validUntil();
  Result.AuthorityLeft = Until == TimePoint::min() ? Duration(-1) : Until - Now;
  Result.SinceContact["table"] = Since(Session.lastStoreContact());
  Result.SinceContact["list"] = Since(Listing->lastContact());
  for (const auto &[Peer, Last] : Session.lastPeerContacts())
    Result.SinceContact["peer " + Peer] = Since(Last);
  for (const MemberRow &Member : Session.members())
    Result.Members.push_back(Member.Record);
  Result.Shards = Shards->status();
  Result.Grants = Grants->held();
  Result.Requests = Requests->stats();
  Result.TableReads = Table.reads();
  Result.TableWrites = Table.writes();
  return Result;
}

void Daemon::waitForOpenRequests() {
  const TimePoint Limit = Time.now() + Values.Requests.MaxDeadline;
  while ((Requests->open() > 0 || Interface->openCalls() > 0) &&
         Time.now() < Limit)
    std::this_thread::sleep_for(DrainPoll);
}

void Daemon::shutDown() {
  Events.info(Component::Daemon, "shutting down", Values.Instance.Id);
  Interface->leave();
  Authority->leave();
  std::this_thread::sleep_for(LeaveGrace);
  Interface->drain();
  Requests->drain();
  waitForOpenRequests();
  Shards->finish();
  Grants->finish();
  Listing->stop();
  Authority->finish();
  Server->stopAccepting();
  Events.info(Component::Daemon, "stopped", Values.Instance.Id);
  Events.flush();
}

} // namespace apricotwing
