#include "wire/platformcodec.h"

#include "wire/jsonconvert.h"
#include "wire/jsonreader.h"
#include "wire/listconvert.h"

namespace apricotwing {

namespace {

Json toJson(const RowCondition &Condition) {
  return {{"key", Condition.Key}, {"version", Condition.Version}};
}

RowCondition readCondition(JsonReader &Reader) {
  return {Reader.string("key"), Reader.number<RowVersion>("version")};
}

Json toJson(const std::vector<RowCondition> &Conditions) {
  Json Result = Json::array();
  for (const RowCondition &Condition : Conditions)
    Result.push_back(toJson(Condition));
  return Result;
}

RowWrite readWrite(JsonReader &Reader) {
  RowWrite Write;
  Write.Key = Reader.string("key");
  if (!Reader.booleanOr("delete", false))
    Write.Value = Reader.string("value");
  return Write;
}

Row readRow(JsonReader &Reader) {
  return {Reader.string("key"), Reader.number<RowVersion>("version"),
          Reader.string("transaction"), Reader.string("value")};
}

Json toJson(const TaskReport &Report) {
  Json Result = {{"state", taskStateName(Report.State)},
                 {"exit_code", Report.ExitCode},
                 {"cpu_millis", Report.Used.CpuMillis},
                 {"memory_mib", Report.Used.MemoryMib},
                 {"accelerators", Report.Used.Accelerators}};
  addAttemptId(Result, Report.Id);
  return Result;
}

template <typename Element>
Json toJsonList(const std::vector<Element> &Elements) {
  Json Result = Json::array();
  for (const Element &Item : Elements)
    Result.push_back(toJson(Item));
  return Result;
}

TaskReport readTaskReport(JsonReader &Reader) {
  return {readAttemptId(Reader), parseTaskState(Reader.string("state")),
          Reader.number<std::int32_t>("exit_code"),
          Resources{Reader.amountOrZero("cpu_millis"),
                    Reader.amountOrZero("memory_mib"),
                    Reader.amountOrZero("accelerators")}};
}

} // namespace

std::string encodeTransaction(const Transaction &Change) {
  Json Writes = Json::array();
  for (const RowWrite &Write : Change.Writes)
    Writes.push_back(Write.Value
                         ? Json{{"key", Write.Key}, {"value", *Write.Value}}
                         : Json{{"key", Write.Key}, {"delete", true}});
  return dumpJson({{"id", Change.Id},
                   {"conditions", toJson(Change.Conditions)},
                   {"writes", std::move(Writes)}});
}

Transaction decodeTransaction(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Transaction{Reader.string("id"),
                       Reader.list("conditions", readCondition),
                       Reader.list("writes", readWrite)};
  });
}

std::string encodeRevision(std::uint64_t Revision) {
  return dumpJson({{"revision", Revision}});
}

std::uint64_t decodeRevision(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.number<std::uint64_t>("revision");
  });
}

std::string encodeConflicts(const std::vector<RowCondition> &Conflicts) {
  return dumpJson({{"conflicts", toJson(Conflicts)}});
}

std::vector<RowCondition> decodeConflicts(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.list("conflicts", readCondition);
  });
}

std::string encodeReadRequest(const std::vector<std::string> &Keys) {
  return dumpJson({{"keys", Keys}});
}

std::vector<std::string> decodeReadRequest(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.stringList("keys");
  });
}

std::string encodeScanRequest(const ScanRequest &Request) {
  return dumpJson({{"prefix", Request.Prefix},
                   {"after", Request.After},
                   {"limit", Request.Limit}});
}

ScanRequest decodeScanRequest(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return ScanRequest{Reader.string("prefix"), Reader.stringOr("after", ""),
                       Reader.number<std::uint32_t>("limit")};
  });
}

std::string encodeRowPage(const RowPage &Page) {
  Json Rows = Json::array();
  for (const Row &Item : Page.Rows)
    Rows.push_back({{"key", Item.Key},
                    {"version", Item.Version},
                    {"transaction", Item.Transaction},
                    {"value", Item.Value}});
  return dumpJson({{"rows", std::move(Rows)}, {"more", Page.HasMore}});
}

RowPage decodeRowPage(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return RowPage{Reader.list("rows", readRow),
                   Reader.booleanOr("more", false)};
  });
}

std::string encodeInstanceSnapshot(const InstanceSnapshot &Snapshot) {
  return dumpJson({{"entries", toJsonList(Snapshot.Instances)},
                   {"workers", toJsonList(Snapshot.Workers)},
                   {"executors", toJsonList(Snapshot.Executors)}});
}

InstanceSnapshot decodeInstanceSnapshot(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    InstanceSnapshot Result;
    Result.Instances = Reader.list("entries", readListedInstance);
    // One bad entry must not keep the others from being followed.
    Result.Workers = Reader.validElements("workers", readListedWorker,
                                          Result.SkippedEntries);
    Result.Executors = Reader.validElements("executors", readListedExecutor,
                                            Result.SkippedEntries);
    return Result;
  });
}

std::string encodeLeaseRenewal(const LeaseRenewal &Renewal) {
  return dumpJson({{"shard", Renewal.Shard},
                   {"epoch", Renewal.ShardEpoch},
                   {"deadline_ms", Renewal.DeadlineMs},
                   {"acknowledge", toJsonList(Renewal.Acknowledged)}});
}

LeaseRenewal decodeLeaseRenewal(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return LeaseRenewal{Reader.string("shard"), Reader.number<Epoch>("epoch"),
                        Reader.number<std::int64_t>("deadline_ms"),
                        Reader.list("acknowledge", readAttemptId)};
  });
}

std::string encodeLeaseAnswer(const LeaseAnswer &Answer) {
  return dumpJson(
      {{"now_ms", Answer.NowMs}, {"tasks", toJsonList(Answer.Tasks)}});
}

LeaseAnswer decodeLeaseAnswer(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return LeaseAnswer{Reader.number<std::int64_t>("now_ms"),
                       Reader.list("tasks", readTaskReport)};
  });
}

std::string encodeTaskStart(const TaskStart &Start) {
  Json Result = {{"shard", Start.Shard},
                 {"epoch", Start.ShardEpoch},
                 {"resources", toJson(Start.Reserved)},
                 {"payload", Start.Payload},
                 {"checkpoint", Start.FromCheckpoint},
                 {"deadline_ms", Start.DeadlineMs}};
  addAttemptId(Result, Start.Id);
  return dumpJson(Result);
}

TaskStart decodeTaskStart(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return TaskStart{Reader.string("shard"),
                     Reader.number<Epoch>("epoch"),
                     readAttemptId(Reader),
                     readResources(Reader.object("resources")),
                     Reader.string("payload"),
                     Reader.booleanOr("checkpoint", false),
                     Reader.number<std::int64_t>("deadline_ms")};
  });
}

std::string encodeTaskStop(const TaskStop &Stop) {
  Json Result = {{"shard", Stop.Shard},
                 {"epoch", Stop.ShardEpoch},
                 {"mode", stopModeName(Stop.Mode)}};
  addAttemptId(Result, Stop.Id);
  return dumpJson(Result);
}

TaskStop decodeTaskStop(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return TaskStop{Reader.string("shard"), Reader.number<Epoch>("epoch"),
                    readAttemptId(Reader),
                    parseStopMode(Reader.string("mode"))};
  });
}

} // namespace apricotwing
