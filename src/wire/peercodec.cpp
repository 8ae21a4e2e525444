#include "wire/peercodec.h"

#include "wire/jsonreader.h"

namespace apricotwing {

std::string encodePromiseRequest(const SessionId &Requester) {
  return dumpJson(
      {{"from", Requester.Instance}, {"epoch", Requester.SessionEpoch}});
}

SessionId decodePromiseRequest(const std::string &Text) {
  return decodeRequest(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return SessionId{Reader.string("from"), Reader.number<Epoch>("epoch")};
  });
}

std::string encodePromise(const PeerPromise &Promise) {
  return dumpJson({{"store_reachable", Promise.StoreReachable},
                   {"promise_ms", Promise.PromisedFor.count()},
                   {"config_version", Promise.ConfigVersion}});
}

PeerPromise decodePromise(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return PeerPromise{Reader.boolean("store_reachable"),
                       Duration(Reader.number<std::uint32_t>("promise_ms")),
                       Reader.number<std::uint64_t>("config_version")};
  });
}

std::string encodeNotify(const ShardId &Shard) {
  return dumpJson({{"shard", Shard}});
}

ShardId decodeNotify(const std::string &Text) {
  return decodeRequest(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.string("shard");
  });
}

} // namespace apricotwing
