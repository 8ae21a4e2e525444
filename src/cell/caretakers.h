/// \file
/// Which members look after workers.
#ifndef APRICOTWING_CELL_CARETAKERS_H
#define APRICOTWING_CELL_CARETAKERS_H

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// A member that could look after workers.
struct CaretakerCandidate {
  std::string Name;
  double CpuShare = 0; ///< Part of a core that it may use.
};

/// Names of those of \p Members that look after \p Workers workers. The leader
/// exchanges mail with each of them all the time, at a cost per mail, so a
/// large cell uses few members with much processor time; a cell of up to
/// MinCaretakers members uses all. Thread-safe.
std::set<std::string> chooseCaretakers(std::vector<CaretakerCandidate> Members,
                                       std::size_t Workers);

/// So many members look after workers if there are that many; the loss of one
/// then concerns an eighth of the workers.
inline constexpr std::size_t MinCaretakers = 8;

/// Fewer are enough if all of them have at least HalfShare of the processor
/// time of the largest member; the loss of one concerns a quarter at most.
inline constexpr std::size_t MinLargeCaretakers = 4;
inline constexpr double HalfShare = 0.5;

/// Workers that a member with a whole core can look after. One takes some
/// 2 ms of processor time a second on a busy cell.
inline constexpr double WorkersPerCore = 250;

} // namespace apricotwing::cell

#endif
