#include "wire/instancecodec.h"

#include "wire/jsonconvert.h"
#include "wire/jsonreader.h"
#include "wire/listconvert.h"

namespace apricotwing {

namespace {

Json toJson(const InstanceStatus &View) {
  Json Result = toJson(View.Id);
  Result["address"] = View.Address;
  Result["peer_address"] = View.PeerAddress;
  Result["zone"] = View.Zone;
  Result["state"] = sessionStateName(View.State);
  Result["shards"] = View.Shards;
  return Result;
}

InstanceStatus readInstanceView(JsonReader &Reader) {
  InstanceStatus View;
  View.Id = readSessionId(Reader);
  View.Address = Reader.text("address");
  View.PeerAddress = Reader.text("peer_address");
  View.Zone = Reader.text("zone");
  View.State = parseSessionState(Reader.text("state"));
  View.Shards = Reader.textList("shards");
  return View;
}

Json toJson(const WorkerStatus &View) {
  Json Result = toJson(View.Worker);
  Result["reserved"] = toJson(View.Reserved);
  Result["tasks"] = View.Tasks;
  Result["drained"] = View.Drained;
  Result["quarantined"] = View.Quarantined;
  Result["silent_ms"] = View.SinceLastAnswerMs;
  return Result;
}

WorkerStatus readWorkerView(JsonReader &Reader) {
  WorkerStatus View;
  View.Worker = readListedWorker(Reader);
  View.Reserved = readResources(Reader.object("reserved"));
  View.Tasks = Reader.number<std::uint32_t>("tasks");
  View.Drained = Reader.flag("drained");
  View.Quarantined = Reader.flag("quarantined");
  View.SinceLastAnswerMs = Reader.number<std::int64_t>("silent_ms");
  return View;
}

} // namespace

std::string encodeInstances(const std::vector<InstanceStatus> &Instances) {
  Json List = Json::array();
  for (const InstanceStatus &View : Instances)
    List.push_back(toJson(View));
  return dumpJson({{"instances", std::move(List)}});
}

std::vector<InstanceStatus> decodeInstances(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.list("instances", readInstanceView);
  });
}

std::string encodeWorkers(const std::vector<WorkerStatus> &Workers) {
  Json List = Json::array();
  for (const WorkerStatus &View : Workers)
    List.push_back(toJson(View));
  return dumpJson({{"workers", std::move(List)}});
}

std::vector<WorkerStatus> decodeWorkers(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.list("workers", readWorkerView);
  });
}

} // namespace apricotwing
