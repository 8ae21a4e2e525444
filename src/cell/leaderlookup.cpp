#include "cell/leaderlookup.h"

#include "cell/codec.h"

#include <xxhash.h>

#include <utility>

namespace apricotwing::cell {

LeaderLookup::LeaderLookup(PeerTransport &Transport, int Shard,
                           const std::string &Instance)
    : Transport(Transport), Shard(Shard),
      NextContact(XXH3_64bits(Instance.data(), Instance.size())) {}

void LeaderLookup::ask(const std::vector<std::string> &Contacts,
                       std::function<void(const LeaderRecord &)> OnFound) {
  if (InFlight || Contacts.empty())
    return;
  InFlight = true;
  const std::string &Address = Contacts[NextContact++ % Contacts.size()];
  Transport.post(Address, encode(LeaderQuery{Shard}), Timeout,
                 Guard.wrap([this, OnFound = std::move(OnFound)](
                                const PeerResult &Result) {
                   InFlight = false;
                   const auto Answer = Result.Reply
                                           ? decodeLeaderAnswer(*Result.Reply)
                                           : std::nullopt;
                   if (Answer && Answer->Leader)
                     OnFound(*Answer->Leader);
                 }));
}

} // namespace apricotwing::cell
