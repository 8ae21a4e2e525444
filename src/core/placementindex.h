/// \file
/// Workers of a shard with their free resources.
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

/// A worker as the instance list and the configuration describe it.
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

/// Whether a worker may get tasks in view of its failures.
enum class WorkerHealth {
  Healthy,
  Probing,     ///< One task at a time.
  Quarantined, ///< None.
};

/// One bit per worker.
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

  /// Calls \p Visit with each worker of the mask.
  template <typename Function> void forEach(Function Visit) const {
    for (std::size_t Word = 0; Word < Words.size(); ++Word)
      for (std::uint64_t Rest = Words[Word]; Rest != 0; Rest &= Rest - 1)
        Visit(WorkerIndex(Word * 64 + unsigned(std::countr_zero(Rest))));
  }

private:
  std::vector<std::uint64_t> Words;
};

/// Capacity, use, labels and condition of the workers of one shard, laid out
/// so that a search reads one small array. Owned by the shard's scheduler; not
/// thread-safe.
class PlacementIndex {
public:
  /// Index of a worker; an id that is not listed gets an entry that takes no
  /// tasks.
  WorkerIndex intern(const WorkerId &Id);

  /// Index of a worker; NoWorker if the id has never been seen.
  WorkerIndex find(const WorkerId &Id) const;

  const WorkerId &id(WorkerIndex Worker) const {
    return Entries[Worker].View.Id;
  }

  /// The worker as last listed.
  const WorkerView &view(WorkerIndex Worker) const {
    return Entries[Worker].View;
  }

  /// Number of entries, unlisted ones included.
  std::size_t size() const { return Entries.size(); }

  /// Replaces the list. Returns true if any worker changed.
  bool setWorkers(const std::vector<WorkerView> &Workers);

  /// Counts \p Amount as used on the worker by one more task.
  void allocate(WorkerIndex Worker, const Resources &Amount);

  /// Undoes allocate() with the same amount.
  void release(WorkerIndex Worker, const Resources &Amount);

  /// Changes the use of tasks that are already counted.
  void adjust(WorkerIndex Worker, const Resources &Difference);

  /// Sets resources aside so that no search finds them; negative to undo.
  void hold(WorkerIndex Worker, const Resources &Amount);

  /// Whether this owner is in contact with the worker. False at first.
  void setReady(WorkerIndex Worker, bool Ready);

  void setHealth(WorkerIndex Worker, WorkerHealth Health);

  /// True if the worker may get a task when it has room.
  bool isOpen(WorkerIndex Worker) const;

  /// True if the worker takes one task at a time after a quarantine.
  bool isProbing(WorkerIndex Worker) const {
    return Entries[Worker].Health == WorkerHealth::Probing;
  }

  /// True if the worker is on the list and neither drained nor leaving.
  bool isServing(WorkerIndex Worker) const;

  /// Free resources for a search; all negative if the worker is not open.
  const Resources &room(WorkerIndex Worker) const { return Rooms[Worker]; }

  /// Capacity less use and holds, whatever the worker's condition.
  Resources unused(WorkerIndex Worker) const;

  /// Workers whose room has grown since clearGrown().
  const std::vector<WorkerIndex> &grown() const { return Grown; }
  void clearGrown();

  /// Tasks counted on the worker.
  std::uint32_t tasks(WorkerIndex Worker) const {
    return Entries[Worker].Tasks;
  }

  /// Small number of the worker's availability zone.
  std::uint32_t zone(WorkerIndex Worker) const { return Entries[Worker].Zone; }

  /// Small number of the worker's rack.
  std::uint32_t rack(WorkerIndex Worker) const { return Entries[Worker].Rack; }

  /// Workers on the list, neither drained nor leaving, that have all labels
  /// of \p Selector. The reference is valid until the next call of
  /// matching() or setWorkers().
  const WorkerMask &matching(const Labels &Selector);

  /// Tasks of size \p Need that the workers of \p Mask hold when empty.
  std::uint64_t slotsWhenEmpty(const Resources &Need,
                               const WorkerMask &Mask) const;

  /// Sum of the capacities of the serving workers.
  const Resources &totalCapacity() const { return Total; }

  /// Component-wise largest capacity of the serving workers.
  const Resources &largestCapacity() const { return Largest; }

private:
  struct Entry {
    WorkerView View;
    Resources Used;
    Resources Held;
    std::uint32_t Tasks = 0;
    std::uint32_t Zone = 0;
    std::uint32_t Rack = 0;
    bool Listed = false;
    bool Ready = false;
    bool Grown = false;
    WorkerHealth Health = WorkerHealth::Healthy;
  };

  void refresh(WorkerIndex Worker);
  void list(const WorkerView &View, bool &Changed);

  std::vector<Entry> Entries;
  std::vector<Resources> Rooms;
  std::vector<WorkerIndex> Grown;
  std::unordered_map<WorkerId, WorkerIndex> Indexes;
  std::map<std::string, std::uint32_t> Places; ///< Numbers of zones, racks.
  std::map<Labels, WorkerMask> Matches;
  Resources Total;
  Resources Largest;
};

/// How many tasks of size \p Need fit into \p Space.
std::uint64_t slotsIn(const Resources &Space, const Resources &Need);

} // namespace apricotwing

#endif
