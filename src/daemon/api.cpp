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

constexpr std::size_t CallThreads = 8;
constexpr std::size_t MaxWaitingCalls = 1024;

constexpr std::int64_t DefaultDeadlineMs = 2000;
constexpr std::uint32_t DefaultPageSize = 100;
constexpr std::uint32_t MaxPageSize = 1000;

const std::string PrometheusText = "text/plain; version=0.0.4";

HttpResponse answer(int Status, std::string Body,
                    std::string ContentType = "application/json") {
  HttpResponse Response;
  Response.Status = Status;
  Response.ContentType = std::move(ContentType);
  Response.Body = std::move(Body);
  return Response;
}

std::vector<std::string> splitPath(const std::string &Text) {
  std::vector<std::string> Parts;
  std::size_t Begin = 1;
  while (Begin <= Text.size()) {
    const std::size_t End = std::min(Text.find('/', Begin), Text.size());
    Parts.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Parts;
}

std::string headerOr(const HttpRequest &Request, const std::string &Name,
                     const std::string &Absent) {
  const auto Found = Request.Headers.find(Name);
  return Found == Request.Headers.end() ? Absent : Found->second;
}

std::int64_t parseNumber(const std::string &What, const std::string &Text,
                         std::int64_t Least, std::int64_t Most) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure == std::errc() && Rest == End && Value >= Least && Value <= Most)
    return Value;
  throw Error(ErrorKind::BadRequest, What + " is '" + Text + "'",
              "use a whole number from " + std::to_string(Least) + " to " +
                  std::to_string(Most));
}

bool parseFlag(const std::string &What, const std::string &Text) {
  if (Text == "true")
    return true;
  if (Text == "false")
    return false;
  throw Error(ErrorKind::BadRequest, What + " is '" + Text + "'",
              "use true or false");
}

/// Value of a parameter of the query; \p Absent if it is not given.
std::string queryValue(const HttpRequest &Request, const std::string &Name,
                       const std::string &Absent) {
  std::size_t Begin = 0;
  while (Begin < Request.Query.size()) {
    const std::size_t End =
        std::min(Request.Query.find('&', Begin), Request.Query.size());
    const std::string Pair = Request.Query.substr(Begin, End - Begin);
    if (Pair.rfind(Name + "=", 0) == 0)
      return Pair.substr(Name.size() + 1);
    Begin = End + 1;
  }
  return Absent;
}

[[noreturn]] void throwNoSuchPath(const HttpRequest &Request) {
  throw Error(ErrorKind::NotFound,
              Request.Method + " " + Request.Path + " does not exist",
              "see the calls in docs/design.md, section 8");
}

} // namespace

Api::Api(DaemonContext &Context, Services Parts)
    : Context(Context), Parts(std::move(Parts)),
      Owners({{Context.Values.FirstOwner.Name,
               Context.Values.FirstOwner.KeySha256},
              {Context.Values.SecondOwner.Name,
               Context.Values.SecondOwner.KeySha256}}),
      Calls(CallThreads, MaxWaitingCalls) {
  setConfig(Config{});
}

void Api::setConfig(const Config &Document) {
  Keys.store(
      std::make_shared<const KeyAuthenticator>(Document, Owners, sha256Hex));
}

bool Api::isReady() const {
  return !Leaving && !Draining && Context.hasAuthority() &&
         Context.Session.config() != nullptr;
}

HttpResponse Api::errorAnswer(const Error &Reason) {
  Context.Counts.refused(Reason.kind());
  return apiErrorResponse(Reason);
}

void Api::requireWork() const {
  if (Draining)
    throw Error(ErrorKind::Draining, "this instance is shutting down",
                "send the request to another instance");
  if (!Context.hasAuthority())
    throw Error(ErrorKind::NoAuthority, "this instance has no valid session",
                "send the request to another instance, or wait until the "
                "table service can be reached");
}

Caller Api::team(const HttpRequest &Request) const {
  requireWork();
  return Keys.load()->authenticateTeam(headerOr(Request, "authorization", ""));
}

Caller Api::owner(const HttpRequest &Request) const {
  return Keys.load()->authenticateOwner(headerOr(Request, "authorization", ""));
}

void Api::runLater(Call Work, const Responder &Respond) {
  ++Open;
  const auto Job = [this, Work = std::move(Work), Respond] {
    HttpResponse Response;
    try {
      Response = Work();
    } catch (const Error &Reason) {
      Response = errorAnswer(Reason);
    } catch (const std::exception &Failure) {
      Context.Events.failure(Component::Http, "call failed", Failure);
      Response = errorAnswer(Error(ErrorKind::Internal, "the call failed",
                                   "look for the cause in the daemon's log",
                                   Outcome::Unknown));
    }
    Respond(std::move(Response));
    --Open;
  };
  if (Calls.submit(Job))
    return;
  --Open;
  Respond(errorAnswer(Error(ErrorKind::Overloaded, "too many calls wait",
                            "send the call again later")));
}

void Api::handle(HttpRequest Request, const Responder &Respond) {
  try {
    const Path Path = splitPath(Request.Path);
    if (Path.size() == 1)
      return handleOperations(Request, Respond);
    if (Path.front() != "v1")
      throwNoSuchPath(Request);
    if (Path[1] == "request" && Path.size() == 3 && Request.Method == "POST")
      return handleInteractive(std::move(Request), Path[2], Respond);
    if (Path[1] == "runs")
      return handleRuns(Request, Path, Respond);
    if (Path[1] == "config")
      return handleConfig(Request, Path, Respond);
    handleLists(Request, Path, Respond);
  } catch (const Error &Reason) {
    Respond(errorAnswer(Reason));
  }
}

void Api::handleOperations(const HttpRequest &Request,
                           const Responder &Respond) {
  if (Request.Method != "GET")
    throwNoSuchPath(Request);
  if (Request.Path == "/healthz")
    return Respond(answer(200, "{\"healthy\":true}"));
  if (Request.Path == "/readyz")
    return Respond(isReady() ? answer(200, "{\"ready\":true}")
                             : answer(503, "{\"ready\":false}"));
  if (Request.Path == "/statez")
    return Respond(answer(200, encodeStateDump(Parts.Dump())));
  if (Request.Path == "/metrics")
    return Respond(answer(200, Parts.MetricsText(), PrometheusText));
  throwNoSuchPath(Request);
}

void Api::handleInteractive(HttpRequest Request, const std::string &Upstream,
                            const Responder &Respond) {
  const Caller From = team(Request);
  const std::int64_t DeadlineMs =
      parseNumber("Apricotwing-Deadline-Ms",
                  headerOr(Request, "apricotwing-deadline-ms",
                           std::to_string(DefaultDeadlineMs)),
                  1, Context.Values.Requests.MaxDeadline.count());
  IncomingRequest Incoming;
  Incoming.Metadata.Id = randomId();
  Incoming.Metadata.Team = From.Name;
  Incoming.Metadata.KeySha256 = From.KeySha256;
  Incoming.Metadata.Upstream = Upstream;
  Incoming.Metadata.Idempotent =
      parseFlag("Apricotwing-Idempotent",
                headerOr(Request, "apricotwing-idempotent", "false"));
  Incoming.Metadata.Deadline = Context.Time.now() + Duration(DeadlineMs);
  Incoming.Body = std::move(Request.Body);
  Incoming.ContentType =
      headerOr(Request, "content-type", "application/octet-stream");
  Incoming.Respond = Respond;
  Parts.Requests.submit(std::move(Incoming));
}

void Api::handleRuns(const HttpRequest &Request, const Path &Path,
                     const Responder &Respond) {
  const TeamName Team = team(Request).Name;
  const std::string &Method = Request.Method;
  if (Path.size() == 2 && Method == "POST") {
    const RunSpec Spec = decodeRunSpec(Request.Body);
    return runLater(
        [this, Team, Spec] {
          const Submission Result = Parts.Runs.submit(Team, Spec);
          return answer(Result.Existed ? 200 : 201,
                        encodeRunAccepted(Result.Answer));
        },
        Respond);
  }
  if (Path.size() == 2 && Method == "GET") {
    const std::string After = queryValue(Request, "after", "");
    const auto Limit = std::uint32_t(parseNumber(
        "limit", queryValue(Request, "limit", std::to_string(DefaultPageSize)),
        1, MaxPageSize));
    return runLater(
        [this, Team, After, Limit] {
          return answer(200,
                        encodeRunPage(Parts.Runs.list(Team, After, Limit)));
        },
        Respond);
  }
  if (Path.size() == 3 && Method == "GET")
    return runLater(
        [this, Team, Run = Path[2]] {
          return answer(200, encodeRunView(Parts.Runs.view(Team, Run)));
        },
        Respond);
  if (Path.size() == 4 && Path[3] == "cancel" && Method == "POST")
    return runLater(
        [this, Team, Run = Path[2]] {
          Parts.Runs.cancel(Team, Run);
          return answer(202, "{}");
        },
        Respond);
  throwNoSuchPath(Request);
}

void Api::handleConfig(const HttpRequest &Request, const Path &Path,
                       const Responder &Respond) {
  const std::string Owner = owner(Request).Name;
  const std::string &Method = Request.Method;
  if (Path.size() == 2 && Method == "GET") {
    const std::shared_ptr<const Config> Document = Context.Session.config();
    if (!Document)
      throw Error(ErrorKind::StoreUnavailable,
                  "no configuration has been read yet",
                  "wait until the table service can be reached");
    return Respond(answer(200, encodeConfigView(*Document)));
  }
  if (Path.size() == 3 && Path[2] == "history" && Method == "GET")
    return runLater(
        [this] { return answer(200, encodeHistory(Parts.Ledger.history())); },
        Respond);
  if (Path.size() == 3 && Path[2] == "proposals" && Method == "GET")
    return runLater(
        [this] {
          return answer(200, encodeProposals(Parts.Ledger.proposals()));
        },
        Respond);
  if (Path.size() == 3 && Path[2] == "proposals" && Method == "POST") {
    const ProposalRequest Proposal = decodeProposalRequest(Request.Body);
    return runLater(
        [this, Owner, Proposal] {
          const ProposalRecord Created = Parts.Ledger.propose(
              Owner, Proposal.BaseVersion, Proposal.Changes);
          Context.Events.info(Component::Config, "proposal recorded",
                              Created.Id + " by " + Owner);
          return answer(201, encodeProposalCreated(Created.Id));
        },
        Respond);
  }
  const bool IsDecision =
      Path.size() == 5 && Path[2] == "proposals" && Method == "POST";
  if (IsDecision && Path[4] == "sign")
    return runLater(
        [this, Owner, Id = Path[3]] {
          const std::uint64_t Version = Parts.Ledger.sign(Id, Owner);
          Context.Events.info(Component::Config, "proposal signed",
                              Id + " by " + Owner + ", version " +
                                  std::to_string(Version));
          Parts.OnConfigChanged();
          return answer(200, encodeConfigVersion(Version));
        },
        Respond);
  if (IsDecision && Path[4] == "reject")
    return runLater(
        [this, Owner, Id = Path[3]] {
          Parts.Ledger.reject(Id, Owner);
          Context.Events.info(Component::Config, "proposal rejected",
                              Id + " by " + Owner);
          return answer(200, "{}");
        },
        Respond);
  throwNoSuchPath(Request);
}

void Api::handleLists(const HttpRequest &Request, const Path &Path,
                      const Responder &Respond) {
  if (Path.size() != 2 || Request.Method != "GET")
    throwNoSuchPath(Request);
  owner(Request);
  if (Path[1] == "instances")
    return runLater([this] { return answer(200, encodeInstanceList()); },
                    Respond);
  if (Path[1] == "workers")
    return Respond(answer(200, encodeWorkerList()));
  throwNoSuchPath(Request);
}

std::string Api::encodeInstanceList() const {
  std::map<SessionId, std::vector<ShardId>> Owned;
  for (const ShardId &Shard : shardIds(Context.Values.Scheduler.ShardsPerCell))
    if (const std::optional<Row> Found = Context.Table.read(keys::shard(Shard)))
      Owned[Context.Codec.decodeShard(Found->Value).Owner].push_back(Shard);
  std::vector<InstanceStatus> Result;
  for (const MemberRow &Member : Context.Session.members()) {
    InstanceStatus Entry;
    Entry.Id = Member.Record.Id;
    Entry.Address = Member.Record.Address;
    Entry.PeerAddress = Member.Record.PeerAddress;
    Entry.Zone = Member.Record.Zone;
    Entry.State = Member.Record.State;
    Entry.Shards = Owned[Entry.Id];
    Result.push_back(std::move(Entry));
  }
  return encodeInstances(Result);
}

std::string Api::encodeWorkerList() const {
  std::map<WorkerId, WorkerStatus> ById;
  if (const InstanceListService::Snapshot Listed = Parts.List.latest())
    for (const ListedWorker &Worker : Listed->Workers) {
      WorkerStatus &Entry = ById[Worker.Id];
      Entry.Worker = Worker;
      Entry.SinceLastAnswerMs = -1;
    }
  for (const ShardStatus &Shard : Parts.Shards.status())
    for (const WorkerStatus &Worker : Shard.Workers)
      ById[Worker.Worker.Id] = Worker;
  std::vector<WorkerStatus> Result;
  Result.reserve(ById.size());
  const std::shared_ptr<const Config> Document = Context.Session.config();
  for (auto &[Id, Entry] : ById) {
    Entry.Drained = Document && Document->DrainedWorkers.contains(Id);
    Result.push_back(Entry);
  }
  return encodeWorkers(Result);
}

void Api::handlePeer(const HttpRequest &Request, const Responder &Respond) {
  try {
    const Path Path = splitPath(Request.Path);
    if (Path.size() < 3 || Path[0] != "peer" || Path[1] != "v1")
      throwNoSuchPath(Request);
    if (Path[2] == "promise" && Request.Method == "POST") {
      const SessionId Asker = decodePromiseRequest(Request.Body);
      return Respond(answer(
          200, encodePromise(Context.Session.handlePromiseRequest(
                   Asker.Instance, Asker.SessionEpoch, Context.Time.now()))));
    }
    if (Path[2] == "notify" && Request.Method == "POST") {
      decodeNotify(Request.Body);
      Parts.Shards.notify();
      return Respond(answer(200, "{}"));
    }
    if (Path[2] == "runs" && Path.size() == 5 && Request.Method == "GET")
      return runLater(
          [this, Team = Path[3], Run = Path[4]] {
            const std::optional<RunView> View = Parts.Runs.localView(Team, Run);
            if (!View)
              throw Error(ErrorKind::NotFound,
                          "this instance does not schedule run " + Run,
                          "ask the owner of the run's shard");
            return answer(200, encodeRunView(*View));
          },
          Respond);
    throwNoSuchPath(Request);
  } catch (const Error &Reason) {
    Respond(errorAnswer(Reason));
  }
}

} // namespace apricotwing
