/// \file
/// JSON bodies of the clients' API for runs.
#ifndef APRICOTWING_WIRE_RUNCODEC_H
#define APRICOTWING_WIRE_RUNCODEC_H

#include "core/run.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwing {

/// The answer to a submission.
struct RunAccepted {
  RunId Run;
  RunState State = RunState::Accepted;
};

/// A run in the answers to clients.
struct RunView {
  RunRecord Record;
  std::uint32_t PendingTasks = 0; ///< Tasks that neither run nor have ended.
  std::string PendingReason;      ///< Empty if no task waits.
};

/// One page of a team's runs, in the order of run ids.
struct RunPage {
  std::vector<RunView> Runs;
  bool HasMore = false; ///< There are runs after the last one.
};

/// Decodes and validates a submission. Absent fields get the defaults of
/// RunSpec; kind, resources and idempotency_key are required. Throws
/// Error(BadRequest) for an unknown field, a wrong type, a number out of range
/// or a violated rule of validate(). Thread-safe.
RunSpec decodeRunSpec(const std::string &Text);

/// Encodes a submission. Throws Error(Internal) for a string that is not UTF-8.
/// Thread-safe.
std::string encodeRunSpec(const RunSpec &Spec);

/// Returns the canonical text of a specification without its idempotency key,
/// as input for a digest. Equal specifications have equal text, however they
/// were written. Throws Error(Internal) for a string that is not UTF-8.
/// Thread-safe.
std::string runDigestInput(const RunSpec &Spec);

/// Encode and decode the bodies of answers. Decoding throws Error(BadRequest)
/// for a malformed body and ignores unknown fields. Thread-safe.
std::string encodeRunAccepted(const RunAccepted &Answer);
RunAccepted decodeRunAccepted(const std::string &Text);
std::string encodeRunView(const RunView &View);
RunView decodeRunView(const std::string &Text);
std::string encodeRunPage(const RunPage &Page);
RunPage decodeRunPage(const std::string &Text);

} // namespace apricotwing

#endif
