/// \file
/// In-memory table service and object store with fault injection.
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

/// State shared by all ports. A row's version is the revision of the whole
/// table, so that it also increases when the row is deleted and written again.
class SimStore {
public:
  bool Down = false;
  std::set<std::string> DownFor;
  int LoseResponses = 0; ///< Number of next transactions whose response is
                         ///< lost after they commit.
  int DelayWrites = 0;   ///< Number of next transactions that are kept for
                         ///< applyDelayedWrites().
  int Reads = 0;
  int Writes = 0;
  std::map<std::string, Row> Rows;
  std::vector<Transaction> Delayed;
  /// Called for each committed transaction.
  std::function<void(const Transaction &)> OnCommit = [](const auto &) {};

  CommitResult commit(const Transaction &Change);

  /// Tries to commit the delayed transactions.
  void applyDelayedWrites();

  bool isDownFor(const std::string &Caller) const {
    return Down || DownFor.contains(Caller);
  }

private:
  RowVersion Revision = 0;
};

/// Table service port of one caller.
class SimPort : public TableService {
public:
  /// \p InjectDelay is called before and after the effect of each call. It may
  /// advance the time and let other instances act.
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

/// In-memory object store.
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
