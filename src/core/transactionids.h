/// \file
/// Ids of transactions.
#ifndef APRICOTWING_CORE_TRANSACTIONIDS_H
#define APRICOTWING_CORE_TRANSACTIONIDS_H

#include <atomic>
#include <cstdint>
#include <string>

namespace apricotwing {

/// Hands out transaction ids that are unique in the cell. Owned by the
/// daemon, one per process.
class TransactionIds {
public:
  /// \p ProcessId must differ between any two starts of any process, for
  /// example the instance id followed by a random number.
  explicit TransactionIds(std::string ProcessId)
      : ProcessId(std::move(ProcessId)) {}

  /// The next id, "<process>-<number>". Thread-safe.
  std::string next() { return ProcessId + "-" + std::to_string(++Last); }

private:
  const std::string ProcessId;
  std::atomic<std::uint64_t> Last{0};
};

} // namespace apricotwing

#endif
