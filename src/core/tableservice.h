/// \file
/// Port: the platform's transactional table service.
#ifndef APRICOTWING_CORE_TABLESERVICE_H
#define APRICOTWING_CORE_TABLESERVICE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

/// Version of a row; grows with each write. 0 stands for an absent row.
using RowVersion = std::uint64_t;

/// A row as read.
struct Row {
  std::string Key;
  RowVersion Version = 0;
  std::string Transaction; ///< Id of the transaction that wrote it.
  std::string Value;
};

/// A transaction commits only if \p Key has exactly \p Version.
struct RowCondition {
  std::string Key;
  RowVersion Version = 0;
};

/// Writes \p Value to \p Key, or deletes the row if there is no value.
struct RowWrite {
  std::string Key;
  std::optional<std::string> Value;
};

/// A conditional write of several rows that takes effect whole or not at all.
struct Transaction {
  std::string Id;
  std::vector<RowCondition> Conditions;
  std::vector<RowWrite> Writes;
};

/// Result of one attempt to commit.
enum class CommitResult {
  Committed,
  Conflict, ///< A condition did not hold. An earlier attempt may have
            ///< committed: read the deciding row and compare its transaction.
};

/// The table service. Implementations are thread-safe; calls block for at
/// most the configured timeout.
class TableService {
public:
  virtual ~TableService() = default;

  /// Tries to commit once. Throws Error(StoreUnavailable) if the service
  /// refused before it did anything, and Error(StoreUnknownOutcome) if the
  /// transaction may have committed or may still commit. Thread-safe.
  virtual CommitResult transact(const Transaction &Change) = 0;

  /// Reads one row; empty if absent. Throws Error(StoreUnavailable).
  /// Thread-safe.
  virtual std::optional<Row> read(const std::string &Key) = 0;

  /// All rows whose key starts with \p Prefix, in key order, at most \p Limit
  /// after the key \p After. Throws Error(StoreUnavailable). Thread-safe.
  virtual std::vector<Row> scan(const std::string &Prefix,
                                const std::string &After = {},
                                std::uint32_t Limit = 1000) = 0;
};

/// Retries \p Change with the same id until the outcome is definite, at most
/// \p Attempts times, and resolves a conflict by the row \p DecidingKey: if
/// that row carries the id of \p Change, an earlier attempt had committed.
/// Nobody else may overwrite the deciding row in between. Throws the last
/// Error if the outcome is still open.
CommitResult commitWithRetry(TableService &Table, const Transaction &Change,
                             const std::string &DecidingKey, int Attempts);

} // namespace apricotwing

#endif
