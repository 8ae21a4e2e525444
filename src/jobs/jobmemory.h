/// \file
/// Estimates of the memory that jobs take on the leader of their shard.
#ifndef APRICOTWING_JOBS_JOBMEMORY_H
#define APRICOTWING_JOBS_JOBMEMORY_H

#include "jobs/jobspec.h"

#include <cstddef>

namespace apricotwing::jobs {

/// Estimated bytes that the description of a job takes in memory. Thread-safe.
std::size_t specBytes(const JobSpec &Spec);

/// Estimated bytes that a job takes on the leader until it has ended, with the
/// state of all its tasks. Thread-safe.
std::size_t activeJobBytes(const JobSpec &Spec);

/// Estimated bytes of a job that has ended and whose tasks are released.
inline constexpr std::size_t EndedJobBytes = 768;

} // namespace apricotwing::jobs

#endif
