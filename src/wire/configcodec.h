/// \file
/// JSON bodies of the operators' API for the configuration. Answers never
/// contain the hashes of keys, so the hashes in decoded answers are empty.
#ifndef APRICOTWING_WIRE_CONFIGCODEC_H
#define APRICOTWING_WIRE_CONFIGCODEC_H

#include "core/config.h"
#include "core/records.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwing {

/// Changes that an operator proposes, and the version that they apply to.
struct ProposalRequest {
  std::uint64_t BaseVersion = 0;
  std::vector<ConfigChange> Changes;
};

/// Parses a proposal. Throws Error(BadRequest) for an unknown operation or
/// field, a wrong type or a number out of range. Does not check the rules of
/// applyChanges(). Thread-safe.
ProposalRequest decodeProposalRequest(const std::string &Text);

/// Encodes a proposal, including the hashes of added keys. Throws
/// Error(Internal) for a string that is not UTF-8. Thread-safe.
std::string encodeProposalRequest(const ProposalRequest &Request);

/// Parses a list of changes from an operator's file. Its format is that of
/// "changes" in a proposal. Throws Error(BadRequest). Thread-safe.
std::vector<ConfigChange> decodeChanges(const std::string &Text);

/// Encodes one change, without the hash of a key. Throws Error(Internal) for a
/// string that is not UTF-8. Thread-safe.
std::string encodeChange(const ConfigChange &Change);

/// Encode and decode the bodies of answers. Decoding throws Error(BadRequest)
/// for a malformed body and ignores unknown fields. Thread-safe.
std::string encodeProposalCreated(const std::string &Proposal);
std::string decodeProposalCreated(const std::string &Text);
std::string encodeConfigVersion(std::uint64_t Version);
std::uint64_t decodeConfigVersion(const std::string &Text);
std::string encodeConfigView(const Config &Document);
Config decodeConfigView(const std::string &Text);
std::string encodeProposals(const std::vector<ProposalRecord> &Proposals);
std::vector<ProposalRecord> decodeProposals(const std::string &Text);
std::string encodeHistory(const std::vector<HistoryRecord> &History);
std::vector<HistoryRecord> decodeHistory(const std::string &Text);

} // namespace apricotwing

#endif
