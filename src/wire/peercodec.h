/// \file
/// Bodies of the messages between entry instances.
#ifndef APRICOTWING_WIRE_PEERCODEC_H
#define APRICOTWING_WIRE_PEERCODEC_H

#include "core/platform.h"
#include "core/records.h"

#include <string>

namespace apricotwing {

/// Bodies of the messages; the owner's view of a run has the form of
/// runcodec.h. Decoding throws Error(BadRequest); requests with unknown
/// fields are accepted, since instances of two versions meet in an update.
/// Thread-safe.
std::string encodePromiseRequest(const SessionId &Asker);
SessionId decodePromiseRequest(const std::string &Text);
std::string encodePromise(const PeerPromise &Promise);
PeerPromise decodePromise(const std::string &Text);
std::string encodeNotify(const ShardId &Shard);
ShardId decodeNotify(const std::string &Text);

} // namespace apricotwing

#endif
