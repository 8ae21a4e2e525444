#include "core/preemptionclaims.h"

#include <algorithm>

namespace apricotwing {

void PreemptionClaims::add(RunEntry &Run, WorkerIndex Worker,
                           const Resources &Need, TimePoint Now) {
  Data.Index.hold(Worker, Need);
  Claims.push_back(
      {Run.Record.Id, Worker, Need, Now + Data.Options.ClaimTimeout});
  ++Run.Work.Claims;
}

WorkerIndex PreemptionClaims::take(RunEntry &Run, const Resources &Need) {
  if (Run.Work.Claims == 0)
    return NoWorker;
  const auto Found = std::ranges::find_if(Claims, [&](const Claim &Known) {
    return Known.Run == Run.Record.Id && Data.Index.isOpen(Known.Worker) &&
           Need.fitsIn(Data.Index.unused(Known.Worker) + Known.Need);
  });
  if (Found == Claims.end())
    return NoWorker;
  const WorkerIndex Worker = Found->Worker;
  Data.Index.hold(Worker, Resources{} - Found->Need);
  --Run.Work.Claims;
  Claims.erase(Found);
  return Worker;
}

void PreemptionClaims::dropStale(TimePoint Now) {
  std::erase_if(Claims, [&](const Claim &Known) {
    RunEntry *Run = Data.State.find(Known.Run);
    const bool Keep = Run && !Run->Work.Ready.empty() && Known.Expires > Now &&
                      Data.Index.isServing(Known.Worker);
    if (Keep)
      return false;
    Data.Index.hold(Known.Worker, Resources{} - Known.Need);
    if (Run)
      --Run->Work.Claims;
    return true;
  });
}

} // namespace apricotwing
