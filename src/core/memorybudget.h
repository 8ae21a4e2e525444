/// \file
/// Limit of the memory that accepted work takes.
#ifndef APRICOTWING_CORE_MEMORYBUDGET_H
#define APRICOTWING_CORE_MEMORYBUDGET_H

#include <cstddef>
#include <map>
#include <string>

namespace apricotwing {

/// Accounts for the memory of accepted work by client account and decides what
/// may be added. Answers a load of callers who hand in more work than a leader
/// can hold: it would end, and with it each leader that loads the work from the
/// store. An account may hold as much as is left to the others, so one that
/// takes all it can get leaves half, and n of them leave 1 / (n + 1), for
/// accounts that hold less. Work that was added is never refused later, even if
/// the limit has been lowered. Owned by the scheduler of a shard; not
/// thread-safe.
class MemoryBudget {
public:
  /// \p Limit is in bytes.
  explicit MemoryBudget(std::size_t Limit) : Limit(Limit) {}

  /// True if new work of \p Account may take \p Bytes now.
  bool admits(const std::string &Account, std::size_t Bytes) const;

  /// False if work of \p Bytes is refused even if there is no other.
  bool canAdmit(std::size_t Bytes) const { return Bytes <= Limit; }

  /// Adds work, whether it is admitted or not.
  void add(const std::string &Account, std::size_t Bytes);

  /// Removes \p Bytes. Precondition: the account holds them.
  void remove(const std::string &Account, std::size_t Bytes);

  /// Bytes of all accounts.
  std::size_t held() const { return Held; }

private:
  const std::size_t Limit;
  std::size_t Held = 0;
  std::map<std::string, std::size_t> ByAccount;
};

} // namespace apricotwing

#endif
