/// \file
/// Table service and object store in memory, with faults.
#ifndef APRICOTWING_TESTS_SIMTABLE_H
#define APRICOTWING_TESTS_SIMTABLE_H

#include "core/platform.h"
#include "core/tableservice.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::simulation {

/// The state behind all ports. A row's version is the revision of the whole
/// table, so it grows across deletions.
class SimStore {
public:
  bool Down = false;
  std::set<std::string> DownFor;
  int LoseResponses = 0; ///< Next transactions that commit without an answer.
  int DelayWrites = 0;   ///< Next transactions that are kept for landDelayed().
  int Reads = 0;
  int Writes = 0;
  std::map<std::string, Row> Rows;
  std::vector<Transaction> Delayed;
  /// Called for each committed transaction.
  std::function<void(const Transaction &)> OnCommit = [](const auto &) {};

  CommitResult commit(const Transaction &Change);

  /// Attempts the delayed transactions now.
  void applyDelayedWrites();

  bool isDownFor(const std::string &Caller) const {
    return Down || DownFor.contains(Caller);
  }

private:
  RowVersion Revision = 0;
};

/// The table service as one caller sees it.
class SimPort : public TableService {
public:
  /// \p Disturb is called before and after the effect of each call; it may
  /// let time pass and let other instances act.
  SimPort(SimStore &Store, std::string Caller,
          std::function<void()> InjectDelay)
      : Store(Store), Caller(std::move(Caller)),
        InjectDelay(std::move(InjectDelay)) {}

  CommitResult transact(const Transaction &Change) override;
  std::optional<Row> read(const std::string &Key) override;
  std::vector<Row> scan(const std::string &Prefix, const std::string &After,
                        std::uint32_t Limit) override;

private:
  void beginCall();

  SimStore &Store;
  const std::string Caller;
  const std::function<void()> InjectDelay;
};

/// The object store.
class SimObjects : public ObjectStore {
public:
  void put(const std::string &Name, const std::string &Content) override {
    Objects[Name] = Content;
  }
  std::optional<std::string> read(const std::string &Name) override;
  void remove(const std::string &Name) override { Objects.erase(Name); }

  std::map<std::string, std::string> Objects;
};

} // namespace apricotwing::simulation

#endif
