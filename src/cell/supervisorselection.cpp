#include "cell/supervisorselection.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

std::set<std::string>
selectSupervisors(std::vector<SupervisorCandidate> Members, std::size_t Workers,
                  int Shard) {
  const auto OrderOf = [Shard](const SupervisorCandidate &Candidate) {
    return std::pair(-Candidate.CpuShare,
                     XXH3_64bits_withSeed(Candidate.Name.data(),
                                          Candidate.Name.size(),
                                          XXH64_hash_t(Shard)));
  };
  const auto Larger = [&OrderOf](const SupervisorCandidate &Left,
                                 const SupervisorCandidate &Right) {
    return OrderOf(Left) < OrderOf(Right);
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
