#include "wire/instancecodec.h"

#include "wire/jsonconvert.h"
#include "wire/jsonreader.h"
#include "wire/listconvert.h"

namespace apricotwing {

namespace {

Json toJson(const InstanceStatus &Status) {
  Json Result = toJson(Status.Id);
  Result["address"] = Status.Address;
  Result["peer_address"] = Status.PeerAddress;
  Result["zone"] = Status.Zone;
  Result["state"] = sessionStateName(Status.State);
  Result["shards"] = Status.Shards;
  return Result;
}

InstanceStatus readInstanceStatus(JsonReader &Reader) {
  InstanceStatus Status;
  Status.Id = readSessionId(Reader);
  Status.Address = Reader.string("address");
  Status.PeerAddress = Reader.string("peer_address");
  Status.Zone = Reader.string("zone");
  Status.State = parseSessionState(Reader.string("state"));
  Status.Shards = Reader.stringList("shards");
  return Status;
}

Json toJson(const WorkerStatus &Status) {
  Json Result = toJson(Status.Worker);
  Result["reserved"] = toJson(Status.Reserved);
  Result["tasks"] = Status.Tasks;
  Result["drained"] = Status.Drained;
  Result["quarantined"] = Status.Quarantined;
  Result["silent_ms"] = Status.SinceLastAnswerMs;
  return Result;
}

WorkerStatus readWorkerStatus(JsonReader &Reader) {
  WorkerStatus Status;
  Status.Worker = readListedWorker(Reader);
  Status.Reserved = readResources(Reader.object("reserved"));
  Status.Tasks = Reader.number<std::uint32_t>("tasks");
  Status.Drained = Reader.boolean("drained");
  Status.Quarantined = Reader.boolean("quarantined");
  Status.SinceLastAnswerMs = Reader.number<std::int64_t>("silent_ms");
  return Status;
}

} // namespace

std::string encodeInstances(const std::vector<InstanceStatus> &Instances) {
  Json List = Json::array();
  for (const InstanceStatus &Status : Instances)
    List.push_back(toJson(Status));
  return dumpJson({{"instances", std::move(List)}});
}

std::vector<InstanceStatus> decodeInstances(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.list("instances", readInstanceStatus);
  });
}

std::string encodeWorkers(const std::vector<WorkerStatus> &Workers) {
  Json List = Json::array();
  for (const WorkerStatus &Status : Workers)
    List.push_back(toJson(Status));
  return dumpJson({{"workers", std::move(List)}});
}

std::vector<WorkerStatus> decodeWorkers(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.list("workers", readWorkerStatus);
  });
}

} // namespace apricotwing
