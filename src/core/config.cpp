#include "core/config.h"

#include "core/error.h"

#include <algorithm>
#include <cctype>

namespace apricotwing {

namespace {

constexpr std::uint32_t MaxShare = 10000;
constexpr std::uint32_t MaxSlots = 10000;
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t Sha256HexLength = 64;

[[noreturn]] void reject(const std::string &Message, std::string Remedy) {
  throw Error(ErrorKind::BadRequest, Message, std::move(Remedy));
}

void checkName(const std::string &What, const std::string &Name) {
  const bool Valid =
      !Name.empty() && Name.size() <= MaxNameLength &&
      std::all_of(Name.begin(), Name.end(), [](unsigned char Letter) {
        return std::isalnum(Letter) != 0 || Letter == '.' || Letter == '_' ||
               Letter == '-';
      });
  if (!Valid)
    reject(What + " '" + Name + "' is not a valid name",
           "use 1 to 64 letters, digits, '.', '_' or '-'");
}

void checkHash(const std::string &Hash) {
  const bool Valid =
      Hash.size() == Sha256HexLength &&
      Hash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!Valid)
    reject("the key's sha256 is malformed",
           "give 64 lower-case hexadecimal digits");
}

template <typename Map>
void eraseExisting(Map &Entries, const std::string &What,
                   const std::string &Name) {
  if (Entries.erase(Name) == 0)
    reject(What + " '" + Name + "' does not exist",
           "list what exists with 'apricotwing config show'");
}

/// Applies changes, one at a time, to the referenced configuration.
class ChangeApplier {
public:
  explicit ChangeApplier(Config &Document) : Document(Document) {}

  void operator()(const SetTeam &Change) {
    checkName("team", Change.Team);
    if (Change.Value.Share < 1 || Change.Value.Share > MaxShare)
      reject("the share of team '" + Change.Team + "' is out of range",
             "use a share from 1 to 10000");
    if (!Change.Value.Limit.Tasks.isNonNegative())
      reject("a limit of team '" + Change.Team + "' is negative",
             "use limits of 0 or more");
    Document.Teams[Change.Team] = Change.Value;
  }

  void operator()(const RemoveTeam &Change) {
    for (const auto &[Id, Key] : Document.Keys)
      if (Key.Team == Change.Team)
        reject("team '" + Change.Team + "' still has the key '" + Id + "'",
               "revoke the team's keys in the same proposal first");
    eraseExisting(Document.Teams, "team", Change.Team);
  }

  void operator()(const AddKey &Change) {
    checkName("key", Change.Key);
    checkHash(Change.Value.Sha256);
    if (!Document.Teams.contains(Change.Value.Team))
      reject("team '" + Change.Value.Team + "' does not exist",
             "set the team in the same proposal first");
    if (Document.Keys.contains(Change.Key))
      reject("key '" + Change.Key + "' exists already",
             "choose another key id, or revoke the old key first");
    if (Document.teamOfKeyHash(Change.Value.Sha256))
      reject("another key has the same sha256", "generate a new key");
    Document.Keys[Change.Key] = Change.Value;
  }

  void operator()(const RevokeKey &Change) {
    eraseExisting(Document.Keys, "key", Change.Key);
  }

  void operator()(const SetLabel &Change) {
    checkName("worker", Change.Worker);
    checkName("label", Change.Label);
    Document.WorkerLabels[Change.Worker][Change.Label] = Change.Value;
  }

  void operator()(const RemoveLabel &Change) {
    const auto Found = Document.WorkerLabels.find(Change.Worker);
    if (Found == Document.WorkerLabels.end())
      reject("worker '" + Change.Worker + "' has no labels set",
             "list the labels with 'apricotwing config show'");
    eraseExisting(Found->second, "label", Change.Label);
    if (Found->second.empty())
      Document.WorkerLabels.erase(Found);
  }

  void operator()(const SetUpstream &Change) {
    checkName("upstream", Change.Upstream);
    if (Change.Value.Slots < 1 || Change.Value.Slots > MaxSlots ||
        Change.Value.Connections < Change.Value.Slots)
      reject("slots or connections of upstream '" + Change.Upstream +
                 "' are out of range",
             "use 1 to 10000 slots and at least as many connections");
    Document.Upstreams[Change.Upstream] = Change.Value;
  }

  void operator()(const RemoveUpstream &Change) {
    eraseExisting(Document.Upstreams, "upstream", Change.Upstream);
  }

  void operator()(const SetPolicy &Change) {
    Document.Policies[Change.Kind] = Change.Value;
  }

  void operator()(const DrainWorker &Change) {
    checkName("worker", Change.Worker);
    Document.DrainedWorkers[Change.Worker] = true;
  }

  void operator()(const UndrainWorker &Change) {
    eraseExisting(Document.DrainedWorkers, "drained worker", Change.Worker);
  }

private:
  Config &Document;
};

} // namespace

std::optional<TeamName> Config::teamOfKeyHash(std::string_view Sha256) const {
  for (const auto &[Id, Key] : Keys)
    if (Key.Sha256 == Sha256)
      return Key.Team;
  return std::nullopt;
}

Config applyChanges(const Config &Base,
                    const std::vector<ConfigChange> &Changes) {
  if (Changes.empty())
    reject("the proposal has no changes", "add at least one change");
  Config Result = Base;
  ChangeApplier Applier(Result);
  for (const ConfigChange &Change : Changes)
    std::visit(Applier, Change);
  Result.Version = Base.Version + 1;
  return Result;
}

} // namespace apricotwing
