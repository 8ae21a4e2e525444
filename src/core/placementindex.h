/// \file
/// Index of a shard's workers and their available resources.
#ifndef APRICOTWING_CORE_PLACEMENTINDEX_H
#define APRICOTWING_CORE_PLACEMENTINDEX_H

#include "core/resources.h"
#include "core/run.h"

#include <bit>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotwing {

/// Description of a worker from the instance list and the configuration.
struct WorkerView {
  WorkerId Id;
  std::string Zone;
  std::string Rack;
  Resources Capacity;
  Labels AllLabels; ///< Its own labels, overridden by configured ones.
  bool Drained = false;
  bool Leaving = false;

  friend bool operator==(const WorkerView &, const WorkerView &) = default;
};

/// Position of a worker in a PlacementIndex; never reused.
using WorkerIndex = std::uint32_t;

constexpr WorkerIndex NoWorker = ~WorkerIndex(0);

/// Whether a worker may get tasks, judged by its failures.
enum class WorkerHealth {
  Healthy,
  Probing,     ///< Gets one task at a time.
  Quarantined, ///< Gets no tasks.
};

/// Set of workers, with one bit per worker.
class WorkerMask {
public:
  bool test(WorkerIndex Worker) const {
    return Worker / 64 < Words.size() &&
           ((Words[Worker / 64] >> (Worker % 64)) & 1U) != 0;
  }

  void set(WorkerIndex Worker, bool Value) {
    if (Worker / 64 >= Words.size())
      Words.resize(Worker / 64 + 1);
    const std::uint64_t Bit = std::uint64_t(1) << (Worker % 64);
    Words[Worker / 64] =
        Value ? Words[Worker / 64] | Bit : Words[Worker / 64] & ~Bit;
  }

  bool empty() const;
  void clear() { Words.clear(); }
  WorkerMask &operator&=(const WorkerMask &Other);
  WorkerMask &subtract(const WorkerMask &Other);

  /// Calls \p Visit for each worker in the mask.
  template <typename Function> void forEach(Function Visit) const {
    for (std::size_t Word = 0; Word < Words.size(); ++Word)
      for (std::uint64_t Rest = Words[Word]; Rest != 0; Rest &= Rest - 1)
        Visit(WorkerIndex(Word * 64 + unsigned(std::countr_zero(Rest))));
  }

private:
  std::vector<std::uint64_t> Words;
};

/// Capacity, allocated resources, labels and health of the workers of one
/// shard. The available resources are stored in a separate array, so that a
/// search reads little memory. Owned by the shard's scheduler; not thread-safe.
class PlacementIndex {
public:
  /// Index of a worker. An id that is not listed gets an entry to which no
  /// tasks are assigned.
  WorkerIndex intern(const WorkerId &Id);

  /// Index of a worker; NoWorker if the id has never been seen.
  WorkerIndex find(const WorkerId &Id) const;

  const WorkerId &id(WorkerIndex Worker) const {
    return Entries[Worker].View.Id;
  }

  /// The worker as it was last listed.
  const WorkerView &view(WorkerIndex Worker) const {
    return Entries[Worker].View;
  }

  /// Number of entries, including workers that are not listed.
  std::size_t size() const { return Entries.size(); }

  /// Replaces the list of workers. Returns true if any worker changed.
  bool setWorkers(const std::vector<WorkerView> &Workers);

  /// Allocates \p Amount on the worker to one more task.
  void allocate(WorkerIndex Worker, const Resources &Amount);

  /// Undoes allocate() with the same amount.
  void release(WorkerIndex Worker, const Resources &Amount);

  /// Changes the allocation of tasks that are already counted.
  void adjust(WorkerIndex Worker, const Resources &Difference);

  /// Reserves resources so that no search finds them; a negative amount
  /// releases them.
  void reserve(WorkerIndex Worker, const Resources &Amount);

  /// Sets whether this owner is in contact with the worker; initially false.
  void setReady(WorkerIndex Worker, bool Ready);

  void setHealth(WorkerIndex Worker, WorkerHealth Health);

  /// True if the worker may get a task that fits.
  bool isEligible(WorkerIndex Worker) const;

  /// True if the worker gets one task at a time after a quarantine.
  bool isProbing(WorkerIndex Worker) const {
    return Entries[Worker].Health == WorkerHealth::Probing;
  }

  /// True if the worker is listed and neither drained nor leaving.
  bool isServing(WorkerIndex Worker) const;

  /// Resources available to a search; all negative if the worker is not
  /// eligible.
  const Resources &available(WorkerIndex Worker) const {
    return Available[Worker];
  }

  /// Capacity minus allocated and reserved resources, whether or not the worker
  /// is eligible.
  Resources unused(WorkerIndex Worker) const;

  /// Workers whose available resources have increased since clearIncreased().
  const std::vector<WorkerIndex> &increasedWorkers() const { return Increased; }
  void clearIncreased();

  /// Number of tasks allocated on the worker.
  std::uint32_t tasks(WorkerIndex Worker) const {
    return Entries[Worker].Tasks;
  }

  /// Number that identifies the worker's availability zone in this index.
  std::uint32_t zone(WorkerIndex Worker) const { return Entries[Worker].Zone; }

  /// Number that identifies the worker's rack in this index.
  std::uint32_t rack(WorkerIndex Worker) const { return Entries[Worker].Rack; }

  /// Serving workers that have all labels of \p Selector. The reference is
  /// valid until the next call of matching() or setWorkers().
  const WorkerMask &matching(const Labels &Selector);

  /// Number of tasks of size \p Need that fit on the workers of \p Mask when
  /// they are empty.
  std::uint64_t slotsWhenEmpty(const Resources &Need,
                               const WorkerMask &Mask) const;

  /// Sum of the capacities of the serving workers.
  const Resources &totalCapacity() const { return Total; }

  /// Component-wise largest capacity of the serving workers.
  const Resources &largestCapacity() const { return Largest; }

private:
  struct WorkerEntry {
    WorkerView View;
    Resources Used;
    Resources Reserved;
    std::uint32_t Tasks = 0;
    std::uint32_t Zone = 0;
    std::uint32_t Rack = 0;
    bool Listed = false;
    bool Ready = false;
    bool Increased = false;
    WorkerHealth Health = WorkerHealth::Healthy;
  };

  void refresh(WorkerIndex Worker);
  void updateListed(const WorkerView &View, bool &Changed);

  std::vector<WorkerEntry> Entries;
  std::vector<Resources> Available;
  std::vector<WorkerIndex> Increased;
  std::unordered_map<WorkerId, WorkerIndex> Indexes;
  /// Numbers of the zones and racks.
  std::map<std::string, std::uint32_t> TopologyNumbers;
  std::map<Labels, WorkerMask> MatchCache;
  Resources Total;
  Resources Largest;
};

/// Number of tasks of size \p Need that fit into \p Space.
std::uint64_t slotsIn(const Resources &Space, const Resources &Need);

} // namespace apricotwing

#endif
