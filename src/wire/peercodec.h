/// \file
/// JSON bodies of the messages between entry instances.
#ifndef APRICOTWING_WIRE_PEERCODEC_H
#define APRICOTWING_WIRE_PEERCODEC_H

#include "core/platform.h"
#include "core/records.h"

#include <string>

namespace apricotwing {

/// Encode and decode messages between instances. A run that an owner sends to
/// another instance is encoded as in runcodec.h. Decoding throws
/// Error(BadRequest) for a malformed body. It ignores unknown fields, since
/// instances of two versions run side by side during an update. Thread-safe.
std::string encodePromiseRequest(const SessionId &Requester);
SessionId decodePromiseRequest(const std::string &Text);
std::string encodePromise(const PeerPromise &Promise);
PeerPromise decodePromise(const std::string &Text);
std::string encodeNotify(const ShardId &Shard);
ShardId decodeNotify(const std::string &Text);

} // namespace apricotwing

#endif
