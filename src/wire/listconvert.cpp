#include "wire/listconvert.h"

namespace apricotwing {

Json toJson(const ListedInstance &Value) {
  return {{"id", Value.Id},
          {"address", Value.Address},
          {"peer_address", Value.PeerAddress},
          {"zone", Value.Zone},
          {"state", listedStateName(Value.State)}};
}

ListedInstance readListedInstance(JsonReader &Reader) {
  return {Reader.text("id"), Reader.text("address"),
          Reader.text("peer_address"), Reader.text("zone"),
          parseListedState(Reader.text("state"))};
}

Json toJson(const ListedWorker &Value) {
  return {{"id", Value.Id},
          {"address", Value.Address},
          {"zone", Value.Zone},
          {"rack", Value.Rack},
          {"cpu_millis", Value.Capacity.CpuMillis},
          {"memory_mib", Value.Capacity.MemoryMib},
          {"accelerators", Value.Capacity.Accelerators},
          {"labels", Value.ListedLabels},
          {"state", listedStateName(Value.State)}};
}

ListedWorker readListedWorker(JsonReader &Reader) {
  ListedWorker Worker;
  Worker.Id = Reader.text("id");
  Worker.Address = Reader.text("address");
  Worker.Zone = Reader.text("zone");
  Worker.Rack = Reader.text("rack");
  Worker.Capacity = {Reader.amountOrZero("cpu_millis"),
                     Reader.amountOrZero("memory_mib"),
                     Reader.amountOrZero("accelerators")};
  if (Reader.has("labels"))
    Worker.ListedLabels = Reader.texts("labels");
  Worker.State = parseListedState(Reader.text("state"));
  return Worker;
}

Json toJson(const ListedExecutor &Value) {
  return {{"id", Value.Id},
          {"upstream", Value.Upstream},
          {"address", Value.Address},
          {"zone", Value.Zone},
          {"state", listedStateName(Value.State)}};
}

ListedExecutor readListedExecutor(JsonReader &Reader) {
  return {Reader.text("id"), Reader.text("upstream"), Reader.text("address"),
          Reader.text("zone"), parseListedState(Reader.text("state"))};
}

} // namespace apricotwing
