/// \file
/// JSON bodies of the operators' lists of entry instances and workers.
#ifndef APRICOTWING_WIRE_INSTANCECODEC_H
#define APRICOTWING_WIRE_INSTANCECODEC_H

#include "core/platform.h"
#include "core/records.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwing {

/// An entry instance in the operators' list.
struct InstanceStatus {
  SessionId Id;
  std::string Address;
  std::string PeerAddress;
  std::string Zone;
  SessionState State = SessionState::Live;
  std::vector<ShardId> Shards; ///< Shards that the instance owns.
};

/// A worker in the operators' list.
struct WorkerStatus {
  ListedWorker Worker;
  Resources Reserved;
  std::uint32_t Tasks = 0; ///< Attempts that may be running.
  bool Drained = false;
  bool Quarantined = false;
  std::int64_t SinceLastAnswerMs = 0; ///< -1: unknown.
};

/// Encode and decode the bodies of answers. Decoding throws Error(BadRequest)
/// for a malformed body and ignores unknown fields. Thread-safe.
std::string encodeInstances(const std::vector<InstanceStatus> &Instances);
std::vector<InstanceStatus> decodeInstances(const std::string &Text);
std::string encodeWorkers(const std::vector<WorkerStatus> &Workers);
std::vector<WorkerStatus> decodeWorkers(const std::string &Text);

} // namespace apricotwing

#endif
