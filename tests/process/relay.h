/// \file
/// A TCP relay whose connections a test can cut.
#ifndef APRICOTWING_PROCESS_RELAY_H
#define APRICOTWING_PROCESS_RELAY_H

#include <asio.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace apricotwing::process {

/// Forwards connections from one daemon to one address, so that a test can cut
/// off this daemon alone. Owned by the Cluster; all methods are thread-safe.
class Relay {
public:
  /// Relays from a free port of 127.0.0.1 to \p Target ("ip:port").
  explicit Relay(const std::string &Target);
  ~Relay();

  /// Returns the "ip:port" to connect to.
  const std::string &address() const { return Address; }

  /// Closes all connections and refuses new ones until restore().
  void cut();
  void restore() { IsCut = false; }

private:
  struct Link;

  void accept();
  void pump(const std::shared_ptr<Link> &Shared, bool ToTarget);

  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::endpoint Target;
  std::string Address;
  std::atomic<bool> IsCut{false};
  std::set<std::shared_ptr<Link>> Links; ///< Used only on Thread once it runs.
  std::thread Thread;
};

} // namespace apricotwing::process

#endif
