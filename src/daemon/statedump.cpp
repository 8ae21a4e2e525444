#include "daemon/statedump.h"

#include <nlohmann/json.hpp>

namespace apricotwing {

namespace {

using Json = nlohmann::json;

Json toJson(const Resources &Value) {
  return {{"cpu_millis", Value.CpuMillis},
          {"memory_mib", Value.MemoryMib},
          {"accelerators", Value.Accelerators}};
}

Json toJson(const WorkerStatus &Value) {
  return {{"id", Value.Worker.Id},
          {"zone", Value.Worker.Zone},
          {"rack", Value.Worker.Rack},
          {"state", listedStateName(Value.Worker.State)},
          {"tasks", Value.Tasks},
          {"drained", Value.Drained},
          {"quarantined", Value.Quarantined},
          // The name in the JSON stays "silent_ms" for existing readers.
          {"silent_ms", Value.SinceLastAnswerMs}};
}

Json toJson(const ShardStatus &Value) {
  Json Teams = Json::object();
  for (const auto &[Team, Standing] : Value.Stats.Teams)
    Teams[Team] = {{"allocated", toJson(Standing.Allocated)},
                   {"pending", toJson(Standing.Pending)},
                   {"fraction", Standing.Fraction},
                   {"share", Standing.Share},
                   {"distance", Standing.Distance},
                   {"waiting_tasks", Standing.Waiting},
                   {"active_tasks", Standing.Active}};
  Json Waits = Json::object();
  for (const auto &[Class, Summary] : Value.Stats.Waits)
    Waits[Class] = {{"count", Summary.Count},
                    {"median_ms", Summary.Median.count()},
                    {"p99_ms", Summary.Percentile99.count()}};
  Json Grants = Json::object();
  for (const auto &[Team, Amount] : Value.Grants)
    Grants[Team] = toJson(Amount);
  Json Workers = Json::array();
  for (const WorkerStatus &Worker : Value.Workers)
    Workers.push_back(toJson(Worker));
  return {{"shard", Value.Shard},
          {"epoch", Value.ShardEpoch},
          {"next_sequence", Value.NextSequence},
          {"commit_pending", Value.CommitPending},
          {"waiting_tasks", Value.Stats.WaitingTasks},
          {"active_tasks", Value.Stats.ActiveTasks},
          {"runs", Value.Stats.Runs},
          {"unschedulable_runs", Value.Stats.UnschedulableRuns},
          {"packing", Value.Stats.Packing},
          {"quarantined", Value.Stats.Quarantined},
          {"reserved_for", Value.Stats.ReservedFor},
          {"teams", std::move(Teams)},
          {"waits", std::move(Waits)},
          {"grants", std::move(Grants)},
          {"workers", std::move(Workers)}};
}

Json toJson(const RouterStats &Value) {
  Json Refused = Json::object();
  for (const auto &[Kind, Count] : Value.Refused)
    Refused[std::string(errorCode(Kind))] = Count;
  return {{"submitted", Value.Submitted},
          {"delivered", Value.Delivered},
          {"failed_not_run", Value.FailedNotRun},
          {"failed_unknown", Value.FailedUnknown},
          {"retries", Value.Retries},
          {"retries_denied", Value.RetriesDenied},
          {"ejections", Value.Ejections},
          {"queued", Value.Queued},
          {"in_flight", Value.InFlight},
          {"slots_taken", Value.SlotsTaken},
          {"slots_granted", Value.SlotsGranted},
          {"queued_by_team", Value.QueuedByTeam},
          {"taken_by_team", Value.TakenByTeam},
          {"refused", std::move(Refused)}};
}

Json toJson(const SessionRecord &Value) {
  return {{"instance", Value.Id.Instance},
          {"epoch", Value.Id.SessionEpoch},
          {"address", Value.Address},
          {"peer_address", Value.PeerAddress},
          {"zone", Value.Zone},
          {"state", sessionStateName(Value.State)}};
}

} // namespace

std::string encodeStateDump(const StateDump &Dump) {
  Json Contacts = Json::object();
  for (const auto &[Dependency, Since] : Dump.SinceContact)
    Contacts[Dependency] = Since.count();
  Json Members = Json::array();
  for (const SessionRecord &Member : Dump.Members)
    Members.push_back(toJson(Member));
  Json Shards = Json::array();
  for (const ShardStatus &Shard : Dump.Shards)
    Shards.push_back(toJson(Shard));
  const Json Result = {{"instance", Dump.Session.Instance},
                       {"session_epoch", Dump.Session.SessionEpoch},
                       {"zone", Dump.Zone},
                       {"ready", Dump.Ready},
                       {"draining", Dump.Draining},
                       {"config_version", Dump.ConfigVersion},
                       {"authority_left_ms", Dump.AuthorityLeft.count()},
                       {"since_contact_ms", std::move(Contacts)},
                       {"members", std::move(Members)},
                       {"shards", std::move(Shards)},
                       {"grants", Dump.Grants},
                       {"requests", toJson(Dump.Requests)},
                       {"table_reads", Dump.TableReads},
                       {"table_writes", Dump.TableWrites}};
  return Result.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace apricotwing
