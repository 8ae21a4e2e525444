/// \file
/// Selects the members that supervise workers.
#ifndef APRICOTWING_CELL_SUPERVISORSELECTION_H
#define APRICOTWING_CELL_SUPERVISORSELECTION_H

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// A member that may be selected as a supervisor of workers.
struct SupervisorCandidate {
  std::string Name;
  double CpuShare = 0; ///< Fraction of a core that it may use.
};

/// Returns the names of those \p Members that supervise a total of \p Workers
/// workers. The leader constantly exchanges messages with each supervisor and
/// every message has a fixed cost, so a large cell uses only the members with
/// the largest CPU shares. A cell of up to MinSupervisors members uses all of
/// them. Members with equal shares are chosen in an order that depends on
/// \p Shard, so that the shards of a cell choose different ones. Thread-safe.
std::set<std::string>
selectSupervisors(std::vector<SupervisorCandidate> Members, std::size_t Workers,
                  int Shard);

/// Minimum number of supervisors, if the cell has as many members. With 8, the
/// loss of one affects an eighth of the workers.
inline constexpr std::size_t MinSupervisors = 8;

/// Minimum number of supervisors if each of them has at least LargeShareRatio
/// of the CPU share of the largest member. With 4, the loss of one affects at
/// most a quarter of the workers.
inline constexpr std::size_t MinLargeSupervisors = 4;
inline constexpr double LargeShareRatio = 0.5;

/// Number of workers that a member with a whole core can supervise. In a busy
/// cell each worker takes about 2 ms of CPU time per second.
inline constexpr double WorkersPerCore = 250;

} // namespace apricotwing::cell

#endif
