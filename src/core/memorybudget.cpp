#include "core/memorybudget.h"

namespace apricotwing {

bool MemoryBudget::admits(const std::string &Account, std::size_t Bytes) const {
  const std::size_t Free = Limit > Held ? Limit - Held : 0;
  const auto Found = ByAccount.find(Account);
  const std::size_t Own = Found == ByAccount.end() ? 0 : Found->second;
  return Own + Bytes <= Free;
}

void MemoryBudget::add(const std::string &Account, std::size_t Bytes) {
  Held += Bytes;
  ByAccount[Account] += Bytes;
}

void MemoryBudget::remove(const std::string &Account, std::size_t Bytes) {
  Held -= Bytes;
  const auto Found = ByAccount.find(Account);
  Found->second -= Bytes;
  if (Found->second == 0)
    ByAccount.erase(Found);
}

} // namespace apricotwing
