#include "core/timerservice.h"

#include <utility>
#include <vector>

namespace apricotwing {

TimerId TimerService::every(Duration Period, TimePoint First, Callback Fire) {
  return add({std::move(Fire), Period, First});
}

TimerId TimerService::at(TimePoint Deadline, Callback Fire) {
  return add({std::move(Fire), Duration(0), Deadline});
}

TimerId TimerService::add(Timer Added) {
  const TimerId Id = ++LastId;
  ByTime.insert({Added.Due, Id});
  Timers.emplace(Id, std::move(Added));
  return Id;
}

void TimerService::cancel(TimerId Id) {
  const auto Found = Timers.find(Id);
  if (Found == Timers.end())
    return;
  ByTime.erase({Found->second.Due, Id});
  Timers.erase(Found);
}

std::size_t TimerService::advance(TimePoint Now) {
  std::vector<TimerId> Due;
  for (const auto &[At, Id] : ByTime) {
    if (At > Now)
      break;
    Due.push_back(Id);
  }
  std::size_t Fired = 0;
  for (const TimerId Id : Due) {
    const auto Found = Timers.find(Id);
    if (Found == Timers.end())
      continue; // Cancelled by an earlier callback.
    // Copied, because the callback may cancel, and thereby destroy, this timer.
    const Callback Fire = Found->second.Fire;
    reschedule(Id, Now);
    Fire(Now);
    ++Fired;
  }
  return Fired;
}

void TimerService::reschedule(TimerId Id, TimePoint Now) {
  Timer &Rescheduled = Timers.at(Id);
  if (Rescheduled.Period <= Duration::zero()) {
    cancel(Id);
    return;
  }
  ByTime.erase({Rescheduled.Due, Id});
  const auto Missed = (Now - Rescheduled.Due) / Rescheduled.Period;
  Rescheduled.Due += Rescheduled.Period * (Missed + 1);
  ByTime.insert({Rescheduled.Due, Id});
}

std::optional<TimePoint> TimerService::nextDeadline() const {
  if (ByTime.empty())
    return std::nullopt;
  return ByTime.begin()->first;
}

} // namespace apricotwing
