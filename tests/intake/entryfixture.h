/// \file
/// The entry process that hostile clients call.
#ifndef APRICOTWING_INTAKE_ENTRYFIXTURE_H
#define APRICOTWING_INTAKE_ENTRYFIXTURE_H

#include "intake/hostileclient.h"
#include "soak/entries.h"
#include "soak/store.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <list>
#include <string>

namespace apricotwing::intake {

/// The machine of the first tests.
inline constexpr soak::MachineLimits SmallMachine{.MemoryMb = 120,
                                                  .FileDescriptors = 400};
/// The smallest machine of the deployments.
inline constexpr soak::MachineLimits SmallestDeployedMachine{
    .MemoryMb = 120, .FileDescriptors = 3075};

/// One entry process with its store on loopback addresses.
class EntryTest : public testing::Test {
protected:
  static constexpr int PeerPort = 7420;
  /// Time for the process to read what the clients have sent.
  static constexpr std::int64_t SettleMs = 3000;

  explicit EntryTest(const soak::MachineLimits &Machine);
  ~EntryTest() override;

  void SetUp() override;

  /// Waits until the readiness probe succeeds.
  void awaitReady();

  /// Sends \p Text on \p Count connections of their own, which stay open.
  void occupy(int Port, int Count, const std::string &Text);

  /// Largest resident memory so far and what its sockets hold unread now.
  int heldMb();

  /// Checks that the process is within the limits of its machine, with what its
  /// sockets hold unread, and serves an ordinary call and the readiness probe.
  void expectSound();

  const soak::MachineLimits Machine;
  std::list<Client> Open;
  const std::filesystem::path Folder;
  const std::string Network;
  soak::Store Store;
  soak::Entries Entries;

private:
  static std::string program();
  std::string createdFolder() const;
};

} // namespace apricotwing::intake

#endif
