#include "cell/supervisorselection.h"

#include <algorithm>
#include <tuple>

namespace apricotwing::cell {

std::set<std::string>
selectSupervisors(std::vector<SupervisorCandidate> Members,
                  std::size_t Workers) {
  const auto Larger = [](const SupervisorCandidate &Left,
                         const SupervisorCandidate &Right) {
    return std::tie(Right.CpuShare, Left.Name) <
           std::tie(Left.CpuShare, Right.Name);
  };
  std::sort(Members.begin(), Members.end(), Larger);
  std::set<std::string> Chosen;
  double Share = 0;
  for (const SupervisorCandidate &Candidate : Members) {
    const bool HasCapacity = double(Workers) <= Share * WorkersPerCore;
    const bool Small =
        Candidate.CpuShare < Members.front().CpuShare * LargeShareRatio;
    const std::size_t Enough = Small ? MinLargeSupervisors : MinSupervisors;
    if (HasCapacity && Chosen.size() >= Enough)
      break;
    Chosen.insert(Candidate.Name);
    Share += Candidate.CpuShare;
  }
  return Chosen;
}

} // namespace apricotwing::cell
