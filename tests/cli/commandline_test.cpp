#include "cli/commandline.h"
#include "cli/faketransport.h"
#include "cli/keyfile.h"
#include "core/secret.h"
#include "httpclient/crypto.h"
#include "wire/configcodec.h"
#include "wire/runcodec.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace apricotwing {
namespace {

using testing::HasSubstr;
using testing::Not;

class CommandLineTest : public testing::Test {
protected:
  ExitCode run(const std::vector<std::string> &Arguments) {
    Out.str("");
    Err.str("");
    std::istringstream In;
    const CommandLineContext Context{"http://127.0.0.1:1",
                                     "apricotwing-key-00ff",
                                     Network,
                                     [this](Duration Time) { Paused += Time; },
                                     In,
                                     Out,
                                     Err};
    return runCommandLine(Arguments, Context);
  }

  void answerRun(RunState State, std::uint32_t Succeeded) {
    RunView View;
    View.Record.Id = "run-1";
    View.Record.Team = "sales";
    View.Record.Shard = "shard-0";
    View.Record.Spec.Tasks = 4;
    View.Record.Spec.PerTask = {1000, 256, 0};
    View.Record.Spec.IdempotencyKey = "once";
    View.Record.State = State;
    View.Record.Succeeded = Succeeded;
    Network.answer(200, encodeRunView(View));
  }

  void answerConfig() {
    Config Document;
    Document.Version = 7;
    Document.Teams["sales"] = {3, {{4000, 2048, 1}, 16}};
    Document.Keys["old"] = {"sales", ""};
    Network.answer(200, encodeConfigView(Document));
  }

  ProposalRequest sentProposal() {
    return decodeProposalRequest(Network.Sent.back().Body);
  }

  std::string newFile(const std::string &Name) {
    std::string Path = testing::TempDir() + "apricotwing-" +
                       std::to_string(getpid()) + "-" + Name;
    std::filesystem::remove(Path);
    return Path;
  }

  FakeTransport Network;
  std::ostringstream Out;
  std::ostringstream Err;
  Duration Paused{0};
};

// Guards against a wrong command line that is sent to a server, or whose exit
// code looks like a refusal of the server.
TEST_F(CommandLineTest, ExitsWithTwoForBadUsage) {
  for (const std::vector<std::string> &Arguments :
       std::vector<std::vector<std::string>>{{},
                                             {"confi"},
                                             {"config", "sign"},
                                             {"status", "a", "b"},
                                             {"list", "--limit", "many"},
                                             {"list", "--limit", "0"},
                                             {"submit", "--tasks", "-1"},
                                             {"submit", "--kind", "bulk"},
                                             {"submit", "--selector", "zone"},
                                             {"submit", "--task", "1"},
                                             {"submit", "--key", "secret"},
                                             {"list", "--server", "ftp://x"},
                                             {"keys", "create", "t", "k"}}) {
    EXPECT_EQ(run(Arguments), ExitCode::BadUsage);
    EXPECT_THAT(Err.str(), HasSubstr("\nremedy: "));
  }
  EXPECT_TRUE(Network.Sent.empty());
}

// Guards against a help text without one of the commands or options.
TEST_F(CommandLineTest, ShowsHelpForEveryCommand) {
  EXPECT_EQ(run({"--help"}), ExitCode::Success);
  for (const CommandInfo &Command : commandTable()) {
    EXPECT_THAT(commandLineHelp(),
                HasSubstr("  " + std::string(Command.Name) + " "));
    std::istringstream Words{std::string(Command.Name)};
    std::vector<std::string> Arguments;
    for (std::string Word; Words >> Word;)
      Arguments.push_back(Word);
    Arguments.emplace_back("--help");
    EXPECT_EQ(run(Arguments), ExitCode::Success);
    for (const OptionInfo &Info : Command.Options)
      EXPECT_THAT(Out.str(), HasSubstr("--" + std::string(Info.Name)));
  }
}

// Guards against a second run after a lost answer: every retry sends the same
// idempotency key, which is printed before the first attempt.
TEST_F(CommandLineTest, RepeatsASubmissionWithTheSameKey) {
  Network.loseConnection(Outcome::Unknown)
      .refuse(ErrorKind::StoreUnavailable, Outcome::Unknown)
      .answer(200, encodeRunAccepted({"run-1", RunState::Accepted}));
  EXPECT_EQ(run({"submit", "--tasks", "4", "--selector", "disk=ssd"}),
            ExitCode::Success);
  EXPECT_EQ(Out.str(), "run-1\n");
  ASSERT_EQ(Network.Sent.size(), 3U);
  const RunSpec Spec = decodeRunSpec(Network.Sent[0].Body);
  EXPECT_EQ(Spec.Tasks, 4U);
  EXPECT_EQ(Spec.Selector.at("disk"), "ssd");
  EXPECT_EQ(Err.str(), "idempotency key: " + Spec.IdempotencyKey + "\n");
  for (const ApiRequest &Request : Network.Sent) {
    EXPECT_EQ(decodeRunSpec(Request.Body), Spec);
    EXPECT_EQ(Request.Headers.at("Authorization"),
              "Bearer apricotwing-key-00ff");
  }
}

// Guards against sending a request that is not marked idempotent again after an
// unknown outcome, and against changing the upstream's answer.
TEST_F(CommandLineTest, SendsARequestOnceAndPassesItsAnswerOn) {
  Network.answer(200, "{\"price\":3}");
  EXPECT_EQ(run({"request", "fitquote", "--data", "{}"}), ExitCode::Success);
  EXPECT_EQ(Out.str(), "{\"price\":3}");
  EXPECT_EQ(Network.Sent[0].Headers.at("Apricotwing-Idempotent"), "false");
  Network.loseConnection(Outcome::Unknown).answer(200, "again");
  EXPECT_EQ(run({"request", "fitquote", "--server",
                 "http://127.0.0.1:1,http://127.0.0.1:2"}),
            ExitCode::Failed);
  EXPECT_EQ(Network.Sent.size(), 2U);
  EXPECT_THAT(Err.str(), HasSubstr("(unknown)"));
}

// Guards against a `wait` that returns before the run ends, fails during a
// short outage, or reports success for a failed run.
TEST_F(CommandLineTest, WaitsForTheEndOfARunWithProgress) {
  answerRun(RunState::Pending, 0);
  Network.refuse(ErrorKind::NoAuthority, Outcome::NotRun);
  answerRun(RunState::Running, 2);
  answerRun(RunState::Running, 2);
  answerRun(RunState::Succeeded, 4);
  EXPECT_EQ(run({"wait", "run-1", "--interval-ms", "500"}), ExitCode::Success);
  EXPECT_THAT(Err.str(), HasSubstr("running: 2 of 4 tasks succeeded"));
  EXPECT_EQ(Paused, Duration(2000));
  answerRun(RunState::Failed, 3);
  EXPECT_EQ(run({"wait", "run-1"}), ExitCode::Failed);
  Network.refuse(ErrorKind::NotFound, Outcome::NotRun);
  EXPECT_EQ(run({"wait", "run-2"}), ExitCode::Failed);
  answerRun(RunState::Running, 2);
  answerRun(RunState::Running, 2);
  answerRun(RunState::Running, 2);
  EXPECT_EQ(run({"wait", "run-1", "--timeout-seconds", "2"}), ExitCode::Failed);
}

// Guards against a command that changes one value and resets the others.
TEST_F(CommandLineTest, KeepsWhatAProposalDoesNotName) {
  answerConfig();
  Network.answer(201, encodeProposalCreated("p-1"));
  EXPECT_EQ(run({"shares", "set", "sales", "5"}), ExitCode::Success);
  EXPECT_THAT(Out.str(), HasSubstr("apricotwing config sign p-1"));
  EXPECT_EQ(sentProposal().BaseVersion, 7U);
  const TeamConfig Expected{5, {{4000, 2048, 1}, 16}};
  EXPECT_EQ(std::get<SetTeam>(sentProposal().Changes.at(0)).Value, Expected);

  answerConfig();
  Network.answer(201, encodeProposalCreated("p-2"));
  EXPECT_EQ(run({"limits", "set", "sales", "--requests", "0"}),
            ExitCode::Success);
  const TeamConfig Lowered{3, {{4000, 2048, 1}, 0}};
  EXPECT_EQ(std::get<SetTeam>(sentProposal().Changes.at(0)).Value, Lowered);

  answerConfig();
  EXPECT_EQ(run({"shares", "set", "nobody", "5"}), ExitCode::Failed);
  EXPECT_EQ(Network.Sent.back().Method, "GET");
}

// Guards against a key in clear text anywhere but in its file, against a key
// file that other users can read, and against overwriting an existing file.
TEST_F(CommandLineTest, WritesAClearKeyOnlyToItsFile) {
  const std::string File = newFile("key");
  answerConfig();
  Network.answer(201, encodeProposalCreated("p-1"));
  EXPECT_EQ(run({"keys", "create", "sales", "new", "--out", File}),
            ExitCode::Success);
  const std::string Key = readKeyFile(File);
  EXPECT_TRUE(Key.starts_with(KeyPrefix));
  const auto Added = std::get<AddKey>(sentProposal().Changes.at(0));
  EXPECT_EQ(Added.Value.Sha256, sha256Hex(Key));
  EXPECT_EQ(Added.Value.Team, "sales");
  EXPECT_THAT(Out.str() + Err.str() + Network.Sent.back().Body,
              Not(HasSubstr(Key)));
  struct stat Status {};
  ASSERT_EQ(stat(File.c_str(), &Status), 0);
  EXPECT_EQ(Status.st_mode & 0777U, 0600U);

  answerConfig();
  EXPECT_EQ(run({"keys", "create", "sales", "new", "--out", File}),
            ExitCode::BadUsage);
  EXPECT_EQ(readKeyFile(File), Key);
  std::filesystem::remove(File);
}

// Guards against keeping a key file whose key was certainly not proposed, and
// against deleting one whose key may have been proposed.
TEST_F(CommandLineTest, KeepsAKeyFileUnlessItsProposalCertainlyFailed) {
  const std::string File = newFile("key");
  answerConfig();
  Network.refuse(ErrorKind::ConfigConflict, Outcome::NotRun);
  EXPECT_EQ(run({"keys", "create", "sales", "new", "--out", File}),
            ExitCode::Failed);
  EXPECT_FALSE(std::filesystem::exists(File));
  answerConfig();
  Network.loseConnection(Outcome::Unknown);
  EXPECT_EQ(run({"keys", "create", "sales", "new", "--out", File}),
            ExitCode::Failed);
  EXPECT_TRUE(std::filesystem::exists(File));
  std::filesystem::remove(File);
}

// Guards against using a key that other users of the host can read.
TEST_F(CommandLineTest, RefusesAKeyFileThatOthersCanRead) {
  const std::string File = newFile("open-key");
  std::ofstream(File) << "apricotwing-key-11\n";
  ASSERT_EQ(chmod(File.c_str(), 0644), 0);
  EXPECT_EQ(run({"list", "--key-file", File}), ExitCode::BadUsage);
  EXPECT_THAT(Err.str(), HasSubstr("chmod 600"));
  ASSERT_EQ(chmod(File.c_str(), 0600), 0);
  Network.answer(200, encodeRunPage({}));
  EXPECT_EQ(run({"list", "--key-file", File}), ExitCode::Success);
  EXPECT_EQ(Network.Sent.back().Headers.at("Authorization"),
            "Bearer apricotwing-key-11");
  std::filesystem::remove(File);
}

// Guards against a diff without the values in force, and against a proposal to
// an old version that is shown as one that can be signed.
TEST_F(CommandLineTest, ShowsWhatAProposalChanges) {
  ProposalRecord Proposal;
  Proposal.Id = "p-3";
  Proposal.BaseVersion = 6;
  Proposal.ProposedBy = "koksne";
  Proposal.Changes = {SetTeam{"sales", {4, {{4000, 1024, 1}, 16}}},
                      RevokeKey{"old"}};
  answerConfig();
  Network.answer(200, encodeProposals({Proposal}));
  EXPECT_EQ(run({"config", "diff", "p-3"}), ExitCode::Success);
  EXPECT_THAT(Out.str(), HasSubstr("change team sales, share 3 -> 4, "
                                   "memory_mib 2048 -> 1024\n"));
  EXPECT_THAT(Out.str(), HasSubstr("no             revoke key old of team "
                                   "sales\n"));
  answerConfig();
  Network.answer(200, encodeProposals({}));
  EXPECT_EQ(run({"config", "diff", "p-4"}), ExitCode::Failed);
}

// Guards against retrying a signature: if the first attempt has succeeded, the
// second one would report a conflict with it.
TEST_F(CommandLineTest, SignsOnceAndSaysWhereToLookAfterALostAnswer) {
  Network.loseConnection(Outcome::Unknown);
  EXPECT_EQ(run({"config", "sign", "p-1"}), ExitCode::Failed);
  EXPECT_EQ(Network.Sent.size(), 1U);
  EXPECT_THAT(Err.str(), HasSubstr("config history"));
}

// Guards against `--json` output that is not JSON.
TEST_F(CommandLineTest, PrintsJsonForPrograms) {
  answerConfig();
  EXPECT_EQ(run({"teams", "list", "--json"}), ExitCode::Success);
  EXPECT_THAT(Out.str(), HasSubstr("\"share\": 3"));
  answerRun(RunState::Running, 2);
  EXPECT_EQ(run({"--json", "status", "run-1"}), ExitCode::Success);
  EXPECT_THAT(Out.str(), HasSubstr("\"succeeded\": 2"));
  Network.answer(200, R"({"shards":[{"id":"s-0","epoch":3}],"grants":{}})");
  EXPECT_EQ(run({"state"}), ExitCode::Success);
  EXPECT_EQ(Out.str(), "grants: none\nshards:\n  -\n    epoch: 3\n    id: "
                       "s-0\n");
}

} // namespace
} // namespace apricotwing
