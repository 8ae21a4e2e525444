#include "jobs/crashhistory.h"

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>

namespace apricotwing::jobs {

void CrashHistory::add(const CrashRecord &Record) {
  if (Record.Cause != WorkerLoss::Announced &&
      Record.Cause != WorkerLoss::Transferred)
    Records.push_back(Record);
}

void CrashHistory::keepLatest() {
  if (Records.size() > std::size_t(MaxLosses))
    Records.erase(Records.begin(), Records.end() - MaxLosses);
}

bool CrashHistory::update(const WorkerIncarnation &Worker, WorkerLoss Cause) {
  bool Found = false;
  for (CrashRecord &Record : Records)
    if (Record.Worker == Worker) {
      Record.Cause = Cause;
      Found = true;
    }
  return Found;
}

bool CrashHistory::remove(const WorkerIncarnation &Worker) {
  return std::erase_if(Records, [&](const CrashRecord &Record) {
           return Record.Worker == Worker;
         }) > 0;
}

void CrashHistory::mergeGangMember(const CrashHistory &Member) {
  for (const CrashRecord &Record : Member.Records) {
    const auto Same =
        std::find_if(Records.begin(), Records.end(),
                     [&](const CrashRecord &R) { return R.Run == Record.Run; });
    if (Same == Records.end())
      Records.push_back(Record);
    else if (std::tuple(Record.counts(), Record.Apart, Record.Witnessed) >
             std::tuple(Same->counts(), Same->Apart, Same->Witnessed))
      *Same = Record;
  }
}

int CrashHistory::losses() const {
  return int(std::count_if(Records.begin(), Records.end(),
                           std::mem_fn(&CrashRecord::counts)));
}

bool CrashHistory::isExhausted(bool CrashesElsewhere) const {
  std::set<std::string> Ended; // One that ends repeatedly may be at fault.
  bool WasApart = false;
  for (const CrashRecord &Record : Records)
    if (Record.isProcessEnd() && Record.Witnessed) {
      Ended.insert(Record.Worker.Id);
      WasApart = WasApart || Record.Apart;
    }
  if (!CrashesElsewhere && WasApart && int(Ended.size()) >= MaxUniqueEnds)
    return true;
  const bool HasSilence = !std::all_of(Records.begin(), Records.end(),
                                       std::mem_fn(&CrashRecord::isProcessEnd));
  return losses() >= (HasSilence ? MaxLosses : MaxProcessEnds);
}

Duration CrashHistory::restartInterval() const {
  const int Repeated = losses() - IsolationThreshold;
  if (Repeated < 0)
    return Duration{0};
  return MaxRestartInterval /
         (1 << std::max(MaxLosses - IsolationThreshold - Repeated, 0));
}

bool CrashHistory::includes(const std::string &Worker) const {
  return std::any_of(Records.begin(), Records.end(),
                     [&](const CrashRecord &Record) {
                       return Record.counts() && Record.Worker.Id == Worker;
                     });
}

bool CrashHistory::mentions(const WorkerIncarnation &Worker) const {
  return std::any_of(
      Records.begin(), Records.end(),
      [&](const CrashRecord &Record) { return Record.Worker == Worker; });
}

} // namespace apricotwing::jobs
