#include "core/keyauthenticator.h"

#include "core/error.h"

#include <utility>

namespace apricotwing {

namespace {

constexpr std::string_view Scheme = "Bearer ";

[[noreturn]] void throwUnknownKey(const std::string &Message) {
  throw Error(ErrorKind::UnknownKey, Message,
              "send 'Authorization: Bearer <key>' with a key that an operator "
              "has added and not revoked");
}

/// Compares in constant time, so that timing does not reveal where texts of
/// equal length differ.
bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= unsigned(Left[I]) ^ unsigned(Right[I]);
  return Difference == 0;
}

} // namespace

KeyAuthenticator::KeyAuthenticator(const Config &Value,
                                   const std::vector<OwnerKey> &Owners,
                                   Sha256Function Hash)
    : Hash(std::move(Hash)) {
  for (const auto &[Id, Key] : Value.Keys)
    ByHash[Key.Sha256] = {Caller::Kind::Team, Key.Team, Key.Sha256};
  for (const OwnerKey &Owner : Owners)
    ByHash[Owner.Sha256] = {Caller::Kind::Owner, Owner.Name, Owner.Sha256};
}

Caller KeyAuthenticator::authenticate(std::string_view Header) const {
  if (!Header.starts_with(Scheme) || Header.size() == Scheme.size())
    throwUnknownKey("the request has no bearer key");
  const std::string Digest = Hash(Header.substr(Scheme.size()));
  // The lookup is by hash. Its timing can only leak information about a hash,
  // and the sender cannot choose a key whose hash approaches a stored one.
  const auto It = ByHash.find(Digest);
  if (It == ByHash.end() || !equalInConstantTime(It->first, Digest))
    throwUnknownKey("the key is unknown or has been revoked");
  return It->second;
}

Caller KeyAuthenticator::authenticateTeam(std::string_view Header) const {
  Caller Result = authenticate(Header);
  if (Result.CallerKind != Caller::Kind::Team)
    throw Error(ErrorKind::Forbidden, "the key belongs to a co-owner",
                "use a key of a team for requests and runs");
  return Result;
}

Caller KeyAuthenticator::authenticateOwner(std::string_view Header) const {
  Caller Result = authenticate(Header);
  if (Result.CallerKind != Caller::Kind::Owner)
    throw Error(ErrorKind::Forbidden, "the key belongs to a team",
                "use the key of a co-owner to change the configuration");
  return Result;
}

} // namespace apricotwing
