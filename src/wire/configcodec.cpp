#include "wire/configcodec.h"

#include "wire/jsonconvert.h"
#include "wire/jsonreader.h"

namespace apricotwing {

namespace {

std::vector<ConfigChange> readChanges(JsonReader &Reader, KeyHashes Hashes) {
  return Reader.list("changes", [Hashes](JsonReader &Change) {
    return readConfigChange(Change, Hashes);
  });
}

Json toJson(const ProposalRecord &Record) {
  return {{"proposal", Record.Id},
          {"base", Record.BaseVersion},
          {"changes", toJson(Record.Changes, KeyHashes::Omitted)},
          {"proposed_by", Record.ProposedBy},
          {"decided_by", Record.DecidedBy},
          {"state", proposalStateName(Record.State)}};
}

ProposalRecord readProposal(JsonReader &Reader) {
  ProposalRecord Record;
  Record.Id = Reader.string("proposal");
  Record.BaseVersion = Reader.number<std::uint64_t>("base");
  Record.Changes = readChanges(Reader, KeyHashes::Omitted);
  Record.ProposedBy = Reader.string("proposed_by");
  Record.DecidedBy = Reader.string("decided_by");
  Record.State = parseProposalState(Reader.string("state"));
  return Record;
}

Json toJson(const HistoryRecord &Record) {
  return {{"version", Record.Version},
          {"proposal", Record.Proposal},
          {"proposed_by", Record.ProposedBy},
          {"signed_by", Record.SignedBy},
          {"changes", toJson(Record.Changes, KeyHashes::Omitted)}};
}

HistoryRecord readHistory(JsonReader &Reader) {
  HistoryRecord Record;
  Record.Version = Reader.number<std::uint64_t>("version");
  Record.Proposal = Reader.string("proposal");
  Record.ProposedBy = Reader.string("proposed_by");
  Record.SignedBy = Reader.string("signed_by");
  Record.Changes = readChanges(Reader, KeyHashes::Omitted);
  return Record;
}

template <typename Record>
std::string encodeList(const char *Field, const std::vector<Record> &Records) {
  Json List = Json::array();
  for (const Record &Element : Records)
    List.push_back(toJson(Element));
  return dumpJson({{Field, std::move(List)}});
}

} // namespace

ProposalRequest decodeProposalRequest(const std::string &Text) {
  return decodeRequest(Text, UnknownFields::Rejected, [](JsonReader &Reader) {
    ProposalRequest Request{Reader.number<std::uint64_t>("base"),
                            readChanges(Reader, KeyHashes::Included)};
    Reader.rejectUnknownFields();
    return Request;
  });
}

std::string encodeProposalRequest(const ProposalRequest &Request) {
  return dumpJson({{"base", Request.BaseVersion},
                   {"changes", toJson(Request.Changes, KeyHashes::Included)}});
}

std::vector<ConfigChange> decodeChanges(const std::string &Text) {
  const Json Body = {{"changes", parseJson(Text)}};
  JsonReader Reader(Body, UnknownFields::Rejected);
  return readChanges(Reader, KeyHashes::Included);
}

std::string encodeChange(const ConfigChange &Change) {
  return dumpJson(toJson(Change, KeyHashes::Omitted));
}

std::string encodeProposalCreated(const std::string &Proposal) {
  return dumpJson({{"proposal", Proposal}});
}

std::string decodeProposalCreated(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.string("proposal");
  });
}

std::string encodeConfigVersion(std::uint64_t Version) {
  return dumpJson({{"version", Version}});
}

std::uint64_t decodeConfigVersion(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.number<std::uint64_t>("version");
  });
}

std::string encodeConfigView(const Config &Document) {
  return dumpJson(toJson(Document, KeyHashes::Omitted));
}

Config decodeConfigView(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return readConfig(Reader, KeyHashes::Omitted);
  });
}

std::string encodeProposals(const std::vector<ProposalRecord> &Proposals) {
  return encodeList("proposals", Proposals);
}

std::vector<ProposalRecord> decodeProposals(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.list("proposals", readProposal);
  });
}

std::string encodeHistory(const std::vector<HistoryRecord> &History) {
  return encodeList("history", History);
}

std::vector<HistoryRecord> decodeHistory(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return Reader.list("history", readHistory);
  });
}

} // namespace apricotwing
