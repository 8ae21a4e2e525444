#include "core/runintake.h"

#include <utility>

namespace apricotwing {

bool RunIntake::hasRoomFor(const RunRecord &Run) const {
  return Data.State.memory().admits(Run.Team, runBytes(Run));
}

void RunIntake::admit(const RunRecord &Run) {
  if (!AdmissionIds.insert(Run.Id).second)
    return;
  Data.State.memory().add(Run.Team, runBytes(Run));
  Admissions.push_back(Run);
}

void RunIntake::cancel(const RunId &Run) {
  if (CancellationIds.insert(Run).second)
    Cancellations.push_back(Run);
}

void RunIntake::discardCancellation(const RunId &Run) {
  EarlyCancels.erase(Run);
  Data.PendingDecisions.HandledCancellations.push_back(Run);
}

bool RunIntake::knows(const RunId &Run) const {
  return AdmissionIds.contains(Run) || Data.State.find(Run) != nullptr ||
         Lifecycle.wasRetired(Run);
}

void RunIntake::processAdmissions(TimePoint Now) {
  for (std::uint32_t Left = Data.Options.MaxAdmissionsPerTick;
       Left > 0 && !Admissions.empty(); --Left) {
    const RunRecord Record = std::move(Admissions.front());
    Admissions.pop_front();
    AdmissionIds.erase(Record.Id);
    Data.State.memory().remove(Record.Team, runBytes(Record));
    Data.PendingDecisions.HandledAdmissions.push_back(Record.Id);
    if (Data.State.find(Record.Id) || Lifecycle.wasRetired(Record.Id) ||
        isFinal(Record.State))
      continue;
    Lifecycle.admit(Record, Now);
    if (EarlyCancels.erase(Record.Id) > 0)
      Lifecycle.cancel(*Data.State.find(Record.Id), Now);
  }
}

bool RunIntake::processCancellation(const RunId &Id, TimePoint Now) {
  if (RunEntry *Run = Data.State.find(Id)) {
    Lifecycle.cancel(*Run, Now);
    return true;
  }
  if (Lifecycle.wasRetired(Id))
    return true;
  EarlyCancels.insert(Id);
  return false;
}

void RunIntake::processCancellations(TimePoint Now) {
  for (std::uint32_t Left = Data.Options.MaxCancellationsPerTick;
       Left > 0 && !Cancellations.empty(); --Left) {
    const RunId Id = std::move(Cancellations.front());
    Cancellations.pop_front();
    CancellationIds.erase(Id);
    if (processCancellation(Id, Now))
      Data.PendingDecisions.HandledCancellations.push_back(Id);
  }
}

} // namespace apricotwing
