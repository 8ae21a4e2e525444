#include "standins/counts.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace apricotwing::standins {

namespace {

/// Longer bodies are counted under their beginning and size.
constexpr std::size_t MaxBodyKey = 200;

std::string bodyKey(const std::string &Body) {
  if (Body.size() <= MaxBodyKey)
    return Body;
  return Body.substr(0, MaxBodyKey) + "#" + std::to_string(Body.size());
}

std::uint64_t repeated(const std::map<std::string, std::uint64_t> &Table) {
  return std::uint64_t(
      std::count_if(Table.begin(), Table.end(),
                    [](const auto &Entry) { return Entry.second > 1; }));
}

} // namespace

void Counts::requestExecuted(const std::string &RequestId,
                             const std::string &Body, std::uint32_t Busy) {
  const std::lock_guard Lock(Mutex);
  ++Requests[RequestId];
  ++Bodies[bodyKey(Body)];
  WorstSlots = std::max(WorstSlots, Busy);
  PeakRequests = std::max(PeakRequests, ++LiveRequests);
}

void Counts::requestEnded() {
  const std::lock_guard Lock(Mutex);
  --LiveRequests;
}

void Counts::slotRefused() {
  const std::lock_guard Lock(Mutex);
  ++SlotRefusals;
}

void Counts::leavingRefused() {
  const std::lock_guard Lock(Mutex);
  ++LeavingRefusals;
}

void Counts::attemptStarted(const AttemptId &Id) {
  const std::lock_guard Lock(Mutex);
  ++Attempts[toString(Id)];
  enter(Id);
}

void Counts::attemptFrozen(const AttemptId &Id) {
  const std::lock_guard Lock(Mutex);
  leave(Id);
}

void Counts::attemptThawed(const AttemptId &Id) {
  const std::lock_guard Lock(Mutex);
  enter(Id);
}

void Counts::attemptEnded(const AttemptId &Id, TaskState State) {
  const std::lock_guard Lock(Mutex);
  ++Ended[std::string(taskStateName(State))];
  leave(Id);
}

void Counts::enter(const AttemptId &Id) {
  auto &Live = Running[Id.Task];
  if (!Live.empty())
    ++Overlaps;
  ++Live[Id.Attempt];
  PeakAttempts = std::max(PeakAttempts, ++LiveAttempts);
}

void Counts::leave(const AttemptId &Id) {
  const auto Task = Running.find(Id.Task);
  if (Task == Running.end())
    return;
  const auto Live = Task->second.find(Id.Attempt);
  if (Live == Task->second.end())
    return;
  --LiveAttempts;
  if (--Live->second == 0)
    Task->second.erase(Live);
  if (Task->second.empty())
    Running.erase(Task);
}

void Counts::capacityRefused() {
  const std::lock_guard Lock(Mutex);
  ++CapacityRefusals;
}

void Counts::workerFilled(double Fraction) {
  const std::lock_guard Lock(Mutex);
  WorstFill = std::max(WorstFill, Fraction);
}

void Counts::tableRead() {
  const std::lock_guard Lock(Mutex);
  ++Reads;
}

void Counts::tableScanned() {
  const std::lock_guard Lock(Mutex);
  ++Scans;
}

void Counts::tableTransaction(bool Committed) {
  const std::lock_guard Lock(Mutex);
  ++(Committed ? Commits : Conflicts);
}

void Counts::forgetPeaks() {
  const std::lock_guard Lock(Mutex);
  PeakRequests = LiveRequests;
  PeakAttempts = LiveAttempts;
}

std::string Counts::toJson() const {
  const std::lock_guard Lock(Mutex);
  const nlohmann::json Result = {{"requests", Requests},
                                 {"bodies", Bodies},
                                 {"attempts", Attempts},
                                 {"repeated_requests", repeated(Requests)},
                                 {"repeated_attempts", repeated(Attempts)},
                                 {"overlaps", Overlaps},
                                 {"running_tasks", Running.size()},
                                 {"ended", Ended},
                                 {"worst_slots", WorstSlots},
                                 {"worst_fill", WorstFill},
                                 {"live_requests", LiveRequests},
                                 {"peak_requests", PeakRequests},
                                 {"live_attempts", LiveAttempts},
                                 {"peak_attempts", PeakAttempts},
                                 {"slot_refusals", SlotRefusals},
                                 {"leaving_refusals", LeavingRefusals},
                                 {"capacity_refusals", CapacityRefusals},
                                 {"table",
                                  {{"reads", Reads},
                                   {"scans", Scans},
                                   {"commits", Commits},
                                   {"conflicts", Conflicts}}}};
  return Result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace apricotwing::standins
