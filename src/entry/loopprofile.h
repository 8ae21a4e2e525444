/// \file
/// Where the time of a control thread goes.
#ifndef APRICOTWING_ENTRY_LOOPPROFILE_H
#define APRICOTWING_ENTRY_LOOPPROFILE_H

#include "core/nametable.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace apricotwing::entry {

/// Kinds of work of a control thread.
enum class WorkKind {
  CallerCall,
  PeerMessage, ///< A message or a batch of calls of another instance.
  PeerReply,   ///< The reply to a message of this instance.
  StoreResponse,
  WorkerResponse,
  AdviceResponse,
  Operations, ///< Metrics and the state dump.
  Timers,     ///< All that is due without an event, scheduling rounds included.
};

inline constexpr NameTable<WorkKind, 8> WorkKindNames = {{
    {WorkKind::CallerCall, "caller_call"},
    {WorkKind::PeerMessage, "peer_message"},
    {WorkKind::PeerReply, "peer_reply"},
    {WorkKind::StoreResponse, "store_response"},
    {WorkKind::WorkerResponse, "worker_response"},
    {WorkKind::AdviceResponse, "advice_response"},
    {WorkKind::Operations, "operations"},
    {WorkKind::Timers, "timers"},
}};

/// Number of work items of a kind and the time that they took. Time is elapsed
/// time: on an instance without spare processor time it includes the time in
/// which other threads or processes ran.
struct WorkLoad {
  using Time = std::chrono::microseconds;

  std::uint64_t Items = 0;
  Time Busy{0};         ///< While they ran.
  Time Queued{0};       ///< From being added until they ran.
  Time LongestQueue{0}; ///< Of any single item.

  WorkLoad &operator+=(const WorkLoad &Other) {
    Items += Other.Items;
    Busy += Other.Busy;
    Queued += Other.Queued;
    LongestQueue = std::max(LongestQueue, Other.LongestQueue);
    return *this;
  }
};

/// The work of a control thread by kind. Not thread-safe.
class LoopProfile {
public:
  /// Adds a work item of \p Kind that waited for \p Queued and ran for \p Busy.
  void add(WorkKind Kind, WorkLoad::Time Queued, WorkLoad::Time Busy) {
    Loads[std::size_t(Kind)] += {1, Busy, Queued, Queued};
  }

  const WorkLoad &of(WorkKind Kind) const { return Loads[std::size_t(Kind)]; }

  /// The work of all kinds.
  WorkLoad total() const {
    WorkLoad Sum;
    for (const WorkLoad &Load : Loads)
      Sum += Load;
    return Sum;
  }

  /// Adds the work of \p Other.
  LoopProfile &operator+=(const LoopProfile &Other) {
    for (std::size_t Kind = 0; Kind < Loads.size(); ++Kind)
      Loads[Kind] += Other.Loads[Kind];
    return *this;
  }

private:
  std::array<WorkLoad, WorkKindNames.size()> Loads{};
};

} // namespace apricotwing::entry

#endif
