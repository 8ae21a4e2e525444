#include "cell/codec.h"

#include "json/boundedparser.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <stdexcept>
#include <type_traits>
#include <utility>

using nlohmann::json;

// The keys are part of the protocol and of stored data; some differ from the
// names of the fields. Fields with their default value are omitted, because
// most fields of most messages have it.

namespace apricotwing {

namespace {

/// Largest number of values in a message or a stored row. A message about 300
/// workers with 30 runs each has a tenth.
constexpr std::size_t MaxMessageValues = 200'000;

template <typename Value>
void put(json &To, const char *Name, const Value &Field,
         const Value &Default = Value()) {
  if (!(Field == Default))
    To[Name] = Field;
}

/// For lists of types without operator==.
template <typename Value>
void putList(json &To, const char *Name, const std::vector<Value> &Field) {
  if (!Field.empty())
    To[Name] = Field;
}

template <typename Value>
void take(const json &From, const char *Name, Value &Field) {
  const auto Found = From.find(Name);
  if (Found != From.end())
    Found->get_to(Field);
}

template <typename Enum>
void putEnum(json &To, const char *Name, Enum Field, Enum Default = Enum()) {
  put(To, Name, int(Field), int(Default));
}

template <typename Enum>
void takeEnum(const json &From, const char *Name, Enum &Field) {
  int Number = int(Field);
  take(From, Name, Number);
  Field = Enum(Number);
}

template <typename Value> std::string toText(const Value &Content) {
  // Text from callers may be invalid UTF-8.
  return json(Content).dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Returns the result of \p Decode, or nothing if it reports invalid content.
template <typename Value, typename Decoder>
std::optional<Value> decodeOr(const Decoder &Decode) {
  try {
    return Decode();
  } catch (const json::exception &) {
    return std::nullopt; // Callers log the failure together with the sender.
  } catch (const std::invalid_argument &) {
    return std::nullopt;
  }
}

template <typename Value>
std::optional<Value> fromText(const std::string &Text) {
  return decodeOr<Value>([&Text] {
    return parseBoundedJson(Text, MaxMessageValues).get<Value>();
  });
}

} // namespace

static void to_json(json &To, const Resources &Value) { // NOLINT
  To = json::array({Value.CpuMillis, Value.MemoryMib, Value.Accelerators});
}
static void from_json(const json &From, Resources &Value) { // NOLINT
  From.at(0).get_to(Value.CpuMillis);
  From.at(1).get_to(Value.MemoryMib);
  From.at(2).get_to(Value.Accelerators);
}

namespace jobs {

// NOLINTBEGIN(readability-identifier-naming): names that nlohmann-json finds
static void to_json(json &To, const WorkerIncarnation &Value) {
  To = json::array({Value.Id, Value.StartedUnixMs});
}
static void from_json(const json &From, WorkerIncarnation &Value) {
  From.at(0).get_to(Value.Id);
  From.at(1).get_to(Value.StartedUnixMs);
}

static void to_json(json &To, const StepSpec &Value) {
  To = json::object();
  To["n"] = Value.Count;
  To["res"] = Value.Request;
  put(To, "est", std::int64_t(Value.Estimate.count()));
  putList(To, "after", Value.After);
  put(To, "gang", Value.Gang);
  put(To, "rack", Value.SameRack);
  put(To, "save", Value.Checkpointing);
  put(To, "spec", Value.Speculative);
  put(To, "long", Value.LongRunning);
  put(To, "fill", Value.BestEffort);
  put(To, "label", Value.RequiredLabel);
  put(To, "near", Value.PreferredRack);
  put(To, "per", Value.MaxPerWorker);
  put(To, "image", Value.Image);
  put(To, "tail", Value.TailTargetMs);
  put(To, "miss", Value.MissTolerance);
}
static void from_json(const json &From, StepSpec &Value) {
  std::int64_t Estimate = 0;
  take(From, "n", Value.Count);
  take(From, "res", Value.Request);
  take(From, "est", Estimate);
  Value.Estimate = Duration(Estimate);
  take(From, "after", Value.After);
  take(From, "gang", Value.Gang);
  take(From, "rack", Value.SameRack);
  take(From, "save", Value.Checkpointing);
  take(From, "spec", Value.Speculative);
  take(From, "long", Value.LongRunning);
  take(From, "fill", Value.BestEffort);
  take(From, "label", Value.RequiredLabel);
  take(From, "near", Value.PreferredRack);
  take(From, "per", Value.MaxPerWorker);
  take(From, "image", Value.Image);
  take(From, "tail", Value.TailTargetMs);
  take(From, "miss", Value.MissTolerance);
}

static void to_json(json &To, const JobSpec &Value) {
  To = json::object();
  To["id"] = Value.Id;
  put(To, "queue", Value.Queue);
  put(To, "account", Value.Account);
  put(To, "payload", Value.Payload);
  To["steps"] = Value.Steps;
  put(To, "at", Value.AcceptedUnixMs);
}
static void from_json(const json &From, JobSpec &Value) {
  From.at("id").get_to(Value.Id);
  take(From, "queue", Value.Queue);
  take(From, "account", Value.Account);
  take(From, "payload", Value.Payload);
  From.at("steps").get_to(Value.Steps);
  take(From, "at", Value.AcceptedUnixMs);
}

static void to_json(json &To, const PlacedRun &Value) {
  To = json::array({Value.Worker, Value.Run});
  if (Value.Confirmed)
    To.push_back(true);
}
static void from_json(const json &From, PlacedRun &Value) {
  From.at(0).get_to(Value.Worker);
  From.at(1).get_to(Value.Run);
  // Earlier versions do not store it.
  Value.Confirmed = From.size() > 2 && From.at(2).get<bool>();
}

static void to_json(json &To, const CrashRecord &Value) {
  To = json::array({Value.Worker, Value.Run,
                    std::string(enumName(WorkerLossNames, Value.Cause)),
                    Value.Apart, Value.Witnessed});
}
static void from_json(const json &From, CrashRecord &Value) {
  From.at(0).get_to(Value.Worker);
  From.at(1).get_to(Value.Run);
  Value.Cause =
      parseEnum(WorkerLossNames, "cause", From.at(2).get<std::string>());
  From.at(3).get_to(Value.Apart);
  Value.Witnessed = From.size() > 4 && From.at(4).get<bool>();
}

static void to_json(json &To, const StepProgress &Value) {
  To = json::object();
  put(To, "placed", Value.Placed);
  put(To, "gang_failed_run", Value.LastFailedRun);
  putList(To, "done", Value.Done);
  put(To, "failed", Value.Failures);
  put(To, "begun", Value.Begun);
  put(To, "gang_failed", Value.GangFailures);
  put(To, "saved", Value.Checkpoints);
  put(To, "lost", Value.Crashes);
}
static void from_json(const json &From, StepProgress &Value) {
  take(From, "placed", Value.Placed);
  take(From, "gang_failed_run", Value.LastFailedRun);
  take(From, "done", Value.Done);
  take(From, "failed", Value.Failures);
  take(From, "begun", Value.Begun);
  take(From, "gang_failed", Value.GangFailures);
  take(From, "saved", Value.Checkpoints);
  take(From, "lost", Value.Crashes);
}

static void to_json(json &To, const JobProgress &Value) {
  To = json::object();
  To["phase"] = int(Value.Phase);
  put(To, "queue", Value.Queue);
  putList(To, "steps", Value.Steps);
}
static void from_json(const json &From, JobProgress &Value) {
  takeEnum(From, "phase", Value.Phase);
  take(From, "queue", Value.Queue);
  take(From, "steps", Value.Steps);
}

static void to_json(json &To, const AdviceSettings &Value) {
  To = json::array({Value.BaseMs, Value.PerWorkerMs, Value.Validity.count()});
}
static void from_json(const json &From, AdviceSettings &Value) {
  From.at(0).get_to(Value.BaseMs);
  From.at(1).get_to(Value.PerWorkerMs);
  Value.Validity = Duration(From.at(2).get<Duration::rep>());
}

static void to_json(json &To, const Queue &Value) {
  To = {{"name", Value.Name}};
  put(To, "upstream", Value.Upstream);
  put(To, "priority", Value.Priority);
  To["attempts"] = Value.MaxAttempts;
  To["slack"] = Value.SlackFactor;
  put(To, "target", std::int64_t(Value.LatencyTarget.count()));
  if (Value.Advice)
    To["advice"] = *Value.Advice;
}
static void from_json(const json &From, Queue &Value) {
  std::int64_t LatencyTarget = 0;
  From.at("name").get_to(Value.Name);
  take(From, "upstream", Value.Upstream);
  take(From, "priority", Value.Priority);
  take(From, "attempts", Value.MaxAttempts);
  take(From, "slack", Value.SlackFactor);
  take(From, "target", LatencyTarget);
  Value.LatencyTarget = Duration(LatencyTarget);
  if (From.contains("advice"))
    Value.Advice = From.at("advice").get<AdviceSettings>();
}

static void to_json(json &To, const ClientAccount &Value) {
  To = {{"name", Value.Name}};
  To["weight"] = Value.Weight;
  put(To, "cap", Value.Cap);
}
static void from_json(const json &From, ClientAccount &Value) {
  From.at("name").get_to(Value.Name);
  take(From, "weight", Value.Weight);
  take(From, "cap", Value.Cap);
}

static void to_json(json &To, const ClusterPolicy &Value) {
  To = json::object();
  putList(To, "queues", Value.Queues);
  putList(To, "accounts", Value.Accounts);
}
static void from_json(const json &From, ClusterPolicy &Value) {
  take(From, "queues", Value.Queues);
  take(From, "accounts", Value.Accounts);
}

static void to_json(json &To, const ActiveRun &Value) {
  To = json::array({Value.Task, Value.Run, Value.Checkpoint, Value.Percent});
}
static void from_json(const json &From, ActiveRun &Value) {
  From.at(0).get_to(Value.Task);
  From.at(1).get_to(Value.Run);
  From.at(2).get_to(Value.Checkpoint);
  From.at(3).get_to(Value.Percent);
}

static void to_json(json &To, const EndedRun &Value) {
  To = json::array(
      {Value.Number, Value.Task, Value.Run, int(Value.Kind), Value.Checkpoint});
}
static void from_json(const json &From, EndedRun &Value) {
  From.at(0).get_to(Value.Number);
  From.at(1).get_to(Value.Task);
  From.at(2).get_to(Value.Run);
  Value.Kind = EndKind(From.at(3).get<int>());
  From.at(4).get_to(Value.Checkpoint);
}

static void to_json(json &To, const PreviousRun &Value) {
  To = json::object();
  put(To, "run", Value.Run);
  put(To, "worker", Value.Worker);
  putEnum(To, "outcome", Value.Outcome);
  put(To, "age", std::int64_t(Value.Age.count()));
  putEnum(To, "cause", Value.Cause);
  putEnum(To, "evidence", Value.Proof.Evidence);
  putEnum(To, "basis", Value.Proof.Basis);
  put(To, "grant_age", Value.Proof.GrantAgeMs, std::int64_t(-1));
  put(To, "answer_age", Value.Proof.AnswerAgeMs, std::int64_t(-1));
}
static void from_json(const json &From, PreviousRun &Value) {
  std::int64_t AgeMs = 0;
  take(From, "run", Value.Run);
  take(From, "worker", Value.Worker);
  takeEnum(From, "outcome", Value.Outcome);
  take(From, "age", AgeMs);
  Value.Age = Duration(AgeMs);
  takeEnum(From, "cause", Value.Cause);
  takeEnum(From, "evidence", Value.Proof.Evidence);
  takeEnum(From, "basis", Value.Proof.Basis);
  take(From, "grant_age", Value.Proof.GrantAgeMs);
  take(From, "answer_age", Value.Proof.AnswerAgeMs);
}

static void to_json(json &To, const StartCommand &Value) {
  To = json::object();
  To["worker"] = Value.Worker;
  To["task"] = Value.Task;
  To["run"] = Value.Run;
  put(To, "payload", Value.Payload);
  put(To, "ticket", Value.Ticket);
  put(To, "saved", Value.Checkpoint);
  if (Value.Previous)
    To["previous"] = *Value.Previous;
}
static void from_json(const json &From, StartCommand &Value) {
  From.at("worker").get_to(Value.Worker);
  From.at("task").get_to(Value.Task);
  From.at("run").get_to(Value.Run);
  take(From, "payload", Value.Payload);
  take(From, "ticket", Value.Ticket);
  take(From, "saved", Value.Checkpoint);
  if (From.contains("previous"))
    Value.Previous = From.at("previous").get<PreviousRun>();
}

static void to_json(json &To, const StopCommand &Value) {
  To = json::array({Value.Worker, Value.Task, Value.Run});
}
static void from_json(const json &From, StopCommand &Value) {
  From.at(0).get_to(Value.Worker);
  From.at(1).get_to(Value.Task);
  From.at(2).get_to(Value.Run);
}

static void to_json(json &To, const AdviceRequest &Value) {
  To = json::array({Value.Step, Value.Workers, Value.CostMs});
}
static void from_json(const json &From, AdviceRequest &Value) {
  From.at(0).get_to(Value.Step);
  From.at(1).get_to(Value.Workers);
  From.at(2).get_to(Value.CostMs);
}

static void to_json(json &To, const Approval &Value) {
  To = json::array({Value.Worker, Value.Ticket});
}
static void from_json(const json &From, Approval &Value) {
  From.at(0).get_to(Value.Worker);
  From.at(1).get_to(Value.Ticket);
}

} // namespace jobs

namespace cell {

static void to_json(json &To, const InstanceInfo &Value) {
  To = json::array({Value.Name, Value.Address, Value.Zone, Value.CpuShare});
}
static void from_json(const json &From, InstanceInfo &Value) {
  From.at(0).get_to(Value.Name);
  From.at(1).get_to(Value.Address);
  From.at(2).get_to(Value.Zone);
  From.at(3).get_to(Value.CpuShare);
}

static void to_json(json &To, const ShardLoad &Value) {
  To = json::array({Value.Workers, Value.FreeShare, Value.Wait.count(),
                    Value.LongestWait.count()});
}
static void from_json(const json &From, ShardLoad &Value) {
  From.at(0).get_to(Value.Workers);
  From.at(1).get_to(Value.FreeShare);
  Value.Wait = Duration(From.at(2).get<Duration::rep>());
  Value.LongestWait = Duration(From.at(3).get<Duration::rep>());
}

static void to_json(json &To, const TransferRecord &Value) {
  To = json::array({Value.From, Value.To, Value.Number, Value.Token});
}
static void from_json(const json &From, TransferRecord &Value) {
  From.at(0).get_to(Value.From);
  From.at(1).get_to(Value.To);
  From.at(2).get_to(Value.Number);
  From.at(3).get_to(Value.Token);
}

static void to_json(json &To, const ShardTime &Value) {
  To = json::array({Value.Epoch, Value.Ms});
}
static void from_json(const json &From, ShardTime &Value) {
  From.at(0).get_to(Value.Epoch);
  From.at(1).get_to(Value.Ms);
}

/// Factor of the integers as which shares are stored.
constexpr double StoredShareUnit = 1'000'000;

static void to_json(json &To, const StoredUsage &Value) {
  json Shares = json::object();
  for (const auto &[Account, Share] : Value.Shares)
    Shares[Account] = std::llround(Share * StoredShareUnit);
  To = {{"time", Value.Time}, {"accounts", std::move(Shares)}};
}
static void from_json(const json &From, StoredUsage &Value) {
  From.at("time").get_to(Value.Time);
  for (const auto &[Account, Share] : From.at("accounts").items()) {
    Value.Shares[Account] = double(Share.get<std::int64_t>()) / StoredShareUnit;
    if (Value.Shares[Account] < 0 || Value.Shares[Account] > 1)
      throw std::invalid_argument("a share beyond the cell");
  }
}

static void to_json(json &To, const LeaderRecord &Value) {
  To = {{"term", Value.Term},
        {"sequence", Value.Sequence},
        {"process", Value.Process},
        {"instance", Value.Instance}};
  put(To, "successor", Value.Successor);
  put(To, "largest", Value.LargestCpuShare);
  put(To, "members", Value.Members);
  put(To, "load", Value.Load);
  put(To, "time", Value.Time);
}
static void from_json(const json &From, LeaderRecord &Value) {
  From.at("term").get_to(Value.Term);
  From.at("sequence").get_to(Value.Sequence);
  From.at("process").get_to(Value.Process);
  From.at("instance").get_to(Value.Instance);
  take(From, "successor", Value.Successor);
  take(From, "largest", Value.LargestCpuShare);
  take(From, "members", Value.Members);
  take(From, "load", Value.Load);
  take(From, "time", Value.Time);
}

static void to_json(json &To, const UnconfirmedStart &Value) {
  To = json::array({Value.Task, Value.Run, Value.SentMs});
}
static void from_json(const json &From, UnconfirmedStart &Value) {
  From.at(0).get_to(Value.Task);
  From.at(1).get_to(Value.Run);
  From.at(2).get_to(Value.SentMs);
}

static void to_json(json &To, const RosterEntry &Value) {
  // Earlier versions ignore an end of epoch 0, and what follows it.
  To = json::array({Value.Incarnation, Value.Address, Value.Zone,
                    Value.LeaseEnd.value_or(ShardTime{})});
  if (Value.FormerLeaseEnd || Value.UnconfirmedStarts)
    To.push_back(Value.FormerLeaseEnd.value_or(ShardTime{}));
  if (Value.UnconfirmedStarts)
    To.push_back(*Value.UnconfirmedStarts);
}
static void from_json(const json &From, RosterEntry &Value) {
  From.at(0).get_to(Value.Incarnation);
  From.at(1).get_to(Value.Address);
  From.at(2).get_to(Value.Zone);
  if (From.size() > 3)
    Value.LeaseEnd = From.at(3).get<ShardTime>();
  if (Value.LeaseEnd == ShardTime{})
    Value.LeaseEnd.reset();
  if (From.size() > 4)
    Value.FormerLeaseEnd = From.at(4).get<ShardTime>();
  if (From.size() > 5)
    Value.UnconfirmedStarts = From.at(5).get<std::vector<UnconfirmedStart>>();
}

/// Encodes ascending numbers as the first and the last of each range.
static json encodeRanges(const std::vector<int> &Numbers) {
  std::vector<std::pair<int, int>> Ranges;
  for (const int Number : Numbers) {
    if (!Ranges.empty() && Ranges.back().second + 1 == Number)
      Ranges.back().second = Number;
    else
      Ranges.emplace_back(Number, Number);
  }
  return Ranges;
}
static std::vector<int> decodeRanges(const json &From) {
  std::vector<int> Numbers;
  for (const auto &[First, Last] :
       From.get<std::vector<std::pair<int, int>>>()) {
    const int Previous = Numbers.empty() ? -1 : Numbers.back();
    if (First <= Previous || Last < First || Last >= jobs::MaxTasksPerJob)
      throw std::invalid_argument("ranges of tasks that no job has");
    for (int Number = First; Number <= Last; ++Number)
      Numbers.push_back(Number);
  }
  return Numbers;
}

static void to_json(json &To, const ProgressPart &Value) {
  json Steps = json::array();
  for (const jobs::StepProgress &Step : Value.Steps) {
    jobs::StepProgress Rest = Step;
    Rest.Done.clear();
    json Entry = Rest;
    if (!Step.Done.empty())
      Entry["done_ranges"] = encodeRanges(Step.Done);
    Steps.push_back(std::move(Entry));
  }
  To = {{"first_step", Value.FirstStep}, {"steps", std::move(Steps)}};
}
static void from_json(const json &From, ProgressPart &Value) {
  From.at("first_step").get_to(Value.FirstStep);
  if (Value.FirstStep < 0 || Value.FirstStep >= jobs::MaxTasksPerJob)
    throw std::invalid_argument("a step that no job has");
  for (const json &Entry : From.at("steps")) {
    Value.Steps.push_back(Entry.get<jobs::StepProgress>());
    if (Entry.contains("done_ranges"))
      Value.Steps.back().Done = decodeRanges(Entry.at("done_ranges"));
  }
}

static void to_json(json &To, const Submission &Value) {
  To = json::array({Value.Tag, Value.Job});
}
static void from_json(const json &From, Submission &Value) {
  From.at(0).get_to(Value.Tag);
  From.at(1).get_to(Value.Job);
}

static void to_json(json &To, const SubmitAnswer &Value) {
  To = json::array({Value.Tag, int(Value.Result), Value.RetryAfterMs});
}
static void from_json(const json &From, SubmitAnswer &Value) {
  From.at(0).get_to(Value.Tag);
  Value.Result = SubmitResult(From.at(1).get<int>());
  From.at(2).get_to(Value.RetryAfterMs);
}

static void to_json(json &To, const Query &Value) {
  To = json::array({Value.Tag, int(Value.Kind), Value.Subject});
}
static void from_json(const json &From, Query &Value) {
  From.at(0).get_to(Value.Tag);
  Value.Kind = QueryKind(From.at(1).get<int>());
  From.at(2).get_to(Value.Subject);
}

static void to_json(json &To, const QueryAnswer &Value) {
  To = json::array({Value.Tag, int(Value.View), Value.Count, Value.Refused});
}
static void from_json(const json &From, QueryAnswer &Value) {
  From.at(0).get_to(Value.Tag);
  Value.View = jobs::JobView(From.at(1).get<int>());
  From.at(2).get_to(Value.Count);
  // Instances of earlier versions do not send it.
  Value.Refused = From.size() > 3 && From.at(3).get<bool>();
}

static void to_json(json &To, const WorkerReport &Value) {
  To = json::object();
  To["event"] = int(Value.Event);
  To["worker"] = Value.Incarnation;
  To["token"] = Value.Token;
  putList(To, "running", Value.Running);
  putList(To, "ended", Value.Ended);
  put(To, "refused", Value.ProcessAbsent);
  put(To, "answer_age", Value.AnswerAgeMs, std::int64_t(-1));
  putEnum(To, "basis", Value.Basis);
  put(To, "grant_age", Value.GrantAgeMs, std::int64_t(-1));
  put(To, "other_start", Value.AnsweredStartUnixMs);
  put(To, "lease", Value.RemainingLeaseMs);
  if (Value.UnconfirmedStarts)
    To["starts"] = *Value.UnconfirmedStarts;
}
static void from_json(const json &From, WorkerReport &Value) {
  takeEnum(From, "event", Value.Event);
  From.at("worker").get_to(Value.Incarnation);
  From.at("token").get_to(Value.Token);
  take(From, "running", Value.Running);
  take(From, "ended", Value.Ended);
  take(From, "refused", Value.ProcessAbsent);
  take(From, "answer_age", Value.AnswerAgeMs);
  takeEnum(From, "basis", Value.Basis);
  take(From, "grant_age", Value.GrantAgeMs);
  take(From, "other_start", Value.AnsweredStartUnixMs);
  take(From, "lease", Value.RemainingLeaseMs);
  if (From.contains("starts"))
    Value.UnconfirmedStarts =
        From.at("starts").get<std::vector<UnconfirmedStart>>();
}

static void to_json(json &To, const ConfirmedStart &Value) {
  To = json::array({Value.Incarnation, Value.Task, Value.Run});
}
static void from_json(const json &From, ConfirmedStart &Value) {
  From.at(0).get_to(Value.Incarnation);
  From.at(1).get_to(Value.Task);
  From.at(2).get_to(Value.Run);
}

static void to_json(json &To, const RefusedStart &Value) {
  To = json::array(
      {Value.Incarnation, Value.Task, Value.Run, int(Value.Reason)});
}
static void from_json(const json &From, RefusedStart &Value) {
  From.at(0).get_to(Value.Incarnation);
  From.at(1).get_to(Value.Task);
  From.at(2).get_to(Value.Run);
  Value.Reason = jobs::StartRefusal(From.at(3).get<int>());
}

static void to_json(json &To, const AdviceAnswer &Value) {
  To = json::array({Value.Step, Value.RequestedWorkers, Value.Answered,
                    Value.Approved, Value.CallMs});
}
static void from_json(const json &From, AdviceAnswer &Value) {
  From.at(0).get_to(Value.Step);
  From.at(1).get_to(Value.RequestedWorkers);
  From.at(2).get_to(Value.Answered);
  From.at(3).get_to(Value.Approved);
  if (From.size() > 4)
    From.at(4).get_to(Value.CallMs);
}

static void to_json(json &To, const MemberMessage &Value) {
  To = json::object();
  putList(To, "workers", Value.Workers);
  putList(To, "refused", Value.Refused);
  putList(To, "confirmed", Value.Confirmed);
  putList(To, "advice", Value.Advice);
  put(To, "leaving", Value.Leaving);
  put(To, "leads", Value.OtherShardsLed);
  put(To, "freezes", Value.FreezesLeases);
  put(To, "store_age", Value.StoreResponseAgeMs, std::int64_t(-1));
}
static void from_json(const json &From, MemberMessage &Value) {
  take(From, "workers", Value.Workers);
  take(From, "refused", Value.Refused);
  take(From, "confirmed", Value.Confirmed);
  take(From, "advice", Value.Advice);
  take(From, "leaving", Value.Leaving);
  take(From, "leads", Value.OtherShardsLed);
  take(From, "freezes", Value.FreezesLeases);
  take(From, "store_age", Value.StoreResponseAgeMs);
}

static void to_json(json &To, const Assignment &Value) {
  To = json::array(
      {Value.Incarnation, Value.Address, Value.Token, Value.AssumedLeaseMs});
  if (Value.LeaseFrozen)
    To.insert(To.end(), {*Value.LeaseFrozen, Value.FirstContact});
  if (Value.LeaseFrozen && !Value.UnconfirmedStarts.empty())
    To.push_back(Value.UnconfirmedStarts);
}
static void from_json(const json &From, Assignment &Value) {
  From.at(0).get_to(Value.Incarnation);
  From.at(1).get_to(Value.Address);
  From.at(2).get_to(Value.Token);
  From.at(3).get_to(Value.AssumedLeaseMs);
  Value.LeaseFrozen.reset();
  Value.FirstContact = true; // Leaders of earlier versions do not tell.
  if (From.size() > 4)
    Value.LeaseFrozen = From.at(4).get<bool>();
  if (From.size() > 5)
    From.at(5).get_to(Value.FirstContact);
  if (From.size() > 6)
    From.at(6).get_to(Value.UnconfirmedStarts);
}

static void to_json(json &To, const LeaseRelease &Value) {
  To = json::array({Value.Incarnation, Value.Token});
}
static void from_json(const json &From, LeaseRelease &Value) {
  From.at(0).get_to(Value.Incarnation);
  From.at(1).get_to(Value.Token);
}

static void to_json(json &To, const EndedRunsAck &Value) {
  To = json::array({Value.Incarnation, Value.UpTo});
}
static void from_json(const json &From, EndedRunsAck &Value) {
  From.at(0).get_to(Value.Incarnation);
  From.at(1).get_to(Value.UpTo);
}

static void to_json(json &To, const LeaderMessage &Value) {
  To = json::object();
  putList(To, "assigned", Value.Assigned);
  putList(To, "dismissed", Value.Revoked); // Sent under its older name.
  putList(To, "starts", Value.Starts);
  putList(To, "stops", Value.Stops);
  putList(To, "acks", Value.Acks);
  putList(To, "released", Value.Released);
  putList(To, "advice", Value.Advice);
  putList(To, "contacts", Value.Contacts);
}
static void from_json(const json &From, LeaderMessage &Value) {
  take(From, "assigned", Value.Assigned);
  take(From, "dismissed", Value.Revoked);
  take(From, "starts", Value.Starts);
  take(From, "stops", Value.Stops);
  take(From, "acks", Value.Acks);
  take(From, "released", Value.Released);
  take(From, "advice", Value.Advice);
  take(From, "contacts", Value.Contacts);
}

static void to_json(json &To, const Envelope &Value) {
  To = {{"session", Value.Session},
        {"sequence", Value.Sequence},
        {"term", Value.Term},
        {"from_leader", Value.FromLeader},
        {"from", Value.From}};
  put(To, "shard", Value.Shard);
  put(To, "guest", Value.Guest);
  put(To, "policy", Value.PolicyVersion);
  if (Value.ToLeader)
    To["to_leader"] = *Value.ToLeader;
  if (Value.ToMember)
    To["to_member"] = *Value.ToMember;
}
static void from_json(const json &From, Envelope &Value) {
  From.at("session").get_to(Value.Session);
  From.at("sequence").get_to(Value.Sequence);
  From.at("term").get_to(Value.Term);
  From.at("from_leader").get_to(Value.FromLeader);
  From.at("from").get_to(Value.From);
  take(From, "shard", Value.Shard);
  take(From, "guest", Value.Guest);
  take(From, "policy", Value.PolicyVersion);
  if (From.contains("to_leader"))
    Value.ToLeader = From.at("to_leader").get<MemberMessage>();
  if (From.contains("to_member"))
    Value.ToMember = From.at("to_member").get<LeaderMessage>();
}

static void to_json(json &To, const EnvelopeReply &Value) {
  To = {{"accepted", Value.Accepted}, {"resigned", Value.Resigned}};
  put(To, "full", Value.Full);
  put(To, "largest", Value.LargestCpuShare);
}
static void from_json(const json &From, EnvelopeReply &Value) {
  From.at("accepted").get_to(Value.Accepted);
  take(From, "resigned", Value.Resigned);
  take(From, "full", Value.Full);
  take(From, "largest", Value.LargestCpuShare);
}

static void to_json(json &To, const CallBatch &Value) {
  To = {{"term", Value.Term}, {"process", Value.Process}};
  put(To, "shard", Value.Shard);
  put(To, "policy", Value.PolicyVersion);
  putList(To, "submissions", Value.Submissions);
  putList(To, "queries", Value.Queries);
}
static void from_json(const json &From, CallBatch &Value) {
  From.at("term").get_to(Value.Term);
  From.at("process").get_to(Value.Process);
  take(From, "shard", Value.Shard);
  take(From, "policy", Value.PolicyVersion);
  take(From, "submissions", Value.Submissions);
  take(From, "queries", Value.Queries);
}

static void to_json(json &To, const CallBatchReply &Value) {
  To = {{"outcome", int(Value.Outcome)}};
  putList(To, "submitted", Value.Submitted);
  putList(To, "answers", Value.Answers);
}
static void from_json(const json &From, CallBatchReply &Value) {
  takeEnum(From, "outcome", Value.Outcome);
  take(From, "submitted", Value.Submitted);
  take(From, "answers", Value.Answers);
}

static void to_json(json &To, const LeaderQuery &Value) {
  To = {{"leader_of", Value.Shard}};
}
static void from_json(const json &From, LeaderQuery &Value) {
  From.at("leader_of").get_to(Value.Shard);
}

static void to_json(json &To, const LeaderAnswer &Value) {
  To = json::object();
  if (Value.Leader)
    To["leader"] = *Value.Leader;
}
static void from_json(const json &From, LeaderAnswer &Value) {
  if (From.contains("leader"))
    Value.Leader = From.at("leader").get<LeaderRecord>();
}

static void to_json(json &To, const ShardLayout &Value) {
  To = {{"shares", Value.shares()}, {"accounts", Value.accounts()}};
}
static void from_json(const json &From, ShardLayout &Value) {
  auto Shares = From.at("shares").get<std::vector<double>>();
  auto Accounts = From.at("accounts").get<std::map<std::string, int>>();
  if (Shares.empty())
    throw std::invalid_argument("a layout without shards");
  for (const auto &[Name, Shard] : Accounts)
    if (Shard < 0 || std::size_t(Shard) >= Shares.size())
      throw std::invalid_argument("an account of an unknown shard");
  Value = ShardLayout(std::move(Shares), std::move(Accounts));
}

static void to_json(json &To, const RowChange &Value) {
  To = json::array({Value.Table, Value.Key});
  if (!Value.Value)
    return;
  if (Value.Value->size() > MaxQuotedBytes) {
    json Parsed = json::parse(*Value.Value, nullptr, false);
    if (Parsed.is_structured() && Parsed.dump() == *Value.Value) {
      To.push_back(std::move(Parsed));
      return;
    }
  }
  To.push_back(*Value.Value);
}
static void from_json(const json &From, RowChange &Value) {
  From.at(0).get_to(Value.Table);
  From.at(1).get_to(Value.Key);
  if (From.size() > 2)
    Value.Value = From.at(2).is_string() ? From.at(2).get<std::string>()
                                         : From.at(2).dump();
}
// NOLINTEND(readability-identifier-naming)

std::string encode(const LeaderRecord &Value) { return toText(Value); }
std::string encode(const jobs::JobSpec &Value) { return toText(Value); }
std::string encode(const jobs::JobProgress &Value) { return toText(Value); }
std::string encode(const ProgressPart &Value) { return toText(Value); }
std::string encode(const jobs::ClusterPolicy &Value) { return toText(Value); }
std::string encode(const std::vector<RosterEntry> &Value) {
  return toText(Value);
}
std::string encode(const Envelope &Value) { return toText(Value); }
std::string encode(const EnvelopeReply &Value) { return toText(Value); }
std::string encode(const CallBatch &Value) { return toText(Value); }
std::string encode(const CallBatchReply &Value) { return toText(Value); }
std::string encode(const LeaderQuery &Value) { return toText(Value); }
std::string encode(const LeaderAnswer &Value) { return toText(Value); }
std::string encode(const ShardLayout &Value) { return toText(Value); }
std::string encode(const TransferRecord &Value) { return toText(Value); }
std::string encode(const StoredUsage &Value) { return toText(Value); }
std::string encode(const std::vector<RowChange> &Value) {
  return toText(Value);
}

std::optional<LeaderRecord> decodeLeaderRecord(const std::string &Text) {
  return fromText<LeaderRecord>(Text);
}
std::optional<jobs::JobSpec> decodeJobSpec(const std::string &Text) {
  return fromText<jobs::JobSpec>(Text);
}
std::optional<jobs::JobProgress> decodeProgress(const std::string &Text) {
  return fromText<jobs::JobProgress>(Text);
}
std::optional<ProgressPart> decodeProgressPart(const std::string &Text) {
  return fromText<ProgressPart>(Text);
}
std::optional<jobs::ClusterPolicy> decodeSettings(const std::string &Text) {
  return fromText<jobs::ClusterPolicy>(Text);
}
std::optional<std::vector<RosterEntry>> decodeRoster(const std::string &Text) {
  return fromText<std::vector<RosterEntry>>(Text);
}
std::optional<EnvelopeReply> decodeEnvelopeReply(const std::string &Text) {
  return fromText<EnvelopeReply>(Text);
}
std::optional<CallBatchReply> decodeCallBatchReply(const std::string &Text) {
  return fromText<CallBatchReply>(Text);
}
std::optional<LeaderAnswer> decodeLeaderAnswer(const std::string &Text) {
  return fromText<LeaderAnswer>(Text);
}
std::optional<ShardLayout> decodeShardLayout(const std::string &Text) {
  return fromText<ShardLayout>(Text);
}
std::optional<StoredUsage> decodeUsage(const std::string &Text) {
  return fromText<StoredUsage>(Text);
}
std::optional<TransferRecord> decodeTransfer(const std::string &Text) {
  return fromText<TransferRecord>(Text);
}
std::optional<std::vector<RowChange>>
decodeRowChanges(const std::string &Text) {
  return fromText<std::vector<RowChange>>(Text);
}

std::optional<std::variant<Envelope, CallBatch, LeaderQuery>>
decodePeerMessage(const std::string &Text) {
  using Message = std::variant<Envelope, CallBatch, LeaderQuery>;
  return decodeOr<Message>([&Text]() -> Message {
    const json Parsed = parseBoundedJson(Text, MaxMessageValues);
    if (Parsed.contains("session"))
      return Parsed.get<Envelope>();
    if (Parsed.contains("leader_of"))
      return Parsed.get<LeaderQuery>();
    return Parsed.get<CallBatch>();
  });
}

} // namespace cell

} // namespace apricotwing
