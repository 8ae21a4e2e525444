#include "standins/counts.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace apricotwing::standins {

namespace {

/// Longer bodies are counted under a prefix of this length and their size.
constexpr std::size_t MaxBodyKeyBytes = 200;

std::string bodyKey(const std::string &Body) {
  if (Body.size() <= MaxBodyKeyBytes)
    return Body;
  return Body.substr(0, MaxBodyKeyBytes) + "#" + std::to_string(Body.size());
}

std::uint64_t
countRepeated(const std::map<std::string, std::uint64_t> &CountsByKey) {
  return std::uint64_t(
      std::count_if(CountsByKey.begin(), CountsByKey.end(),
                    [](const auto &Entry) { return Entry.second > 1; }));
}

} // namespace

void Counts::requestExecuted(const std::string &RequestId,
                             const std::string &Body, std::uint32_t BusySlots) {
  const std::lock_guard Lock(Mutex);
  ++Requests[RequestId];
  ++Bodies[bodyKey(Body)];
  MaxBusySlots = std::max(MaxBusySlots, BusySlots);
  PeakRequests = std::max(PeakRequests, ++RunningRequests);
}

void Counts::requestEnded() {
  const std::lock_guard Lock(Mutex);
  --RunningRequests;
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
  addRunning(Id);
}

void Counts::attemptPaused(const AttemptId &Id) {
  const std::lock_guard Lock(Mutex);
  removeRunning(Id);
}

void Counts::attemptResumed(const AttemptId &Id) {
  const std::lock_guard Lock(Mutex);
  addRunning(Id);
}

void Counts::attemptEnded(const AttemptId &Id, TaskState State) {
  const std::lock_guard Lock(Mutex);
  ++EndedByState[std::string(taskStateName(State))];
  removeRunning(Id);
}

void Counts::addRunning(const AttemptId &Id) {
  auto &TaskAttempts = RunningByTask[Id.Task];
  if (!TaskAttempts.empty())
    ++Overlaps;
  ++TaskAttempts[Id.Attempt];
  PeakAttempts = std::max(PeakAttempts, ++RunningAttempts);
}

void Counts::removeRunning(const AttemptId &Id) {
  const auto Task = RunningByTask.find(Id.Task);
  if (Task == RunningByTask.end())
    return;
  const auto Attempt = Task->second.find(Id.Attempt);
  if (Attempt == Task->second.end())
    return;
  --RunningAttempts;
  if (--Attempt->second == 0)
    Task->second.erase(Attempt);
  if (Task->second.empty())
    RunningByTask.erase(Task);
}

void Counts::capacityRefused() {
  const std::lock_guard Lock(Mutex);
  ++CapacityRefusals;
}

void Counts::workerUtilization(double Fraction) {
  const std::lock_guard Lock(Mutex);
  MaxUtilization = std::max(MaxUtilization, Fraction);
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

void Counts::resetPeaks() {
  const std::lock_guard Lock(Mutex);
  PeakRequests = RunningRequests;
  PeakAttempts = RunningAttempts;
}

std::string Counts::toJson() const {
  const std::lock_guard Lock(Mutex);
  const nlohmann::json Result = {{"requests", Requests},
                                 {"bodies", Bodies},
                                 {"attempts", Attempts},
                                 {"repeated_requests", countRepeated(Requests)},
                                 {"repeated_attempts", countRepeated(Attempts)},
                                 {"overlaps", Overlaps},
                                 {"running_tasks", RunningByTask.size()},
                                 {"ended", EndedByState},
                                 // "worst" is the outer name of the maxima.
                                 {"worst_slots", MaxBusySlots},
                                 {"worst_fill", MaxUtilization},
                                 {"live_requests", RunningRequests},
                                 {"peak_requests", PeakRequests},
                                 {"live_attempts", RunningAttempts},
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
