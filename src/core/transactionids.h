/// \file
/// Generator of transaction ids.
#ifndef APRICOTWING_CORE_TRANSACTIONIDS_H
#define APRICOTWING_CORE_TRANSACTIONIDS_H

#include <atomic>
#include <cstdint>
#include <string>

namespace apricotwing {

/// Generates transaction ids that are unique in the cell. The daemon owns one
/// per process.
class TransactionIds {
public:
  /// \p ProcessId must be unique among all starts of all processes, for example
  /// the instance id followed by a random number.
  explicit TransactionIds(std::string ProcessId)
      : ProcessId(std::move(ProcessId)) {}

  /// Returns the next id in the form "<process>-<number>". Thread-safe.
  std::string next() { return ProcessId + "-" + std::to_string(++Last); }

private:
  const std::string ProcessId;
  std::atomic<std::uint64_t> Last{0};
};

} // namespace apricotwing

#endif
