/// \file
/// What operators decide for jobs: queues, client accounts and services.
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

/// Cost and lifetime of the placement advice that a queue requires.
struct AdviceSettings {
  double BaseMs = 0;      ///< For each call.
  double PerWorkerMs = 0; ///< For each worker named in a call.
  Duration Validity{0};   ///< Of a ticket, from the answer on.

  friend bool operator==(const AdviceSettings &,
                         const AdviceSettings &) = default;
};

/// A queue for jobs, reached by callers under a host and a path prefix.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Upstream;      ///< The service whose workers run the tasks.
  int Priority = 0;          ///< 0 comes first.
  int MaxAttempts = 1;       ///< Failed runs of a task before its job fails.
  double SlackFactor = 1;    ///< Allowed time as a multiple of the work.
  Duration LatencyTarget{0}; ///< Allowed time besides.
  std::optional<AdviceSettings> Advice; ///< Set if starts need a ticket.
  bool Public = false;                  ///< Callers need no key.
};

/// Completion later than this multiple of the allowed time has no value to
/// callers.
inline constexpr int UselessFactor = 3;

/// Time from acceptance in which a job of \p Terms should end. Thread-safe.
Duration allowedTime(const Queue &Terms, const JobSpec &Spec);

/// A client account with its keys, its share and its upper limit.
struct ClientAccount {
  std::string Name;
  std::vector<std::string> Keys;
  int Weight = 1;
  Resources Cap; ///< Per resource; 0: no limit.
};

/// A service whose workers run tasks.
struct Upstream {
  std::string Name;
  bool RejectsOverload = false; ///< Workers refuse what does not fit.
  bool Standby = false;         ///< Its workers are off.
};

/// One version of all of it. A value type; lookups are thread-safe.
struct ClusterPolicy {
  std::int64_t Version = 0; ///< 0: none has been read.
  std::vector<Queue> Queues;
  std::vector<ClientAccount> Accounts;
  std::vector<Upstream> Upstreams;

  /// The queue with the longest prefix of \p Path on \p Host; null if none.
  const Queue *match(std::string_view Host, std::string_view Path) const;

  /// The account that holds \p Key; null if none.
  const ClientAccount *accountOfKey(std::string_view Key) const;
};

} // namespace apricotwing::jobs

#endif
