/// \file
/// Limit of the memory that the jobs of a shard take on its leader.
#ifndef APRICOTWING_JOBS_JOBMEMORYBUDGET_H
#define APRICOTWING_JOBS_JOBMEMORYBUDGET_H

#include "jobs/jobspec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace apricotwing::jobs {

/// Estimated bytes that the description of a job takes in memory. Thread-safe.
std::size_t specBytes(const JobSpec &Spec);

/// Estimated bytes that a job takes on the leader until it has ended, with the
/// state of all its tasks. Thread-safe.
std::size_t activeJobBytes(const JobSpec &Spec);

/// Estimated bytes of a job that has ended and whose tasks are released.
inline constexpr std::size_t EndedJobBytes = 768;

/// Accounts for the memory of jobs by client account and decides which new ones
/// are accepted. Answers a load of callers who hand in more work than a leader
/// can hold: it would end, and with it each leader that loads the work from the
/// store. An account may hold as much as is left to the others, so one that
/// takes all it can get leaves half, and n of them leave 1 / (n + 1), for
/// accounts that hold less. Jobs that were accepted are never refused later,
/// even if the limit has been lowered. Owned by a JobScheduler and used on its
/// thread only.
class JobMemoryBudget {
public:
  /// \p Limit is in bytes.
  explicit JobMemoryBudget(std::size_t Limit) : Limit(Limit) {}

  /// True if a new job of \p Account may take \p Bytes now.
  bool admits(const std::string &Account, std::size_t Bytes) const;

  /// False if a job of \p Bytes is refused even if there is no other.
  bool canAdmit(std::size_t Bytes) const { return Bytes <= Limit; }

  /// Adds a job, whether it is admitted or not.
  void add(const std::string &Account, std::size_t Bytes);

  /// Removes \p Bytes. Precondition: the account holds them.
  void remove(const std::string &Account, std::size_t Bytes);

  /// Bytes of all jobs.
  std::size_t held() const { return Held; }

private:
  const std::size_t Limit;
  std::size_t Held = 0;
  std::map<std::string, std::size_t> ByAccount;
};

} // namespace apricotwing::jobs

#endif
