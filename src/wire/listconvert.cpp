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
  return {Reader.string("id"), Reader.string("address"),
          Reader.string("peer_address"), Reader.string("zone"),
          parseListedState(Reader.string("state"))};
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
  Worker.Id = Reader.string("id");
  Worker.Address = Reader.string("address");
  Worker.Zone = Reader.string("zone");
  Worker.Rack = Reader.string("rack");
  Worker.Capacity = {Reader.amountOrZero("cpu_millis"),
                     Reader.amountOrZero("memory_mib"),
                     Reader.amountOrZero("accelerators")};
  if (Reader.has("labels"))
    Worker.ListedLabels = Reader.stringMap("labels");
  Worker.State = parseListedState(Reader.string("state"));
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
  return {Reader.string("id"), Reader.string("upstream"),
          Reader.string("address"), Reader.string("zone"),
          parseListedState(Reader.string("state"))};
}

} // namespace apricotwing
