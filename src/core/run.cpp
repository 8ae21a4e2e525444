#include "core/run.h"

#include "core/nametable.h"

#include <charconv>

namespace apricotwing {

namespace {

constexpr NameTable<RunKind, 3> RunKindNames = {{
    {RunKind::Batch, "batch"},
    {RunKind::Gang, "gang"},
    {RunKind::Service, "service"},
}};

constexpr NameTable<Priority, 2> PriorityNames = {{
    {Priority::Normal, "normal"},
    {Priority::Urgent, "urgent"},
}};

constexpr NameTable<LostPolicy, 2> LostPolicyNames = {{
    {LostPolicy::Restart, "restart"},
    {LostPolicy::Fail, "fail"},
}};

constexpr NameTable<RunState, 7> RunStateNames = {{
    {RunState::Accepted, "accepted"},
    {RunState::Pending, "pending"},
    {RunState::Running, "running"},
    {RunState::Succeeded, "succeeded"},
    {RunState::Failed, "failed"},
    {RunState::Cancelled, "cancelled"},
    {RunState::Unschedulable, "unschedulable"},
}};

constexpr NameTable<TaskState, 8> TaskStateNames = {{
    {TaskState::Pending, "pending"},
    {TaskState::Starting, "starting"},
    {TaskState::Running, "running"},
    {TaskState::Stopping, "stopping"},
    {TaskState::Succeeded, "succeeded"},
    {TaskState::Failed, "failed"},
    {TaskState::Cancelled, "cancelled"},
    {TaskState::Lost, "lost"},
}};

void checkRange(std::string_view Field, std::int64_t Value, std::int64_t Min,
                std::int64_t Max) {
  if (Value >= Min && Value <= Max)
    return;
  throw Error(ErrorKind::BadRequest,
              std::string(Field) + " is " + std::to_string(Value),
              "use a value from " + std::to_string(Min) + " to " +
                  std::to_string(Max));
}

} // namespace

std::string_view runKindName(RunKind Value) {
  return enumName(RunKindNames, Value);
}

RunKind parseRunKind(std::string_view Name) {
  return parseEnum(RunKindNames, "kind", Name);
}

std::string_view priorityName(Priority Value) {
  return enumName(PriorityNames, Value);
}

Priority parsePriority(std::string_view Name) {
  return parseEnum(PriorityNames, "priority", Name);
}

std::string_view lostPolicyName(LostPolicy Value) {
  return enumName(LostPolicyNames, Value);
}

LostPolicy parseLostPolicy(std::string_view Name) {
  return parseEnum(LostPolicyNames, "on_lost", Name);
}

std::string_view runStateName(RunState Value) {
  return enumName(RunStateNames, Value);
}

RunState parseRunState(std::string_view Name) {
  return parseEnum(RunStateNames, "state", Name);
}

std::string_view taskStateName(TaskState Value) {
  return enumName(TaskStateNames, Value);
}

TaskState parseTaskState(std::string_view Name) {
  return parseEnum(TaskStateNames, "state", Name);
}

bool isFinal(RunState State) {
  return State == RunState::Succeeded || State == RunState::Failed ||
         State == RunState::Cancelled;
}

bool isFinal(TaskState State) {
  return State == TaskState::Succeeded || State == TaskState::Failed ||
         State == TaskState::Cancelled;
}

void validate(const RunSpec &Spec) {
  checkRange("tasks", Spec.Tasks, 1, MaxTasksPerRun);
  checkRange("cpu_millis", Spec.PerTask.CpuMillis, 0, MaxCpuMillisPerTask);
  checkRange("memory_mib", Spec.PerTask.MemoryMib, 0, MaxMemoryMibPerTask);
  checkRange("accelerators", Spec.PerTask.Accelerators, 0,
             MaxAcceleratorsPerTask);
  checkRange("estimate_seconds", Spec.EstimateSeconds, 1, MaxEstimateSeconds);
  checkRange("max_attempts", Spec.MaxAttempts, 1, 100);
  checkRange("length of idempotency_key",
             std::int64_t(Spec.IdempotencyKey.size()), 1, 128);
  if (Spec.PerTask == Resources{})
    throw Error(ErrorKind::BadRequest, "resources are all zero",
                "ask for at least one of cpu_millis, memory_mib, accelerators");
}

std::string toString(const TaskId &Id) {
  return Id.Run + "/" + std::to_string(Id.Index);
}

std::string toString(const AttemptId &Id) {
  return toString(Id.Task) + "#" + std::to_string(Id.Attempt);
}

TaskId parseTaskId(std::string_view Text) {
  const std::size_t Slash = Text.rfind('/');
  TaskId Id;
  if (Slash != std::string_view::npos) {
    Id.Run = std::string(Text.substr(0, Slash));
    const char *End = Text.data() + Text.size();
    const auto [Rest, Failure] =
        std::from_chars(Text.data() + Slash + 1, End, Id.Index);
    if (Failure == std::errc() && Rest == End && !Id.Run.empty())
      return Id;
  }
  throw Error(ErrorKind::BadRequest,
              "'" + std::string(Text) + "' is not a task id",
              "write a task id as <run>/<index>");
}

} // namespace apricotwing
