#include "daemon/api.h"

#include "core/shardmap.h"
#include "daemon/errorresponse.h"
#include "httpclient/crypto.h"
#include "wire/configcodec.h"
#include "wire/instancecodec.h"
#include "wire/peercodec.h"
#include "wire/runcodec.h"

#include <charconv>
#include <exception>
#include <utility>

namespace apricotwing {

namespace {

constexpr std::size_t CallPoolThreads = 8;
constexpr std::size_t MaxQueuedCalls = 1024;

constexpr std::int64_t DefaultDeadlineMs = 2000;
constexpr std::uint32_t DefaultPageSize = 100;
constexpr std::uint32_t MaxPageSize = 1000;

const std::string PrometheusText = "text/plain; version=0.0.4";

HttpResponse makeResponse(int Status, std::string Body,
                          std::string ContentType = "application/json") {
  HttpResponse Response;
  Response.Status = Status;
  Response.ContentType = std::move(ContentType);
  Response.Body = std::move(Body);
  return Response;
}

std::vector<std::string> splitPath(const std::string &Text) {
  std::vector<std::string> Segments;
  std::size_t Begin = 1;
  while (Begin <= Text.size()) {
    const std::size_t End = std::min(Text.find('/', Begin), Text.size());
    Segments.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Segments;
}

std::string headerOr(const HttpRequest &Request, const std::string &Name,
                     const std::string &Default) {
  const auto Found = Request.Headers.find(Name);
  return Found == Request.Headers.end() ? Default : Found->second;
}

std::int64_t parseNumber(const std::string &Name, const std::string &Text,
                         std::int64_t Min, std::int64_t Max) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure == std::errc() && Rest == End && Value >= Min && Value <= Max)
    return Value;
  throw Error(ErrorKind::BadRequest, Name + " is '" + Text + "'",
              "use a whole number from " + std::to_string(Min) + " to " +
                  std::to_string(Max));
}

bool parseBool(const std::string &Name, const std::string &Text) {
  if (Text == "true")
    return true;
  if (Text == "false")
    return false;
  throw Error(ErrorKind::BadRequest, Name + " is '" + Text + "'",
              "use true or false");
}

/// Returns the value of a query parameter, or \p Default if it is missing.
std::string queryValue(const HttpRequest &Request, const std::string &Name,
                       const std::string &Default) {
  std::size_t Begin = 0;
  while (Begin < Request.Query.size()) {
    const std::size_t End =
        std::min(Request.Query.find('&', Begin), Request.Query.size());
    const std::string Pair = Request.Query.substr(Begin, End - Begin);
    if (Pair.rfind(Name + "=", 0) == 0)
      return Pair.substr(Name.size() + 1);
    Begin = End + 1;
  }
  return Default;
}

[[noreturn]] void throwNoSuchPath(const HttpRequest &Request) {
  throw Error(ErrorKind::NotFound,
              Request.Method + " " + Request.Path + " does not exist",
              "see the calls in docs/design.md, section 8");
}

} // namespace

Api::Api(DaemonContext &Context, ServiceRefs Services)
    : Context(Context), Services(std::move(Services)),
      Owners({{Context.Options.FirstOwner.Name,
               Context.Options.FirstOwner.KeySha256},
              {Context.Options.SecondOwner.Name,
               Context.Options.SecondOwner.KeySha256}}),
      CallPool(CallPoolThreads, MaxQueuedCalls) {
  setConfig(Config{});
}

std::shared_ptr<const Api::VersionedKeys>
Api::makeKeys(const Config &Document) const {
  return std::make_shared<const VersionedKeys>(VersionedKeys{
      Document.Version, KeyAuthenticator(Document, Owners, sha256Hex)});
}

void Api::setConfig(const Config &Document) { Keys.store(makeKeys(Document)); }

bool Api::isReady() const {
  return !Leaving && !Draining && Context.hasAuthority() &&
         Context.Session.config() != nullptr;
}

HttpResponse Api::makeErrorResponse(const Error &Reason) {
  Context.Metrics.callRefused(Reason.kind());
  return apiErrorResponse(Reason);
}

void Api::requireAuthority() const {
  if (!Context.hasAuthority())
    throw Error(ErrorKind::NoAuthority, "this instance has no valid session",
                "send the request to another instance, or wait until the "
                "table service can be reached");
}

std::shared_ptr<const Api::VersionedKeys> Api::newestKeys() {
  std::shared_ptr<const VersionedKeys> Result = Keys.load();
  // The session may have been renewed under a configuration that has not been
  // passed to setConfig() yet.
  const std::shared_ptr<const Config> Document = Context.Session.config();
  if (Document && Document->Version > Result->Version) {
    Result = makeKeys(*Document);
    Keys.store(Result);
  }
  return Result;
}

Caller Api::authenticateTeam(const HttpRequest &Request) {
  if (Draining)
    throw Error(ErrorKind::Draining, "this instance is shutting down",
                "send the request to another instance");
  requireAuthority();
  return newestKeys()->Authenticator.authenticateTeam(
      headerOr(Request, "authorization", ""));
}

Caller Api::authenticateOwner(const HttpRequest &Request) {
  return newestKeys()->Authenticator.authenticateOwner(
      headerOr(Request, "authorization", ""));
}

void Api::runAsync(BlockingCall Work, const Responder &Respond) {
  ++OpenCalls;
  const auto Job = [this, Work = std::move(Work), Respond] {
    HttpResponse Response;
    try {
      Response = Work();
    } catch (const Error &Reason) {
      Response = makeErrorResponse(Reason);
    } catch (const std::exception &Failure) {
      Context.Logger.failure(Component::Http, "call failed", Failure);
      Response = makeErrorResponse(Error(ErrorKind::Internal, "the call failed",
                                         "see the daemon's log for the cause",
                                         Outcome::Unknown));
    }
    Respond(std::move(Response));
    --OpenCalls;
  };
  if (CallPool.submit(Job))
    return;
  --OpenCalls;
  Respond(makeErrorResponse(Error(ErrorKind::Overloaded,
                                  "too many calls wait for a thread",
                                  "retry the call later")));
}

void Api::runForTeam(const HttpRequest &Request, TeamCall Work,
                     const Responder &Respond) {
  // The call may wait for a thread, so the key and the authority are checked
  // again immediately before it is carried out.
  runAsync(
      [this, Header = headerOr(Request, "authorization", ""),
       Work = std::move(Work)] {
        requireAuthority();
        return Work(newestKeys()->Authenticator.authenticateTeam(Header).Name);
      },
      Respond);
}

void Api::handle(HttpRequest Request, const Responder &Respond) {
  try {
    const PathSegments Segments = splitPath(Request.Path);
    if (Segments.size() == 1)
      return handleDiagnostics(Request, Respond);
    if (Segments.front() != "v1")
      throwNoSuchPath(Request);
    if (Segments[1] == "request" && Segments.size() == 3 &&
        Request.Method == "POST")
      return handleInteractive(std::move(Request), Segments[2], Respond);
    if (Segments[1] == "runs")
      return handleRuns(Request, Segments, Respond);
    if (Segments[1] == "config")
      return handleConfig(Request, Segments, Respond);
    handleLists(Request, Segments, Respond);
  } catch (const Error &Reason) {
    Respond(makeErrorResponse(Reason));
  }
}

void Api::handleDiagnostics(const HttpRequest &Request,
                            const Responder &Respond) {
  if (Request.Method != "GET")
    throwNoSuchPath(Request);
  if (Request.Path == "/healthz")
    return Respond(makeResponse(200, "{\"healthy\":true}"));
  if (Request.Path == "/readyz")
    return Respond(isReady() ? makeResponse(200, "{\"ready\":true}")
                             : makeResponse(503, "{\"ready\":false}"));
  if (Request.Path == "/statez")
    return Respond(makeResponse(200, encodeStateDump(Services.CollectState())));
  if (Request.Path == "/metrics")
    return Respond(
        makeResponse(200, Services.SerializeMetrics(), PrometheusText));
  throwNoSuchPath(Request);
}

void Api::handleInteractive(HttpRequest Request, const std::string &Upstream,
                            const Responder &Respond) {
  const Caller Client = authenticateTeam(Request);
  const std::int64_t DeadlineMs =
      parseNumber("Apricotwing-Deadline-Ms",
                  headerOr(Request, "apricotwing-deadline-ms",
                           std::to_string(DefaultDeadlineMs)),
                  1, Context.Options.Requests.MaxDeadline.count());
  IncomingRequest Incoming;
  Incoming.Metadata.Id = randomId();
  Incoming.Metadata.Team = Client.Name;
  Incoming.Metadata.KeySha256 = Client.KeySha256;
  Incoming.Metadata.Upstream = Upstream;
  Incoming.Metadata.Idempotent =
      parseBool("Apricotwing-Idempotent",
                headerOr(Request, "apricotwing-idempotent", "false"));
  Incoming.Metadata.Deadline = Context.Time.now() + Duration(DeadlineMs);
  Incoming.Body = std::move(Request.Body);
  Incoming.ContentType =
      headerOr(Request, "content-type", "application/octet-stream");
  Incoming.Respond = Respond;
  Services.Requests.submit(std::move(Incoming));
}

void Api::handleRuns(const HttpRequest &Request, const PathSegments &Segments,
                     const Responder &Respond) {
  authenticateTeam(Request);
  const std::string &Method = Request.Method;
  if (Segments.size() == 2 && Method == "POST") {
    const RunSpec Spec = decodeRunSpec(Request.Body);
    return runForTeam(
        Request,
        [this, Spec](const TeamName &Team) {
          const SubmissionResult Result = Services.Runs.submit(Team, Spec);
          return makeResponse(Result.IsDuplicate ? 200 : 201,
                              encodeRunAccepted(Result.Accepted));
        },
        Respond);
  }
  if (Segments.size() == 2 && Method == "GET") {
    const std::string After = queryValue(Request, "after", "");
    const auto Limit = std::uint32_t(parseNumber(
        "limit", queryValue(Request, "limit", std::to_string(DefaultPageSize)),
        1, MaxPageSize));
    return runForTeam(
        Request,
        [this, After, Limit](const TeamName &Team) {
          return makeResponse(
              200, encodeRunPage(Services.Runs.list(Team, After, Limit)));
        },
        Respond);
  }
  if (Segments.size() == 3 && Method == "GET")
    return runForTeam(
        Request,
        [this, Run = Segments[2]](const TeamName &Team) {
          return makeResponse(200,
                              encodeRunView(Services.Runs.view(Team, Run)));
        },
        Respond);
  if (Segments.size() == 4 && Segments[3] == "cancel" && Method == "POST")
    return runForTeam(
        Request,
        [this, Run = Segments[2]](const TeamName &Team) {
          Services.Runs.cancel(Team, Run);
          return makeResponse(202, "{}");
        },
        Respond);
  throwNoSuchPath(Request);
}

void Api::handleConfig(const HttpRequest &Request, const PathSegments &Segments,
                       const Responder &Respond) {
  const std::string Owner = authenticateOwner(Request).Name;
  const std::string &Method = Request.Method;
  if (Segments.size() == 2 && Method == "GET") {
    const std::shared_ptr<const Config> Document = Context.Session.config();
    if (!Document)
      throw Error(ErrorKind::StoreUnavailable,
                  "no configuration has been read yet",
                  "wait until the table service can be reached");
    return Respond(makeResponse(200, encodeConfigView(*Document)));
  }
  if (Segments.size() == 3 && Segments[2] == "history" && Method == "GET")
    return runAsync(
        [this] {
          return makeResponse(200, encodeHistory(Services.Ledger.history()));
        },
        Respond);
  if (Segments.size() == 3 && Segments[2] == "proposals" && Method == "GET")
    return runAsync(
        [this] {
          return makeResponse(200,
                              encodeProposals(Services.Ledger.proposals()));
        },
        Respond);
  if (Segments.size() == 3 && Segments[2] == "proposals" && Method == "POST") {
    const ProposalRequest Proposal = decodeProposalRequest(Request.Body);
    return runAsync(
        [this, Owner, Proposal] {
          const ProposalRecord Created = Services.Ledger.propose(
              Owner, Proposal.BaseVersion, Proposal.Changes);
          Context.Logger.info(Component::Config, "proposal recorded",
                              Created.Id + " by " + Owner);
          return makeResponse(201, encodeProposalCreated(Created.Id));
        },
        Respond);
  }
  const bool IsDecision =
      Segments.size() == 5 && Segments[2] == "proposals" && Method == "POST";
  if (IsDecision && Segments[4] == "sign")
    return runAsync(
        [this, Owner, Id = Segments[3]] {
          const std::uint64_t Version = Services.Ledger.sign(Id, Owner);
          Context.Logger.info(Component::Config, "proposal signed",
                              Id + " by " + Owner + ", version " +
                                  std::to_string(Version));
          Services.OnConfigChanged();
          return makeResponse(200, encodeConfigVersion(Version));
        },
        Respond);
  if (IsDecision && Segments[4] == "reject")
    return runAsync(
        [this, Owner, Id = Segments[3]] {
          Services.Ledger.reject(Id, Owner);
          Context.Logger.info(Component::Config, "proposal rejected",
                              Id + " by " + Owner);
          return makeResponse(200, "{}");
        },
        Respond);
  throwNoSuchPath(Request);
}

void Api::handleLists(const HttpRequest &Request, const PathSegments &Segments,
                      const Responder &Respond) {
  if (Segments.size() != 2 || Request.Method != "GET")
    throwNoSuchPath(Request);
  authenticateOwner(Request);
  if (Segments[1] == "instances")
    return runAsync([this] { return makeResponse(200, encodeInstanceList()); },
                    Respond);
  if (Segments[1] == "workers")
    return Respond(makeResponse(200, encodeWorkerList()));
  throwNoSuchPath(Request);
}

std::string Api::encodeInstanceList() const {
  std::map<SessionId, std::vector<ShardId>> Owned;
  for (const ShardId &Shard : shardIds(Context.Options.Scheduler.ShardsPerCell))
    if (const std::optional<Row> Found = Context.Table.read(keys::shard(Shard)))
      Owned[Context.Codec.decodeShard(Found->Value).Owner].push_back(Shard);
  std::vector<InstanceStatus> Result;
  for (const MemberRow &Member : Context.Session.members()) {
    InstanceStatus Status;
    Status.Id = Member.Record.Id;
    Status.Address = Member.Record.Address;
    Status.PeerAddress = Member.Record.PeerAddress;
    Status.Zone = Member.Record.Zone;
    Status.State = Member.Record.State;
    Status.Shards = Owned[Status.Id];
    Result.push_back(std::move(Status));
  }
  return encodeInstances(Result);
}

std::string Api::encodeWorkerList() const {
  std::map<WorkerId, WorkerStatus> ById;
  if (const InstanceListService::Snapshot Listed = Services.Instances.latest())
    for (const ListedWorker &Worker : Listed->Workers) {
      WorkerStatus &Status = ById[Worker.Id];
      Status.Worker = Worker;
      Status.SinceLastAnswerMs = -1;
    }
  for (const ShardStatus &Shard : Services.Shards.status())
    for (const WorkerStatus &Worker : Shard.Workers)
      ById[Worker.Worker.Id] = Worker;
  std::vector<WorkerStatus> Result;
  Result.reserve(ById.size());
  const std::shared_ptr<const Config> Document = Context.Session.config();
  for (auto &[Id, Status] : ById) {
    Status.Drained = Document && Document->DrainedWorkers.contains(Id);
    Result.push_back(Status);
  }
  return encodeWorkers(Result);
}

void Api::handlePeer(const HttpRequest &Request, const Responder &Respond) {
  try {
    const PathSegments Segments = splitPath(Request.Path);
    if (Segments.size() < 3 || Segments[0] != "peer" || Segments[1] != "v1")
      throwNoSuchPath(Request);
    if (Segments[2] == "promise" && Request.Method == "POST") {
      const SessionId Requester = decodePromiseRequest(Request.Body);
      return Respond(
          makeResponse(200, encodePromise(Context.Session.handlePromiseRequest(
                                Requester.Instance, Requester.SessionEpoch,
                                Context.Time.now()))));
    }
    if (Segments[2] == "notify" && Request.Method == "POST") {
      decodeNotify(Request.Body);
      Services.Shards.notify();
      return Respond(makeResponse(200, "{}"));
    }
    if (Segments[2] == "runs" && Segments.size() == 5 &&
        Request.Method == "GET")
      return runAsync(
          [this, Team = Segments[3], Run = Segments[4]] {
            const std::optional<RunView> View =
                Services.Runs.localView(Team, Run);
            if (!View)
              throw Error(ErrorKind::NotFound,
                          "this instance does not schedule run " + Run,
                          "ask the owner of the run's shard");
            return makeResponse(200, encodeRunView(*View));
          },
          Respond);
    throwNoSuchPath(Request);
  } catch (const Error &Reason) {
    Respond(makeErrorResponse(Reason));
  }
}

} // namespace apricotwing
