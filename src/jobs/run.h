/// \file
/// Runs of tasks on workers, as workers list them and as they are ordered.
#ifndef APRICOTWING_JOBS_RUN_H
#define APRICOTWING_JOBS_RUN_H

#include "core/nametable.h"
#include "core/resources.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::jobs {

/// How a run ended.
enum class EndKind {
  Done,    ///< With success.
  Failed,  ///< By its own fault or by that of its worker.
  Stopped, ///< By order.
  Lapsed,  ///< The lease of its worker ran out.
  Broken,  ///< Another member of its gang ended.
  Alone,   ///< The other members of its gang did not come in time.
};

inline constexpr NameTable<EndKind, 6> EndKindNames = {{
    {EndKind::Done, "done"},
    {EndKind::Failed, "failed"},
    {EndKind::Stopped, "stopped"},
    {EndKind::Lapsed, "lapsed"},
    {EndKind::Broken, "broken"},
    {EndKind::Alone, "alone"},
}};

/// A run that a worker lists as running.
struct ActiveRun {
  std::string Task;
  std::int64_t Run = 0;
  std::string Checkpoint; ///< The last one saved; empty: none.
  int Percent = 0;        ///< Progress.
};

/// A run that a worker lists as ended, until that is acknowledged.
struct EndedRun {
  std::int64_t Number = 0; ///< Counts the ends of one life of a worker from 1.
  std::string Task;
  std::int64_t Run = 0;
  EndKind Kind = EndKind::Done;
  std::string Checkpoint;
};

/// One life of a worker; a restart under the same id is a different one.
struct WorkerIncarnation {
  std::string Id;
  std::int64_t StartedUnixMs = 0; ///< Unix time of its start in ms.

  friend auto operator<=>(const WorkerIncarnation &,
                          const WorkerIncarnation &) = default;
};

/// What is known of a worker from the platform's registry.
struct WorkerInfo {
  WorkerIncarnation Life;
  std::string Address; ///< host:port.
  std::string Zone;
  std::string Upstream;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool Draining = false;
  Duration Remaining{0}; ///< Least time left while it drains.

  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

/// Starts a run of a task.
struct StartCommand {
  WorkerIncarnation Worker;
  std::string Task;
  std::int64_t Run = 0;
  std::string Payload;
  std::string Ticket;     ///< Of the placement advice; empty: none needed.
  std::string Checkpoint; ///< To resume from; empty: from the beginning.
};

/// Stops a run of a task.
struct StopCommand {
  WorkerIncarnation Worker;
  std::string Task;
  std::int64_t Run = 0;
};

/// Asks which of some workers may run a step.
struct AdviceRequest {
  std::string Step;
  std::vector<std::string> Workers;
  double CostMs = 0; ///< How long the advice service will take.
};

/// One approval of the advice service.
struct Approval {
  std::string Worker;
  std::string Ticket;
};

} // namespace apricotwing::jobs

#endif
