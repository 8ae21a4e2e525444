/// \file
/// JSON bodies of the messages to the platform: table service, instance list
/// and workers. The stand-ins of the tests use the same functions.
#ifndef APRICOTWING_WIRE_PLATFORMCODEC_H
#define APRICOTWING_WIRE_PLATFORMCODEC_H

#include "core/platform.h"
#include "core/tableservice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwing {

/// Parameters of a scan of the table service.
struct ScanRequest {
  std::string Prefix;
  std::string After;
  std::uint32_t Limit = 0;
};

/// The rows that a read or a scan returns.
struct RowPage {
  std::vector<Row> Rows;
  bool HasMore = false; ///< The scan has found more rows than its limit.
};

/// Messages of the table service. Decoding throws Error(BadRequest) for a
/// malformed body and ignores unknown fields. Encoding throws Error(Internal)
/// for a string that is not UTF-8. Thread-safe.
std::string encodeTransaction(const Transaction &Change);
Transaction decodeTransaction(const std::string &Text);
std::string encodeRevision(std::uint64_t Revision);
std::uint64_t decodeRevision(const std::string &Text);

/// Rows of a transaction whose condition did not hold, with their actual
/// versions.
std::string encodeConflicts(const std::vector<RowCondition> &Conflicts);
std::vector<RowCondition> decodeConflicts(const std::string &Text);
std::string encodeReadRequest(const std::vector<std::string> &Keys);
std::vector<std::string> decodeReadRequest(const std::string &Text);
std::string encodeScanRequest(const ScanRequest &Request);
ScanRequest decodeScanRequest(const std::string &Text);
std::string encodeRowPage(const RowPage &Page);
RowPage decodeRowPage(const std::string &Text);

/// Messages of the instance list, with the same errors as above. Thread-safe.
std::string encodeInstanceSnapshot(const InstanceSnapshot &Snapshot);
InstanceSnapshot decodeInstanceSnapshot(const std::string &Text);

/// Messages to and from workers, with the same errors as above. Thread-safe.
std::string encodeLeaseRenewal(const LeaseRenewal &Renewal);
LeaseRenewal decodeLeaseRenewal(const std::string &Text);
std::string encodeLeaseAnswer(const LeaseAnswer &Answer);
LeaseAnswer decodeLeaseAnswer(const std::string &Text);
std::string encodeTaskStart(const TaskStart &Start);
TaskStart decodeTaskStart(const std::string &Text);
std::string encodeTaskStop(const TaskStop &Stop);
TaskStop decodeTaskStop(const std::string &Text);

} // namespace apricotwing

#endif
