#include "wire/runcodec.h"

#include "wire/jsonconvert.h"
#include "wire/jsonreader.h"

namespace apricotwing {

namespace {

Json toJson(const RunView &View) {
  Json Result = toJson(View.Record);
  Result["pending"] = View.PendingTasks;
  Result["why_pending"] = View.PendingReason;
  return Result;
}

RunView readRunView(JsonReader &Reader) {
  return {readRunRecord(Reader), Reader.number<std::uint32_t>("pending"),
          Reader.string("why_pending")};
}

} // namespace

RunSpec decodeRunSpec(const std::string &Text) {
  RunSpec Spec = decodeRequest(Text, UnknownFields::Rejected, readRunSpec);
  validate(Spec);
  return Spec;
}

std::string encodeRunSpec(const RunSpec &Spec) {
  return dumpJson(toJson(Spec));
}

std::string runDigestInput(const RunSpec &Spec) {
  Json Value = toJson(Spec);
  Value.erase("idempotency_key");
  return dumpJson(Value);
}

std::string encodeRunAccepted(const RunAccepted &Answer) {
  return dumpJson({{"run", Answer.Run}, {"state", runStateName(Answer.State)}});
}

RunAccepted decodeRunAccepted(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return RunAccepted{Reader.string("run"),
                       parseRunState(Reader.string("state"))};
  });
}

std::string encodeRunView(const RunView &View) {
  return dumpJson(toJson(View));
}

RunView decodeRunView(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, readRunView);
}

std::string encodeRunPage(const RunPage &Page) {
  Json Runs = Json::array();
  for (const RunView &View : Page.Runs)
    Runs.push_back(toJson(View));
  return dumpJson({{"runs", std::move(Runs)}, {"more", Page.HasMore}});
}

RunPage decodeRunPage(const std::string &Text) {
  return decodeBody(Text, UnknownFields::Ignored, [](JsonReader &Reader) {
    return RunPage{Reader.list("runs", readRunView), Reader.boolean("more")};
  });
}

} // namespace apricotwing
