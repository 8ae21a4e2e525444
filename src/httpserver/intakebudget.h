/// \file
/// Limits on the memory and the connections that the clients of a process's
/// HTTP servers can occupy.
#ifndef APRICOTWING_HTTPSERVER_INTAKEBUDGET_H
#define APRICOTWING_HTTPSERVER_INTAKEBUDGET_H

#include "core/nametable.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace apricotwing {

/// The server of a process that a connection belongs to. Peers have a part of
/// the bytes of their own; callers and the probe share the other part.
enum class IntakePart { Callers, Probe, Peers };
inline constexpr std::size_t IntakePartCount = 3;
inline constexpr NameTable<IntakePart, IntakePartCount> IntakePartNames = {{
    {IntakePart::Callers, "callers"},
    {IntakePart::Probe, "probe"},
    {IntakePart::Peers, "peers"},
}};

/// Why a connection was closed, or a request refused.
enum class IntakeRefusal { Memory, Address, Slow, Connections, Waiting };

inline constexpr NameTable<IntakeRefusal, 5> IntakeRefusalNames = {{
    {IntakeRefusal::Memory, "memory"},
    {IntakeRefusal::Address, "address"},
    {IntakeRefusal::Slow, "slow"},
    {IntakeRefusal::Connections, "connections"},
    {IntakeRefusal::Waiting, "waiting"},
}};

/// Limits of one server.
struct IntakePartLimits {
  std::size_t Bytes = 0;
  std::size_t Connections = 0;
};

struct IntakeLimits {
  std::array<IntakePartLimits, IntakePartCount> Parts; ///< By IntakePart.
  std::size_t BytesPerAddress = 0; ///< Of one client address; 0: unlimited.
  Duration RequestTimeout{30'000}; ///< From its first byte to its last one.
  std::size_t LingeringCloses = 256;
};

/// Memory that RESTinio needs at most for \p Input of a request. It holds the
/// bytes in strings and 16 bytes for each chunk in an array, both of which
/// double as they grow. The size line of a chunk has a carriage return.
/// Thread-safe.
std::size_t intakeCost(std::string_view Input);

/// Accounts for what each connection holds and chooses the connections to
/// close. Shared by the servers of a process, which report what happens on
/// their connections. Thread-safe.
class IntakeBudget {
public:
  using Id = std::uint64_t;
  /// Closes the connection. Called with a lock held, so it must not call the
  /// budget before it returns.
  using Closer = std::function<void(IntakeRefusal)>;

  /// A connection that holds no more than this is closed because of the budget
  /// only if small ones alone exceed it by a quarter. A request of a few KiB
  /// stays below it.
  static constexpr std::size_t SmallBytes = std::size_t(16) << 10;

  explicit IntakeBudget(const IntakeLimits &Limits) : Limits(Limits) {}

  /// Registers a connection. If its server has too many, closes the one that
  /// has been idle or unfinished for longest.
  Id open(IntakePart Part, const std::string &Address, TimePoint Now,
          Closer Close);

  /// Adds \p Cost of a request that is being received. If a limit is exceeded,
  /// closes the connection that holds most.
  void received(Id Connection, std::size_t Cost, TimePoint Now);

  /// Returns whether another request of \p Part with \p BodyBytes may be handed
  /// to its handler, and counts a refusal if not. The connections of such
  /// requests cannot be closed, so a part of the connections is kept for new
  /// clients: a quarter, or a sixteenth of those of peers. Handlers make copies
  /// of bodies, so large requests together may count only half of the part's
  /// bytes; a single one is always admitted.
  bool admitsRequest(IntakePart Part, std::size_t BodyBytes);

  /// The request was handed to its handler: the connection is not closed
  /// before its response is written.
  void handedOver(Id Connection);

  /// A response with \p Bytes that are not written yet. The request is no
  /// longer counted.
  void writing(Id Connection, std::size_t Bytes, TimePoint Now);

  /// The response has been written; the next request may follow.
  void idle(Id Connection, TimePoint Now);

  /// The connection could not be closed because its request had been handed
  /// over meanwhile.
  void keep(Id Connection);

  /// Removes a connection.
  void remove(Id Connection);

  /// Closes the connections whose request has been unfinished for too long.
  void closeOverdue(TimePoint Now);

  /// Bytes that the connections of \p Part and of those that share it hold.
  std::size_t bytes(IntakePart Part) const;

  /// Number of connections that were closed for \p Reason.
  std::uint64_t refusals(IntakeRefusal Reason) const;

  std::size_t maxConnections(IntakePart Part) const {
    return Limits.Parts[std::size_t(Part)].Connections;
  }

  std::size_t maxLingeringCloses() const { return Limits.LingeringCloses; }

private:
  enum class State { Idle, Receiving, Handling, Writing };
  struct Entry {
    IntakePart Part = IntakePart::Callers;
    std::string Address;
    Closer Close;
    State Phase = State::Idle;
    std::size_t Bytes = 0;
    TimePoint Since; ///< Begin of the phase.
    bool Closing = false;
    IntakeRefusal Reason = IntakeRefusal::Memory;
  };

  void setBytes(Entry &Target, std::size_t Bytes);
  void setPhase(Entry &Target, State Phase);
  void hold(Entry &Target, State Phase, std::size_t NewBytes, TimePoint Now);
  void close(Entry &Target, IntakeRefusal Reason);
  void enforce(const Entry &Changed);
  bool closeLargest(const Entry &Like, IntakeRefusal Reason,
                    std::size_t MoreThan);

  const IntakeLimits Limits;
  mutable std::mutex Mutex;
  std::map<Id, Entry> Entries;
  Id NextId = 1;
  /// Of the connections that are not being closed, by IntakePart.
  std::array<std::size_t, IntakePartCount> Bytes{};
  std::array<std::size_t, IntakePartCount> Connections{};
  /// Of the connections whose request is with its handler.
  std::array<std::size_t, IntakePartCount> HandlingBytes{};
  std::array<std::size_t, IntakePartCount> Handling{};
  std::array<std::uint64_t, IntakeRefusalNames.size()> Refusals{};
};

} // namespace apricotwing

#endif
