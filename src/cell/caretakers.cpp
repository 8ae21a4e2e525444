#include "cell/caretakers.h"

#include <algorithm>
#include <tuple>

namespace apricotwing::cell {

std::set<std::string> chooseCaretakers(std::vector<CaretakerCandidate> Members,
                                       std::size_t Workers) {
  const auto Larger = [](const CaretakerCandidate &Left,
                         const CaretakerCandidate &Right) {
    return std::tie(Right.CpuShare, Left.Name) <
           std::tie(Left.CpuShare, Right.Name);
  };
  std::sort(Members.begin(), Members.end(), Larger);
  std::set<std::string> Chosen;
  double Share = 0;
  for (const CaretakerCandidate &Next : Members) {
    const bool Carried = double(Workers) <= Share * WorkersPerCore;
    const bool Small = Next.CpuShare < Members.front().CpuShare * HalfShare;
    const std::size_t Enough = Small ? MinLargeCaretakers : MinCaretakers;
    if (Carried && Chosen.size() >= Enough)
      break;
    Chosen.insert(Next.Name);
    Share += Next.CpuShare;
  }
  return Chosen;
}

} // namespace apricotwing::cell
