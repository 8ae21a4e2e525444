/// \file
/// Configuration of jobs by operators: queues, client accounts and upstreams.
#ifndef APRICOTWING_JOBS_CLUSTERPOLICY_H
#define APRICOTWING_JOBS_CLUSTERPOLICY_H

#include "core/resources.h"
#include "core/time.h"
#include "jobs/jobspec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing::jobs {

/// Cost and validity of the placement advice that a queue requires.
struct AdviceSettings {
  double BaseMs = 0;      ///< Fixed cost of a call.
  double PerWorkerMs = 0; ///< Cost for each worker named in a call.
  Duration Validity{0};   ///< Of a ticket, counted from the answer.

  friend bool operator==(const AdviceSettings &,
                         const AdviceSettings &) = default;
};

/// A queue for jobs. Callers reach it under a host and a path prefix.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Upstream; ///< The upstream whose workers run the tasks.
  int Priority = 0;     ///< 0 is the most urgent.
  int MaxAttempts = 1;  ///< Number of failed runs of a task that fail its job.
  double SlackFactor = 1; ///< Allowed time as a multiple of the critical path.
  Duration LatencyTarget{0};            ///< Added to the allowed time.
  std::optional<AdviceSettings> Advice; ///< Set if starts require a ticket.
  bool Public = false;                  ///< Callers need no API key.
};

/// The firm deadline of a job as a multiple of its allowed time. Completion
/// after the firm deadline has no value to the caller.
inline constexpr int FirmDeadlineFactor = 3;

/// Time after acceptance within which a job of \p JobQueue should finish.
/// Thread-safe.
Duration allowedTime(const Queue &JobQueue, const JobSpec &Spec);

/// A client account with its API keys, its share and its resource limit.
struct ClientAccount {
  std::string Name;
  std::vector<std::string> Keys;
  int Weight = 1;
  Resources Cap; ///< Limit for each resource; 0 means no limit.
};

/// An upstream: a service whose workers run tasks.
struct Upstream {
  std::string Name;
  bool RejectsOverload = false; ///< Workers refuse tasks that do not fit.
  bool Standby = false;         ///< Its workers are powered off.
};

/// One version of the configuration of queues, accounts and upstreams. A value
/// type; lookups are thread-safe.
struct ClusterPolicy {
  std::int64_t Version = 0; ///< 0 if no version has been read.
  std::vector<Queue> Queues;
  std::vector<ClientAccount> Accounts;
  std::vector<Upstream> Upstreams;

  /// The queue on \p Host with the longest path prefix that matches \p Path;
  /// null if there is none.
  const Queue *match(std::string_view Host, std::string_view Path) const;

  /// The account that \p Key belongs to; null if there is none.
  const ClientAccount *accountOfKey(std::string_view Key) const;
};

} // namespace apricotwing::jobs

#endif
