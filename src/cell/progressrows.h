/// \file
/// The rows in which the progress of jobs is stored.
#ifndef APRICOTWING_CELL_PROGRESSROWS_H
#define APRICOTWING_CELL_PROGRESSROWS_H

#include "cell/ports.h"
#include "jobs/job.h"

#include <map>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Divides the progress of a job among rows, so that none outgrows the store,
/// however many tasks the job has. A small job has one row with the id of the
/// job as its key. The tasks of a larger one are numbered over all steps and
/// divided into parts, each with a row whose key is the id, a slash and the
/// number of its first task; a part without progress has no row. Only rows that
/// differ from the stored ones are written. Owned by the leader and used on its
/// thread only.
class ProgressRows {
public:
  /// Adds a row that was read after a takeover, in any order, and adds what it
  /// contains to \p Into, by job id. Returns false if the row is invalid.
  bool restore(const StoredRow &Row,
               std::map<std::string, jobs::JobProgress> &Into);

  /// Returns the changes that store \p Progress of the job \p Spec, which is
  /// active. If they are too many for one commit, they may be divided among
  /// several, in their order: no finished task is lost in between.
  std::vector<RowChange> update(const jobs::JobSpec &Spec,
                                const jobs::JobProgress &Progress);

  /// Returns the changes that remove all rows of a job.
  std::vector<RowChange> remove(const std::string &Id);

private:
  /// Values by the number of the first task; WholeJob for the single row of a
  /// small job.
  using Values = std::map<int, std::string>;
  static constexpr int WholeJob = -1;

  static Values divide(const jobs::JobSpec &Spec,
                       const jobs::JobProgress &Progress);
  static std::string rowKey(const std::string &Id, int First);

  std::map<std::string, Values> Stored; ///< By job id.
};

} // namespace apricotwing::cell

#endif
