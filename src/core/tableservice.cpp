#include "core/tableservice.h"

#include "core/error.h"

namespace apricotwing {

CommitResult commitWithRetry(TableService &Table, const Transaction &Change,
                             const std::string &DecidingKey, int Attempts) {
  bool InDoubt = false;
  for (int Attempt = 1;; ++Attempt) {
    try {
      if (Table.transact(Change) == CommitResult::Committed)
        return CommitResult::Committed;
      const std::optional<Row> Deciding = Table.read(DecidingKey);
      const bool CommittedEarlier =
          Deciding && Deciding->Transaction == Change.Id;
      return CommittedEarlier ? CommitResult::Committed
                              : CommitResult::Conflict;
    } catch (const Error &Failure) {
      InDoubt |= Failure.kind() == ErrorKind::StoreUnknownOutcome;
      if (Attempt < Attempts)
        continue;
      // The rejection of this attempt does not settle the outcome of an earlier
      // attempt that may have committed.
      if (InDoubt && Failure.kind() != ErrorKind::StoreUnknownOutcome)
        throw Error(ErrorKind::StoreUnknownOutcome, Failure.what(),
                    Failure.remedy(), Outcome::Unknown);
      throw;
    }
  }
}

} // namespace apricotwing
