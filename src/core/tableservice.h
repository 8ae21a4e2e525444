/// \file
/// Port: the platform's transactional table service.
#ifndef APRICOTWING_CORE_TABLESERVICE_H
#define APRICOTWING_CORE_TABLESERVICE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing {

/// Version of a row, which increases with each write. 0 means that the row does
/// not exist.
using RowVersion = std::uint64_t;

/// A row as it was read.
struct Row {
  std::string Key;
  RowVersion Version = 0;
  std::string Transaction; ///< Id of the transaction that wrote this version.
  std::string Value;
};

/// Precondition of a transaction: the row \p Key has exactly \p Version.
struct RowCondition {
  std::string Key;
  RowVersion Version = 0;
};

/// Writes \p Value to \p Key, or deletes the row if there is no value.
struct RowWrite {
  std::string Key;
  std::optional<std::string> Value;
};

/// A conditional, atomic write of several rows.
struct Transaction {
  std::string Id;
  std::vector<RowCondition> Conditions;
  std::vector<RowWrite> Writes;
};

/// Result of one attempt to commit.
enum class CommitResult {
  Committed,
  Conflict, ///< A condition did not hold. An earlier attempt to commit the same
            ///< transaction may have succeeded; to find out, read a row that
            ///< it writes and compare the transaction id.
};

/// The transactional table service. Implementations are thread-safe; calls
/// block for at most the configured timeout.
class TableService {
public:
  virtual ~TableService() = default;

  /// Tries to commit once. Throws Error(StoreUnavailable) if the transaction
  /// was rejected and has no effect, and Error(StoreUnknownOutcome) if it may
  /// have committed or may still commit. Thread-safe.
  virtual CommitResult transact(const Transaction &Change) = 0;

  /// Reads one row; returns no value if it does not exist. Throws
  /// Error(StoreUnavailable). Thread-safe.
  virtual std::optional<Row> read(const std::string &Key) = 0;

  /// Returns the first \p Limit rows, in key order, whose keys start with
  /// \p Prefix and are greater than \p After. Throws Error(StoreUnavailable).
  /// Thread-safe.
  virtual std::vector<Row> scan(const std::string &Prefix,
                                const std::string &After = {},
                                std::uint32_t Limit = 1000) = 0;
};

/// Submits \p Change up to \p Attempts times, with the same id, until its
/// outcome is known. On a conflict it reads the row \p DecidingKey: if the id
/// of \p Change is stored there, an earlier attempt has committed.
/// Precondition: no other transaction overwrites that row in the meantime.
/// Throws the last Error if all attempts fail; the kind is StoreUnknownOutcome
/// if any of them may have committed.
CommitResult commitWithRetry(TableService &Table, const Transaction &Change,
                             const std::string &DecidingKey, int Attempts);

} // namespace apricotwing

#endif
