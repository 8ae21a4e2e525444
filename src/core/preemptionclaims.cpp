#include "core/preemptionclaims.h"

#include <algorithm>

namespace apricotwing {

void PreemptionClaims::add(RunEntry &Run, WorkerIndex Worker,
                           const Resources &Need, TimePoint Now) {
  Data.Index.reserve(Worker, Need);
  Claims.push_back(
      {Run.Record.Id, Worker, Need, Now + Data.Options.ClaimTimeout});
  ++Run.Scheduling.Claims;
}

WorkerIndex PreemptionClaims::take(RunEntry &Run, const Resources &Need) {
  if (Run.Scheduling.Claims == 0)
    return NoWorker;
  const auto Found = std::ranges::find_if(Claims, [&](const Claim &Candidate) {
    return Candidate.Run == Run.Record.Id &&
           Data.Index.isEligible(Candidate.Worker) &&
           Need.fitsIn(Data.Index.unused(Candidate.Worker) + Candidate.Need);
  });
  if (Found == Claims.end())
    return NoWorker;
  const WorkerIndex Worker = Found->Worker;
  Data.Index.reserve(Worker, Resources{} - Found->Need);
  --Run.Scheduling.Claims;
  Claims.erase(Found);
  return Worker;
}

void PreemptionClaims::releaseStale(TimePoint Now) {
  std::erase_if(Claims, [&](const Claim &Candidate) {
    RunEntry *Run = Data.State.find(Candidate.Run);
    const bool Keep = Run && !Run->Scheduling.Ready.empty() &&
                      Candidate.Expires > Now &&
                      Data.Index.isServing(Candidate.Worker);
    if (Keep)
      return false;
    Data.Index.reserve(Candidate.Worker, Resources{} - Candidate.Need);
    if (Run)
      --Run->Scheduling.Claims;
    return true;
  });
}

} // namespace apricotwing
