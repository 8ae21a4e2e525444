#include "intake/entryfixture.h"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace apricotwing::intake {
namespace {

class IntakeTest : public EntryTest {
protected:
  IntakeTest() : EntryTest(SmallMachine) {}
};

// Guards against the cost of chunks, which the limit of a body does not count:
// 16 bytes for each, in a buffer that doubles.
TEST_F(IntakeTest, SurvivesUnfinishedBodiesInTinyChunks) {
  occupy(soak::Entries::ClientPort, 60, head("/api/jobs") + chunks(262'000, 1));
  expectSound();
}

// Guards against open bodies whose total size is unlimited.
TEST_F(IntakeTest, SurvivesUnfinishedBodiesInLargeChunks) {
  occupy(soak::Entries::ClientPort, 600, head("/api/jobs") + chunks(7, 37'000));
  expectSound();
}

// Guards against the same on the port for other instances, where a body may
// have 16 MiB.
TEST_F(IntakeTest, SurvivesUnfinishedBodiesOnThePeerPort) {
  occupy(PeerPort, 12, head("/cell") + chunks(160, 100'000));
  occupy(PeerPort, 12, head("/cell") + chunks(1'000'000, 1));
  expectSound();
}

// Guards against the same on the port of the readiness probe.
TEST_F(IntakeTest, SurvivesUnfinishedBodiesOnTheProbePort) {
  occupy(soak::Entries::ReadyPort, 60,
         head("/api/readiness") + chunks(262'000, 1));
  expectSound();
}

// Guards against headers that use up memory: 90 fields of 800 bytes each.
TEST_F(IntakeTest, SurvivesUnfinishedRequestsWithManyHeaders) {
  std::string Text = "GET /api/jobs/none HTTP/1.1\r\n";
  for (int Index = 0; Index < 90; ++Index)
    Text +=
        "X-" + std::to_string(Index) + ": " + std::string(800, 'x') + "\r\n";
  occupy(soak::Entries::ClientPort, 600, Text);
  expectSound();
}

// Guards against connections that take the descriptors of all other uses, and
// against a listener that accepts nobody once its limit is reached.
TEST_F(IntakeTest, SurvivesConnectionsWithHalfAHeader) {
  for (const int Port :
       {soak::Entries::ClientPort, soak::Entries::ReadyPort, PeerPort})
    occupy(Port, 500, "GET /api/jobs/none HTTP/1.1\r\nHost: ");
  expectSound();
}

// Guards against requests and responses that pile up for clients that do not
// read.
TEST_F(IntakeTest, SurvivesPipelinesThatAreNeverRead) {
  std::string Text;
  for (int Index = 0; Index < 20'000; ++Index)
    Text += "GET /api/jobs/none HTTP/1.1\r\nHost: x\r\n\r\n";
  occupy(soak::Entries::ClientPort, 8, Text);
  std::string Dumps;
  for (int Index = 0; Index < 2000; ++Index)
    Dumps += "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  occupy(PeerPort, 8, Dumps);
  expectSound();
}

// Guards against refusals that operators can neither count nor find in the log.
TEST_F(IntakeTest, CountsAndLogsRefusals) {
  occupy(soak::Entries::ClientPort, 30, head("/api/jobs") + chunks(262'000, 1));
  const std::string Metrics = soak::call(Entries.ip(0), PeerPort, "GET",
                                         "/metrics", {}, "", AnswerTimeoutMs)
                                  .Body;
  const std::string Name =
      "apricotwing_entry_refused_connections_total{cause=\"memory\"} ";
  const std::size_t Position = Metrics.find(Name);
  ASSERT_NE(Position, std::string::npos) << Metrics;
  EXPECT_GT(std::atoi(Metrics.c_str() + Position + Name.size()), 0);
  std::ifstream Log(Entries.logFile(0));
  int Lines = 0;
  for (std::string Line; std::getline(Log, Line);)
    if (Line.find("connections refused") != std::string::npos &&
        Line.find("cause=memory") != std::string::npos)
      ++Lines;
  EXPECT_GT(Lines, 0);
}

// Guards against limits that a single client within the published ones meets:
// 256 KiB in one-byte chunks that arrive over some seconds.
TEST_F(IntakeTest, ServesTheSlowestShapeOfAPermittedBody) {
  Client Sender(Entries.ip(0), soak::Entries::ClientPort);
  ASSERT_TRUE(Sender.send(head("/api/jobs")));
  const std::string Part = chunks(32'768, 1);
  for (int Index = 0; Index < 8; ++Index) {
    ASSERT_TRUE(Sender.send(Part));
    soak::sleepMs(500);
  }
  ASSERT_TRUE(Sender.send("0\r\n\r\n"));
  const std::string Answer = Sender.receive();
  std::cout << Answer.substr(0, 80) << '\n';
  EXPECT_TRUE(Answer.starts_with("HTTP/1.1 "));
  // Such answers come before the end of the body.
  for (const char *const Early : {"408", "413", "503"})
    EXPECT_FALSE(Answer.substr(9, 3) == Early) << Answer;
  expectSound();
}

} // namespace
} // namespace apricotwing::intake
