#include "intake/entryfixture.h"

#include "soak/workload.h"

#include <unistd.h>

#include <cstdlib>
#include <iostream>

namespace apricotwing::intake {

EntryTest::EntryTest(const soak::MachineLimits &Machine)
    : Machine(Machine), Folder(std::filesystem::temp_directory_path() /
                               ("intake-" + std::to_string(getpid()))),
      Network("127.200." + std::to_string(getpid() % 250) + "."),
      Entries(program(), Network, createdFolder(), Machine) {}

EntryTest::~EntryTest() {
  Entries.kill(0);
  std::filesystem::remove_all(Folder);
}

void EntryTest::SetUp() {
  Store.listen(Entries.storeIp(0), soak::Entries::StorePort);
  Store.put("op", "config", soak::policy(3).dump());
  Entries.start(0);
  awaitReady();
  std::cout << "at first: " << peakMemoryMb(Entries.pid(0)) << " MB, "
            << openFiles(Entries.pid(0)) << " descriptors\n";
}

void EntryTest::awaitReady() {
  for (const std::int64_t Until = soak::nowMs() + 60'000;
       soak::nowMs() < Until && !Entries.isReady(0);)
    soak::sleepMs(100);
  ASSERT_TRUE(Entries.isReady(0));
}

void EntryTest::occupy(int Port, int Count, const std::string &Text) {
  for (int Index = 0; Index < Count; ++Index)
    Open.emplace_back(Entries.ip(0), Port).send(Text);
  soak::sleepMs(SettleMs);
}

int EntryTest::heldMb() {
  const int Memory = peakMemoryMb(Entries.pid(0));
  const int Unread = unreadMb(Entries.ip(0));
  std::cout << Memory << " MB, " << Unread << " MB unread, "
            << openFiles(Entries.pid(0)) << " descriptors\n";
  EXPECT_GT(Memory, 0) << "the process has ended";
  return Memory + Unread;
}

void EntryTest::expectSound() {
  EXPECT_LE(heldMb(), Machine.MemoryMb);
  EXPECT_LE(openFiles(Entries.pid(0)), Machine.FileDescriptors);
  EXPECT_NE(soak::call(Entries.ip(0), soak::Entries::ClientPort, "GET",
                       "/api/jobs/none", {}, "", AnswerTimeoutMs)
                .Status,
            0);
  EXPECT_EQ(soak::call(Entries.ip(0), soak::Entries::ReadyPort, "GET",
                       "/api/readiness", {}, "", AnswerTimeoutMs)
                .Status,
            200);
  EXPECT_EQ(soak::call(Entries.ip(0), PeerPort, "GET", "/healthz", {}, "",
                       AnswerTimeoutMs)
                .Status,
            200);
}

std::string EntryTest::program() {
  const char *Folder = std::getenv("APRICOTWING_BIN");
  return std::string(Folder ? Folder : "build/bin") + "/apricotwing-entry";
}

std::string EntryTest::createdFolder() const {
  std::filesystem::create_directories(Folder);
  return Folder;
}

} // namespace apricotwing::intake
