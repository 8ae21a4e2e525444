#include "wire/jsonrecordcodec.h"

#include "core/error.h"
#include "wire/jsonconvert.h"
#include "wire/jsonreader.h"

namespace apricotwing {

namespace {

using Amounts = std::map<std::string, std::int64_t>;

/// Decodes a record with \p Read. Converts any failure to Error(Internal),
/// because only instances of this system write these rows.
template <typename Reader>
auto decode(const char *What, const std::string &Text, const Reader &Read) {
  try {
    return decodeBody(Text, UnknownFields::Ignored, Read);
  } catch (const Error &Failure) {
    throw Error(ErrorKind::Internal,
                std::string("malformed ") + What + ": " + Failure.what(),
                "check that all instances run the same version");
  }
}

Amounts readAmounts(JsonReader &Reader, const std::string &Field) {
  JsonReader Inner = Reader.object(Field);
  Amounts Result;
  for (const auto &[Unit, Amount] : Reader.at(Field).items())
    Result[Unit] = Inner.number<std::int64_t>(Unit);
  return Result;
}

/// Visitor that encodes a journal event as a JSON object.
struct EventEncoder {
  Json operator()(const RunAdmitted &Event) const {
    return {{"event", "run_admitted"}, {"record", toJson(Event.Run)}};
  }
  Json operator()(const TaskStarted &Event) const {
    Json Result = {{"event", "task_started"},
                   {"worker", Event.Worker},
                   {"reserved", toJson(Event.Reserved)},
                   {"from_checkpoint", Event.FromCheckpoint}};
    addAttemptId(Result, Event.Id);
    return Result;
  }
  Json operator()(const TaskStopping &Event) const {
    Json Result = {{"event", "task_stopping"},
                   {"reason", stopReasonName(Event.Reason)}};
    addAttemptId(Result, Event.Id);
    return Result;
  }
  Json operator()(const TaskEnded &Event) const {
    Json Result = {{"event", "task_ended"},
                   {"outcome", taskStateName(Event.Outcome)},
                   {"exit_code", Event.ExitCode}};
    addAttemptId(Result, Event.Id);
    return Result;
  }
  Json operator()(const RunChanged &Event) const {
    return {{"event", "run_changed"},
            {"run", Event.Run},
            {"state", runStateName(Event.State)},
            {"reason", Event.Reason}};
  }
  Json operator()(const RunRetired &Event) const {
    return {{"event", "run_retired"}, {"run", Event.Run}};
  }
};

JournalEvent readEvent(JsonReader &Reader) {
  const std::string Kind = Reader.string("event");
  if (Kind == "run_admitted") {
    JsonReader Record = Reader.object("record");
    return RunAdmitted{readRunRecord(Record)};
  }
  if (Kind == "task_started")
    return TaskStarted{readAttemptId(Reader), Reader.string("worker"),
                       readResources(Reader.object("reserved")),
                       Reader.boolean("from_checkpoint")};
  if (Kind == "task_stopping")
    return TaskStopping{readAttemptId(Reader),
                        parseStopReason(Reader.string("reason"))};
  if (Kind == "task_ended")
    return TaskEnded{readAttemptId(Reader),
                     parseTaskState(Reader.string("outcome")),
                     Reader.number<std::int32_t>("exit_code")};
  if (Kind == "run_changed")
    return RunChanged{Reader.string("run"),
                      parseRunState(Reader.string("state")),
                      Reader.string("reason")};
  if (Kind == "run_retired")
    return RunRetired{Reader.string("run")};
  throw Error(ErrorKind::Internal, "unknown journal event '" + Kind + "'",
              "check that all instances run the same version");
}

/// Omits fields that have their default value: a snapshot contains up to
/// 25,000 tasks, and most of them have never run.
Json toJson(const TaskSnapshot &Task) {
  Json Result = {{"state", taskStateName(Task.State)}};
  if (Task.Attempt != 0)
    Result["attempt"] = Task.Attempt;
  if (Task.Failures != 0)
    Result["failures"] = Task.Failures;
  if (!Task.Worker.empty())
    Result["worker"] = Task.Worker;
  if (Task.Reserved != Resources{})
    Result["reserved"] = toJson(Task.Reserved);
  if (Task.HasCheckpoint)
    Result["checkpoint"] = true;
  if (Task.Stop != StopReason::Cancelled)
    Result["stop"] = stopReasonName(Task.Stop);
  return Result;
}

TaskSnapshot readTaskSnapshot(JsonReader &Reader) {
  TaskSnapshot Task;
  Task.State = parseTaskState(Reader.string("state"));
  Task.Attempt = Reader.numberOr<std::uint32_t>("attempt", 0);
  Task.Failures = Reader.numberOr<std::uint32_t>("failures", 0);
  Task.Worker = Reader.stringOr("worker", "");
  if (Reader.has("reserved"))
    Task.Reserved = readResources(Reader.object("reserved"));
  Task.HasCheckpoint = Reader.booleanOr("checkpoint", false);
  if (Reader.has("stop"))
    Task.Stop = parseStopReason(Reader.string("stop"));
  return Task;
}

std::vector<ConfigChange> readChanges(JsonReader &Reader) {
  return Reader.list("changes", [](JsonReader &Change) {
    return readConfigChange(Change, KeyHashes::Included);
  });
}

} // namespace

std::string JsonRecordCodec::encode(const SessionRecord &Record) const {
  Json Known = Json::array();
  for (const SessionId &Id : Record.Known)
    Known.push_back(toJson(Id));
  Json Result = toJson(Record.Id);
  Result["counter"] = Record.Counter;
  Result["address"] = Record.Address;
  Result["peer_address"] = Record.PeerAddress;
  Result["zone"] = Record.Zone;
  Result["state"] = sessionStateName(Record.State);
  Result["known"] = std::move(Known);
  return dumpJson(Result);
}

std::string JsonRecordCodec::encode(const EpochRecord &Record) const {
  return dumpJson({{"next", Record.Next}});
}

std::string JsonRecordCodec::encode(const ShardRecord &Record) const {
  return dumpJson({{"owner", toJson(Record.Owner)},
                   {"shard_epoch", Record.ShardEpoch},
                   {"next_sequence", Record.NextSequence},
                   {"snapshot_sequence", Record.SnapshotSequence}});
}

std::string JsonRecordCodec::encode(const PoolRecord &Record) const {
  return dumpJson({{"capacity", Record.Capacity}, {"grants", Record.Grants}});
}

std::string JsonRecordCodec::encode(const Config &Record) const {
  return dumpJson(toJson(Record, KeyHashes::Included));
}

std::string JsonRecordCodec::encode(const ProposalRecord &Record) const {
  return dumpJson({{"proposal", Record.Id},
                   {"base", Record.BaseVersion},
                   {"changes", toJson(Record.Changes, KeyHashes::Included)},
                   {"proposed_by", Record.ProposedBy},
                   {"decided_by", Record.DecidedBy},
                   {"state", proposalStateName(Record.State)}});
}

std::string JsonRecordCodec::encode(const HistoryRecord &Record) const {
  return dumpJson({{"version", Record.Version},
                   {"proposal", Record.Proposal},
                   {"proposed_by", Record.ProposedBy},
                   {"signed_by", Record.SignedBy},
                   {"changes", toJson(Record.Changes, KeyHashes::Included)}});
}

std::string JsonRecordCodec::encode(const IdempotencyRecord &Record) const {
  return dumpJson({{"run", Record.Run}, {"digest", Record.Digest}});
}

std::string JsonRecordCodec::encode(const RunRecord &Record) const {
  return dumpJson(toJson(Record));
}

std::string JsonRecordCodec::encode(const JournalRecord &Record) const {
  Json Events = Json::array();
  for (const JournalEvent &Event : Record.Events)
    Events.push_back(std::visit(EventEncoder(), Event));
  return dumpJson(
      {{"shard_epoch", Record.ShardEpoch}, {"events", std::move(Events)}});
}

std::string JsonRecordCodec::encode(const ShardSnapshot &Record) const {
  Json Runs = Json::array();
  for (const RunSnapshot &Run : Record.Runs) {
    Json Tasks = Json::array();
    for (const TaskSnapshot &Task : Run.Tasks)
      Tasks.push_back(toJson(Task));
    Runs.push_back({{"record", toJson(Run.Run)}, {"tasks", std::move(Tasks)}});
  }
  return dumpJson({{"sequence", Record.Sequence}, {"runs", std::move(Runs)}});
}

SessionRecord JsonRecordCodec::decodeSession(const std::string &Text) const {
  return decode("session", Text, [](JsonReader &Reader) {
    SessionRecord Record;
    Record.Id = readSessionId(Reader);
    Record.Counter = Reader.number<std::uint64_t>("counter");
    Record.Address = Reader.string("address");
    Record.PeerAddress = Reader.string("peer_address");
    Record.Zone = Reader.string("zone");
    Record.State = parseSessionState(Reader.string("state"));
    Record.Known = Reader.list("known", readSessionId);
    return Record;
  });
}

EpochRecord JsonRecordCodec::decodeEpoch(const std::string &Text) const {
  return decode("epoch", Text, [](JsonReader &Reader) {
    return EpochRecord{Reader.number<Epoch>("next")};
  });
}

ShardRecord JsonRecordCodec::decodeShard(const std::string &Text) const {
  return decode("shard", Text, [](JsonReader &Reader) {
    ShardRecord Record;
    JsonReader Owner = Reader.object("owner");
    Record.Owner = readSessionId(Owner);
    Record.ShardEpoch = Reader.number<Epoch>("shard_epoch");
    Record.NextSequence = Reader.number<std::uint64_t>("next_sequence");
    Record.SnapshotSequence = Reader.number<std::uint64_t>("snapshot_sequence");
    return Record;
  });
}

PoolRecord JsonRecordCodec::decodePool(const std::string &Text) const {
  return decode("pool", Text, [](JsonReader &Reader) {
    PoolRecord Record;
    Record.Capacity = readAmounts(Reader, "capacity");
    JsonReader Holders = Reader.object("grants");
    for (const auto &[Holder, Grant] : Reader.at("grants").items())
      Record.Grants[Holder] = readAmounts(Holders, Holder);
    return Record;
  });
}

Config JsonRecordCodec::decodeConfig(const std::string &Text) const {
  return decode("configuration", Text, [](JsonReader &Reader) {
    return readConfig(Reader, KeyHashes::Included);
  });
}

ProposalRecord JsonRecordCodec::decodeProposal(const std::string &Text) const {
  return decode("proposal", Text, [](JsonReader &Reader) {
    ProposalRecord Record;
    Record.Id = Reader.string("proposal");
    Record.BaseVersion = Reader.number<std::uint64_t>("base");
    Record.Changes = readChanges(Reader);
    Record.ProposedBy = Reader.string("proposed_by");
    Record.DecidedBy = Reader.string("decided_by");
    Record.State = parseProposalState(Reader.string("state"));
    return Record;
  });
}

HistoryRecord JsonRecordCodec::decodeHistory(const std::string &Text) const {
  return decode("history", Text, [](JsonReader &Reader) {
    HistoryRecord Record;
    Record.Version = Reader.number<std::uint64_t>("version");
    Record.Proposal = Reader.string("proposal");
    Record.ProposedBy = Reader.string("proposed_by");
    Record.SignedBy = Reader.string("signed_by");
    Record.Changes = readChanges(Reader);
    return Record;
  });
}

IdempotencyRecord
JsonRecordCodec::decodeIdempotency(const std::string &Text) const {
  return decode("idempotency", Text, [](JsonReader &Reader) {
    return IdempotencyRecord{Reader.string("run"), Reader.string("digest")};
  });
}

RunRecord JsonRecordCodec::decodeRun(const std::string &Text) const {
  return decode("run", Text, readRunRecord);
}

JournalRecord JsonRecordCodec::decodeJournal(const std::string &Text) const {
  return decode("journal", Text, [](JsonReader &Reader) {
    return JournalRecord{Reader.number<Epoch>("shard_epoch"),
                         Reader.list("events", readEvent)};
  });
}

ShardSnapshot JsonRecordCodec::decodeSnapshot(const std::string &Text) const {
  return decode("snapshot", Text, [](JsonReader &Reader) {
    ShardSnapshot Record;
    Record.Sequence = Reader.number<std::uint64_t>("sequence");
    Record.Runs = Reader.list("runs", [](JsonReader &Run) {
      RunSnapshot Result;
      JsonReader Inner = Run.object("record");
      Result.Run = readRunRecord(Inner);
      Result.Tasks = Run.list("tasks", readTaskSnapshot);
      return Result;
    });
    return Record;
  });
}

} // namespace apricotwing
