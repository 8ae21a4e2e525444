#include "wire/jsonconvert.h"

#include "core/error.h"

#include <array>
#include <utility>

namespace apricotwing {

namespace {

Json toJson(const TeamLimit &Value) {
  Json Result = toJson(Value.Tasks);
  Result["requests"] = Value.Requests;
  return Result;
}

TeamLimit readTeamLimit(JsonReader Reader) {
  TeamLimit Limit;
  Limit.Tasks.CpuMillis = Reader.amountOrZero("cpu_millis");
  Limit.Tasks.MemoryMib = Reader.amountOrZero("memory_mib");
  Limit.Tasks.Accelerators = Reader.amountOrZero("accelerators");
  Limit.Requests = Reader.numberOr<std::uint32_t>("requests", 0);
  Reader.rejectUnknownFields();
  return Limit;
}

TeamConfig readTeamConfig(JsonReader &Reader) {
  return {Reader.number<std::uint32_t>("share"),
          readTeamLimit(Reader.object("limit"))};
}

KeyConfig readKeyConfig(JsonReader &Reader, KeyHashes Hashes) {
  return {Reader.string("team"), Hashes == KeyHashes::Included
                                     ? Reader.string("sha256")
                                     : Reader.stringOr("sha256", "")};
}

UpstreamConfig readUpstreamConfig(JsonReader &Reader) {
  return {Reader.number<std::uint32_t>("slots"),
          Reader.number<std::uint32_t>("connections")};
}

PolicyConfig readPolicyConfig(JsonReader &Reader) {
  return {Reader.number<std::uint32_t>("max_wait_seconds")};
}

/// Visitor that encodes a change of the configuration as a JSON object.
class ChangeEncoder {
public:
  explicit ChangeEncoder(KeyHashes Hashes) : Hashes(Hashes) {}

  Json operator()(const SetTeam &Change) const {
    return {{"op", "set_team"},
            {"team", Change.Team},
            {"share", Change.Value.Share},
            {"limit", toJson(Change.Value.Limit)}};
  }
  Json operator()(const RemoveTeam &Change) const {
    return {{"op", "remove_team"}, {"team", Change.Team}};
  }
  Json operator()(const AddKey &Change) const {
    Json Result = {
        {"op", "add_key"}, {"team", Change.Value.Team}, {"key", Change.Key}};
    if (Hashes == KeyHashes::Included)
      Result["sha256"] = Change.Value.Sha256;
    return Result;
  }
  Json operator()(const RevokeKey &Change) const {
    return {{"op", "revoke_key"}, {"key", Change.Key}};
  }
  Json operator()(const SetLabel &Change) const {
    return {{"op", "set_label"},
            {"worker", Change.Worker},
            {"label", Change.Label},
            {"value", Change.Value}};
  }
  Json operator()(const RemoveLabel &Change) const {
    return {{"op", "remove_label"},
            {"worker", Change.Worker},
            {"label", Change.Label}};
  }
  Json operator()(const SetUpstream &Change) const {
    return {{"op", "set_upstream"},
            {"upstream", Change.Upstream},
            {"slots", Change.Value.Slots},
            {"connections", Change.Value.Connections}};
  }
  Json operator()(const RemoveUpstream &Change) const {
    return {{"op", "remove_upstream"}, {"upstream", Change.Upstream}};
  }
  Json operator()(const SetPolicy &Change) const {
    return {{"op", "set_policy"},
            {"kind", runKindName(Change.Kind)},
            {"max_wait_seconds", Change.Value.MaxWaitSeconds}};
  }
  Json operator()(const DrainWorker &Change) const {
    return {{"op", "drain_worker"}, {"worker", Change.Worker}};
  }
  Json operator()(const UndrainWorker &Change) const {
    return {{"op", "undrain_worker"}, {"worker", Change.Worker}};
  }

private:
  KeyHashes Hashes;
};

using ChangeReader = ConfigChange (*)(JsonReader &, KeyHashes);

const std::array<std::pair<std::string_view, ChangeReader>, 11> ChangeReaders =
    {{
        {"set_team",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return SetTeam{Reader.string("team"), readTeamConfig(Reader)};
         }},
        {"remove_team",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return RemoveTeam{Reader.string("team")};
         }},
        {"add_key",
         [](JsonReader &Reader, KeyHashes Hashes) -> ConfigChange {
           return AddKey{Reader.string("key"), readKeyConfig(Reader, Hashes)};
         }},
        {"revoke_key",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return RevokeKey{Reader.string("key")};
         }},
        {"set_label",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return SetLabel{Reader.string("worker"), Reader.string("label"),
                           Reader.string("value")};
         }},
        {"remove_label",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return RemoveLabel{Reader.string("worker"), Reader.string("label")};
         }},
        {"set_upstream",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return SetUpstream{Reader.string("upstream"),
                              readUpstreamConfig(Reader)};
         }},
        {"remove_upstream",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return RemoveUpstream{Reader.string("upstream")};
         }},
        {"set_policy",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return SetPolicy{parseRunKind(Reader.string("kind")),
                            readPolicyConfig(Reader)};
         }},
        {"drain_worker",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return DrainWorker{Reader.string("worker")};
         }},
        {"undrain_worker",
         [](JsonReader &Reader, KeyHashes) -> ConfigChange {
           return UndrainWorker{Reader.string("worker")};
         }},
    }};

} // namespace

Json toJson(const Resources &Value) {
  return {{"cpu_millis", Value.CpuMillis},
          {"memory_mib", Value.MemoryMib},
          {"accelerators", Value.Accelerators}};
}

Resources readResources(JsonReader Reader) {
  const Resources Result = {Reader.amountOrZero("cpu_millis"),
                            Reader.amountOrZero("memory_mib"),
                            Reader.amountOrZero("accelerators")};
  Reader.rejectUnknownFields();
  return Result;
}

void addAttemptId(Json &Target, const AttemptId &Value) {
  Target["task"] = toString(Value.Task);
  Target["attempt"] = Value.Attempt;
}

Json toJson(const AttemptId &Value) {
  Json Result = Json::object();
  addAttemptId(Result, Value);
  return Result;
}

AttemptId readAttemptId(JsonReader &Reader) {
  return {parseTaskId(Reader.string("task")),
          Reader.number<std::uint32_t>("attempt")};
}

Json toJson(const SessionId &Value) {
  return {{"instance", Value.Instance}, {"epoch", Value.SessionEpoch}};
}

SessionId readSessionId(JsonReader &Reader) {
  return {Reader.string("instance"), Reader.number<Epoch>("epoch")};
}

Json toJson(const RunSpec &Value) {
  return {{"kind", runKindName(Value.Kind)},
          {"priority", priorityName(Value.Urgency)},
          {"tasks", Value.Tasks},
          {"resources", toJson(Value.PerTask)},
          {"estimate_seconds", Value.EstimateSeconds},
          {"selector", Value.Selector},
          {"max_attempts", Value.MaxAttempts},
          {"on_lost", lostPolicyName(Value.OnLost)},
          {"checkpointable", Value.Checkpointable},
          {"idempotency_key", Value.IdempotencyKey},
          {"payload", Value.Payload}};
}

RunSpec readRunSpec(JsonReader &Reader) {
  RunSpec Spec;
  Spec.Kind = parseRunKind(Reader.string("kind"));
  Spec.Urgency = parsePriority(Reader.stringOr("priority", "normal"));
  Spec.Tasks = Reader.numberOr<std::uint32_t>("tasks", Spec.Tasks);
  Spec.PerTask = readResources(Reader.object("resources"));
  Spec.EstimateSeconds =
      Reader.numberOr<std::uint32_t>("estimate_seconds", Spec.EstimateSeconds);
  if (Reader.has("selector"))
    Spec.Selector = Reader.stringMap("selector");
  Spec.MaxAttempts =
      Reader.numberOr<std::uint32_t>("max_attempts", Spec.MaxAttempts);
  Spec.OnLost = parseLostPolicy(Reader.stringOr("on_lost", "restart"));
  Spec.Checkpointable = Reader.booleanOr("checkpointable", false);
  Spec.IdempotencyKey = Reader.string("idempotency_key");
  Spec.Payload = Reader.stringOr("payload", "");
  Reader.rejectUnknownFields();
  return Spec;
}

Json toJson(const RunRecord &Value) {
  return {{"run", Value.Id},
          {"team", Value.Team},
          {"shard", Value.Shard},
          {"spec", toJson(Value.Spec)},
          {"state", runStateName(Value.State)},
          {"running", Value.Running},
          {"succeeded", Value.Succeeded},
          {"failed", Value.Failed},
          {"reason", Value.Reason}};
}

RunRecord readRunRecord(JsonReader &Reader) {
  RunRecord Record;
  Record.Id = Reader.string("run");
  Record.Team = Reader.string("team");
  Record.Shard = Reader.string("shard");
  JsonReader Spec = Reader.object("spec");
  Record.Spec = readRunSpec(Spec);
  Record.State = parseRunState(Reader.string("state"));
  Record.Running = Reader.number<std::uint32_t>("running");
  Record.Succeeded = Reader.number<std::uint32_t>("succeeded");
  Record.Failed = Reader.number<std::uint32_t>("failed");
  Record.Reason = Reader.string("reason");
  return Record;
}

Json toJson(const Config &Value, KeyHashes Hashes) {
  Json Teams = Json::object();
  for (const auto &[Name, Team] : Value.Teams)
    Teams[Name] = {{"share", Team.Share}, {"limit", toJson(Team.Limit)}};
  Json Keys = Json::object();
  for (const auto &[Id, Key] : Value.Keys) {
    Keys[Id] = {{"team", Key.Team}};
    if (Hashes == KeyHashes::Included)
      Keys[Id]["sha256"] = Key.Sha256;
  }
  Json Drained = Json::array();
  for (const auto &[Worker, IsDrained] : Value.DrainedWorkers)
    if (IsDrained)
      Drained.push_back(Worker);
  Json Upstreams = Json::object();
  for (const auto &[Name, Upstream] : Value.Upstreams)
    Upstreams[Name] = {{"slots", Upstream.Slots},
                       {"connections", Upstream.Connections}};
  Json Policies = Json::object();
  for (const auto &[Kind, Policy] : Value.Policies)
    Policies[std::string(runKindName(Kind))] = {
        {"max_wait_seconds", Policy.MaxWaitSeconds}};
  return {{"version", Value.Version},
          {"teams", std::move(Teams)},
          {"keys", std::move(Keys)},
          {"worker_labels", Json(Value.WorkerLabels)},
          {"drained_workers", std::move(Drained)},
          {"upstreams", std::move(Upstreams)},
          {"policies", std::move(Policies)}};
}

Config readConfig(JsonReader &Reader, KeyHashes Hashes) {
  Config Result;
  Result.Version = Reader.number<std::uint64_t>("version");
  Reader.forEachMember("teams", [&](JsonReader &Team, const std::string &Name) {
    Result.Teams[Name] = readTeamConfig(Team);
  });
  Reader.forEachMember("keys", [&](JsonReader &Key, const std::string &Id) {
    Result.Keys[Id] = readKeyConfig(Key, Hashes);
  });
  JsonReader Labelled = Reader.object("worker_labels");
  Reader.forEachMember(
      "worker_labels", [&](JsonReader &, const std::string &Worker) {
        Result.WorkerLabels[Worker] = Labelled.stringMap(Worker);
      });
  for (const std::string &Worker : Reader.stringList("drained_workers"))
    Result.DrainedWorkers[Worker] = true;
  Reader.forEachMember("upstreams",
                       [&](JsonReader &Upstream, const std::string &Name) {
                         Result.Upstreams[Name] = readUpstreamConfig(Upstream);
                       });
  Reader.forEachMember(
      "policies", [&](JsonReader &Policy, const std::string &Kind) {
        Result.Policies[parseRunKind(Kind)] = readPolicyConfig(Policy);
      });
  return Result;
}

Json toJson(const ConfigChange &Value, KeyHashes Hashes) {
  return std::visit(ChangeEncoder(Hashes), Value);
}

Json toJson(const std::vector<ConfigChange> &Value, KeyHashes Hashes) {
  Json Result = Json::array();
  for (const ConfigChange &Change : Value)
    Result.push_back(toJson(Change, Hashes));
  return Result;
}

ConfigChange readConfigChange(JsonReader &Reader, KeyHashes Hashes) {
  const std::string Operation = Reader.string("op");
  for (const auto &[Name, Read] : ChangeReaders)
    if (Name == Operation) {
      ConfigChange Change = Read(Reader, Hashes);
      Reader.rejectUnknownFields();
      return Change;
    }
  throw Error(ErrorKind::BadRequest,
              "the operation '" + Operation + "' is unknown",
              "use one of the operations of 'apricotwing config propose'");
}

} // namespace apricotwing
