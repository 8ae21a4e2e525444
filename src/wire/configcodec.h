/// \file
/// Bodies of the operators' API for the configuration. Answers never contain
/// the hashes of keys, so decoded answers have empty ones.
#ifndef APRICOTWING_WIRE_CONFIGCODEC_H
#define APRICOTWING_WIRE_CONFIGCODEC_H

#include "core/config.h"
#include "core/records.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricotwing {

/// What an operator proposes.
struct ProposalRequest {
  std::uint64_t BaseVersion = 0;
  std::vector<ConfigChange> Changes;
};

/// Parses a proposal. Throws Error(BadRequest) for an unknown operation or
/// field, a wrong type or a number out of range; the rules of applyChanges()
/// are not checked. Thread-safe.
ProposalRequest decodeProposalRequest(const std::string &Text);

/// Body of a proposal, with the hashes of added keys. Throws Error(Internal)
/// for a string that is not UTF-8. Thread-safe.
std::string encodeProposalRequest(const ProposalRequest &Request);

/// Reads a list of changes as an operator writes it to a file: the value of
/// "changes" in a proposal. Throws Error(BadRequest). Thread-safe.
std::vector<ConfigChange> decodeChanges(const std::string &Text);

/// One change as JSON text without the hash of a key. Throws Error(Internal)
/// for a string that is not UTF-8. Thread-safe.
std::string encodeChange(const ConfigChange &Change);

/// Bodies of the answers. Decoding throws Error(BadRequest) and ignores
/// unknown fields. Thread-safe.
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
