#include "cell/workertransfer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace apricotwing::cell {

namespace {

/// A shard gives workers away only while more than this fraction of its
/// processors is free.
constexpr double MinGiverFreeShare = 0.3;

/// A shard needs workers if a step has waited for this long. Slow calls for
/// advice take up to 0.8 s. The amount of waiting work alone does not show a
/// need, because it includes steps that wait for earlier ones.
constexpr Duration NeededLongestWait{1200};

/// Workers that such a shard needs in addition per second of waiting work, and
/// at least, as fractions of those that it has.
constexpr double WorkersPerWaitSecond = 0.3;
constexpr double MinNeededShare = 0.1;

/// Maximum fraction of its workers that a shard gives away at once.
constexpr double MaxGivenShare = 0.1;

/// Workers that a shard always keeps.
constexpr int MinKeptWorkers = 1;

/// Returns how many workers a shard needs, as a fraction of those it has.
double neededShare(const ShardLoad &Load) {
  if (Load.LongestWait < NeededLongestWait)
    return 0;
  return std::max(std::chrono::duration<double>(Load.Wait).count() *
                      WorkersPerWaitSecond,
                  MinNeededShare);
}

} // namespace

int WorkerOwnership::ownerOf(const std::string &Worker) const {
  const auto Found = Transfers.find(Worker);
  return Found == Transfers.end() ? Layout.shardOfWorker(Worker)
                                  : Found->second.To;
}

TransferRecord WorkerOwnership::lastTransfer(const std::string &Worker) const {
  const auto Found = Transfers.find(Worker);
  return Found == Transfers.end() ? TransferRecord() : Found->second;
}

bool WorkerOwnership::record(const std::string &Worker,
                             const TransferRecord &Transfer) {
  if (Transfer.Number <= lastTransfer(Worker).Number)
    return false;
  Transfers[Worker] = Transfer;
  return true;
}

std::optional<PlannedTransfer>
planTransfer(const ShardLoad &Own, const std::map<int, ShardLoad> &Others,
             std::size_t IdleWorkers) {
  if (Own.LongestWait >= NeededLongestWait ||
      Own.FreeShare <= MinGiverFreeShare)
    return std::nullopt;
  const auto Neediest = std::max_element(
      Others.begin(), Others.end(), [](const auto &Left, const auto &Right) {
        return neededShare(Left.second) < neededShare(Right.second);
      });
  if (Neediest == Others.end() || neededShare(Neediest->second) <= 0)
    return std::nullopt;
  const double Needed = neededShare(Neediest->second) *
                        double(std::max(Neediest->second.Workers, 1));
  const double Spare =
      std::min(Own.FreeShare - MinGiverFreeShare, MaxGivenShare) *
      double(Own.Workers);
  const auto Givable = std::min(
      IdleWorkers, std::size_t(std::max(Own.Workers - MinKeptWorkers, 0)));
  const auto Count =
      std::min(Givable, std::size_t(std::ceil(std::min(Needed, Spare))));
  if (Count == 0)
    return std::nullopt;
  return PlannedTransfer{Neediest->first, Count};
}

} // namespace apricotwing::cell
