/// \file
/// Asks other instances who leads a shard.
#ifndef APRICOTWING_CELL_LEADERLOOKUP_H
#define APRICOTWING_CELL_LEADERLOOKUP_H

#include "cell/callbackguard.h"
#include "cell/messages.h"
#include "cell/ports.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace apricotwing::cell {

/// Finds the leader of a shard while the store does not answer this instance,
/// by asking instances that may reach it. The answer is a hint: a leader proves
/// itself by answering in its term. Owned by a ShardAgent and used on its
/// thread only.
class LeaderLookup {
public:
  /// Instances ask their contacts in an order that depends on \p Instance, so
  /// that they do not all ask the same one.
  LeaderLookup(PeerTransport &Transport, int Shard,
               const std::string &Instance);

  /// Asks the next of \p Contacts, which are addresses of instances, and passes
  /// the leader that it names to \p OnFound. Does nothing if there are no
  /// contacts or a question is still unanswered.
  void ask(const std::vector<std::string> &Contacts,
           std::function<void(const LeaderRecord &)> OnFound);

  /// Maximum time for an answer.
  static constexpr Duration Timeout{250};

private:
  PeerTransport &Transport;
  const int Shard;
  std::size_t NextContact;
  bool InFlight = false;
  CallbackGuard Guard;
};

} // namespace apricotwing::cell

#endif
