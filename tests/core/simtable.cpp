#include "simtable.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace apricotwing::simulation {

CommitResult SimStore::commit(const Transaction &Change) {
  for (const RowCondition &Condition : Change.Conditions) {
    const auto Found = Rows.find(Condition.Key);
    const RowVersion Present = Found == Rows.end() ? 0 : Found->second.Version;
    if (Present != Condition.Version)
      return CommitResult::Conflict;
  }
  ++Revision;
  ++Writes;
  for (const RowWrite &Write : Change.Writes) {
    if (!Write.Value) {
      Rows.erase(Write.Key);
      continue;
    }
    Rows[Write.Key] = {Write.Key, Revision, Change.Id, *Write.Value};
  }
  OnCommit(Change);
  return CommitResult::Committed;
}

void SimStore::applyDelayedWrites() {
  for (const Transaction &Change : std::exchange(Delayed, {}))
    commit(Change);
}

void SimPort::beginCall() {
  InjectDelay();
  if (Store.isDownFor(Caller))
    throw Error(ErrorKind::StoreUnavailable, "the table service is down",
                "wait");
}

CommitResult SimPort::transact(const Transaction &Change) {
  const Error Open(ErrorKind::StoreUnknownOutcome, "no answer", "resubmit",
                   Outcome::Unknown);
  beginCall();
  if (Store.DelayWrites > 0) {
    --Store.DelayWrites;
    Store.Delayed.push_back(Change);
    throw Open;
  }
  const CommitResult Result = Store.commit(Change);
  InjectDelay();
  if (Store.LoseResponses > 0) {
    --Store.LoseResponses;
    throw Open;
  }
  return Result;
}

std::optional<Row> SimPort::read(const std::string &Key) {
  beginCall();
  ++Store.Reads;
  const auto Found = Store.Rows.find(Key);
  std::optional<Row> Result;
  if (Found != Store.Rows.end())
    Result = Found->second;
  InjectDelay();
  return Result;
}

std::vector<Row> SimPort::scan(const std::string &Prefix,
                               const std::string &After, std::uint32_t Limit) {
  beginCall();
  ++Store.Reads;
  std::vector<Row> Result;
  for (auto It = Store.Rows.lower_bound(Prefix);
       It != Store.Rows.end() && It->first.starts_with(Prefix); ++It)
    if (It->first > After && Result.size() < Limit)
      Result.push_back(It->second);
  InjectDelay();
  return Result;
}

std::optional<std::string> SimObjects::read(const std::string &Name) {
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return std::nullopt;
  return Found->second;
}

} // namespace apricotwing::simulation
