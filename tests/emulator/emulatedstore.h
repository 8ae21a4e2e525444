/// \file
/// The platform's metadata store in virtual time.
#ifndef APRICOTWING_TESTS_EMULATOR_EMULATEDSTORE_H
#define APRICOTWING_TESTS_EMULATOR_EMULATEDSTORE_H

#include "cell/ports.h"
#include "virtualtime.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace apricotwing::emulator {

/// Rows under one growing version. Faults are switches that a test flips while
/// it runs. Not thread-safe.
class EmulatedStore {
public:
  EmulatedStore(VirtualTime &Time, std::uint64_t Seed)
      : Time(Time), Random(Seed) {}

  // Faults.
  bool Down = false;                    ///< Answers 503 to all.
  std::set<std::string> RefusedCallers; ///< Callers that get 503.
  std::set<std::string> Cut;            ///< Callers that get no answer.
  double LostAnswers = 0;               ///< Share of transactions.
  double LateEffects = 0;               ///< Share of transactions that take
                                        ///< effect seconds later, unanswered.
  Duration Latency{5};

  /// Writes a row as operators and workers do.
  void put(const std::string &Table, const std::string &Partition,
           const std::string &Key, const std::string &Value);

  /// Removes a row as the platform does.
  void remove(const std::string &Table, const std::string &Partition,
              const std::string &Key);

  /// Forgets the history, so that watches have to read anew.
  void compact();

  /// The value of a row; empty if there is none.
  std::string value(const std::string &Table, const std::string &Partition,
                    const std::string &Key) const;

  /// Transactions that took effect.
  int transactions() const { return Transactions; }

  /// The store as the caller \p Name sees it.
  class Handle final : public cell::MetadataStore {
  public:
    Handle(EmulatedStore &Store, std::string Name)
        : Store(Store), Name(std::move(Name)) {}
    void
    transact(const cell::Transaction &Changes,
             std::function<void(cell::TransactionResult)> Callback) override;
    void read(const std::string &Table, const std::string &Partition,
              const std::string &From,
              std::function<void(cell::ReadResult)> Callback) override;
    void watch(const std::string &Table, std::int64_t After, Duration Wait,
               std::function<void(cell::ReadResult)> Callback) override;

  private:
    EmulatedStore &Store;
    const std::string Name;
  };

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value;
    std::int64_t Version = 0;
  };
  struct Change {
    std::int64_t Version = 0;
    cell::StoredRow Row;
  };

  bool randomChance(double Share);
  bool isRefusing(const std::string &Caller) const;
  cell::TransactionResult apply(const cell::Transaction &Changes);
  void write(const Name &Key, const std::optional<std::string> &Value);
  void pollWatch(const std::string &Caller, const std::string &Table,
                 std::int64_t After, TimePoint Until,
                 const std::function<void(cell::ReadResult)> &Callback);

  VirtualTime &Time;
  std::mt19937_64 Random;
  std::map<Name, Row> Rows;
  std::vector<Change> History;
  std::int64_t Version = 0;
  std::int64_t Compacted = 0; ///< Changes up to this version are forgotten.
  int Transactions = 0;
};

} // namespace apricotwing::emulator

#endif
