#include "cli/keycommands.h"

#include "cli/keyfile.h"
#include "cli/proposal.h"
#include "cli/report.h"
#include "httpclient/crypto.h"

#include <unistd.h>

#include <array>

namespace apricotwing {

namespace {

constexpr std::array OutOption = {
    OptionInfo{"out", "FILE", "", "new file for the key; the only copy"},
};

std::string outFile(const Invocation &Call) {
  if (!Call.Options.has("out"))
    throw UsageError("no file for the key is given", "write --out FILE");
  return Call.Options.value("out");
}

ExitCode listKeys(Invocation &Call) {
  Report Result({"key", "team"});
  for (const auto &[Id, Key] : readConfig(Call).Keys)
    Result.add({Id, Key.Team});
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode createKey(Invocation &Call) {
  const std::string File = outFile(Call);
  const Config Current = readConfig(Call);
  requireTeam(Current, Call.Arguments[0]);
  const std::string Key = generateKey();
  // The file is written before the proposal, because a proposed key that was
  // not saved cannot be used.
  writeKeyFile(File, Key);
  try {
    return propose(
        Call, Current.Version,
        {AddKey{Call.Arguments[1], {Call.Arguments[0], sha256Hex(Key)}}});
  } catch (const Error &Failure) {
    if (Failure.outcome() == Outcome::NotRun)
      unlink(File.c_str());
    throw;
  }
}

ExitCode revokeKey(Invocation &Call) {
  const Config Current = readConfig(Call);
  const std::string &Id = Call.Arguments[0];
  if (!Current.Keys.contains(Id))
    throw Error(ErrorKind::NotFound, "there is no key '" + Id + "'",
                "`apricotwing keys list` shows the keys");
  return propose(Call, Current.Version, {RevokeKey{Id}});
}

ExitCode generateOwnerKey(Invocation &Call) {
  const std::string File = outFile(Call);
  const std::string Key = generateKey();
  writeKeyFile(File, Key);
  Report Result({"file", "sha256"});
  Result.add({File, sha256Hex(Key)});
  Result.printSingle(Call.Out, Call.Json);
  return ExitCode::Success;
}

constexpr std::array Commands = {
    CommandInfo{"keys list", "", "List the keys.", {}, listKeys},
    CommandInfo{"keys create", "TEAM KEY",
                "Generate a team's key and propose its hash.", OutOption,
                createKey},
    CommandInfo{
        "keys revoke", "KEY", "Propose to withdraw a key.", {}, revokeKey},
    CommandInfo{
        "keys generate", "",
        "Generate a co-owner's key and print the hash for the settings.",
        OutOption, generateOwnerKey},
};

} // namespace

std::span<const CommandInfo> keyCommands() { return Commands; }

} // namespace apricotwing
