/// \file
/// Emulation of the platform's metadata store in virtual time.
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

/// Stores rows under one increasing version. Tests inject faults by setting the
/// public fields while the emulation runs. Not thread-safe.
class EmulatedStore {
public:
  EmulatedStore(VirtualTime &Time, std::uint64_t Seed)
      : Time(Time), Random(Seed) {}

  // Injected faults.
  bool Down = false;                    ///< All calls get status 503.
  std::set<std::string> RefusedCallers; ///< Callers that get status 503.
  std::set<std::string> Cut;            ///< Callers that get no response.
  std::set<std::string> SilentTables;   ///< Reads of them get no response.
  double LostAnswers = 0; ///< Fraction of transactions without a response.
  double LateEffects = 0; ///< Fraction of transactions that are applied seconds
                          ///< later, without a response.
  Duration Latency = UsualLatency;
  static constexpr Duration UsualLatency{5};
  /// Rate at which the pages of a read and the changes of a transaction arrive,
  /// in bytes per millisecond; 0: at once.
  std::size_t BytesPerMs = 0;

  /// Ends all injected faults.
  void endFaults();

  /// True if a fault is injected.
  bool hasFaults() const;

  /// Lets the open connections of \p Caller deliver nothing more: its calls in
  /// flight get no response, and neither do the next \p Idle ones, each of
  /// which takes one of the idle connections.
  void silenceConnections(const std::string &Caller, int Idle);

  /// Writes a row like an operator or a worker.
  void put(const std::string &Table, const std::string &Partition,
           const std::string &Key, const std::string &Value);

  /// Removes a row like the platform.
  void remove(const std::string &Table, const std::string &Partition,
              const std::string &Key);

  /// Drops the change history, so that watchers have to read the whole table
  /// again.
  void compact();

  /// The value of a row; empty if the row does not exist.
  std::string value(const std::string &Table, const std::string &Partition,
                    const std::string &Key) const;

  /// Number of rows of a table in all partitions.
  std::size_t rowCount(const std::string &Table) const;

  /// Number of applied transactions.
  int transactions() const { return Transactions; }

  /// Number of transactions that were beyond the limits of the store, which
  /// answers 400 to them, however often they are sent.
  int tooLarge() const { return TooLarge; }

  /// Client of the store for the caller \p Name.
  class Handle final : public cell::MetadataStore {
  public:
    Handle(EmulatedStore &Store, std::string Name)
        : Store(Store), Name(std::move(Name)) {}
    void
    transact(const cell::Transaction &Changes,
             std::function<void(cell::TransactionResult)> Callback) override;
    void read(const std::string &Table, const std::string &Partition,
              const std::string &From, std::size_t MaxRows,
              std::function<void(cell::ReadResult)> Callback) override;
    void watch(const std::string &Table, std::int64_t After, Duration Wait,
               std::function<void(cell::ReadResult)> Callback) override;
    void readChanges(const std::string &Table, std::int64_t After,
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

  /// Time that \p Bytes take to arrive.
  Duration transferTime(std::size_t Bytes) const {
    return Duration(BytesPerMs > 0 ? Bytes / BytesPerMs : 0);
  }
  bool randomChance(double Share);
  bool isRefusing(const std::string &Caller) const;
  /// Wraps the callback of a call that \p Caller sends now, so that it reports
  /// no response after \p Timeout if the call's connection falls silent.
  template <typename Result>
  std::function<void(Result)>
  overConnection(const std::string &Caller, Duration Timeout,
                 std::function<void(Result)> Callback);
  cell::TransactionResult apply(const cell::Transaction &Changes);
  void write(const Name &Key, const std::optional<std::string> &Value);
  void readPage(const std::string &Caller, const std::string &Table,
                const std::string &Partition, const std::string &From,
                std::size_t MaxRows,
                const std::function<void(cell::ReadResult)> &Callback);
  void pollWatch(const std::string &Caller, const std::string &Table,
                 std::int64_t After, TimePoint Until,
                 const std::function<void(cell::ReadResult)> &Callback);

  VirtualTime &Time;
  std::mt19937_64 Random;
  std::map<Name, Row> Rows;
  std::vector<Change> History;
  std::int64_t Version = 0;
  std::int64_t Compacted = 0; ///< Changes up to this version are dropped.
  int Transactions = 0;
  int TooLarge = 0;
  std::map<std::string, int> SilentConnections; ///< Idle ones, by caller.
  std::map<std::string, int> TimesSilenced;     ///< By caller.
};

} // namespace apricotwing::emulator

#endif
