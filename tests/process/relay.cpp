#include "process/relay.h"

#include <array>

namespace apricotwing::process {

using asio::ip::tcp;

struct Relay::Link {
  explicit Link(asio::io_context &Context) : Caller(Context), Callee(Context) {}

  void close() {
    asio::error_code Ignored;
    Caller.close(Ignored);
    Callee.close(Ignored);
  }

  tcp::socket Caller;
  tcp::socket Callee;
  std::array<char, 16384> Upwards{};
  std::array<char, 16384> Downwards{};
};

namespace {

tcp::endpoint parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  return {asio::ip::make_address(Text.substr(0, Colon)),
          std::uint16_t(std::stoi(Text.substr(Colon + 1)))};
}

} // namespace

Relay::Relay(const std::string &TargetAddress)
    : Acceptor(Context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      Target(parseEndpoint(TargetAddress)) {
  Address = "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  accept();
  Thread = std::thread([this] { Context.run(); });
}

Relay::~Relay() {
  Context.stop();
  Thread.join();
}

void Relay::cut() {
  IsCut = true;
  asio::post(Context, [this] {
    for (const std::shared_ptr<Link> &Open : Links)
      Open->close();
    Links.clear();
  });
}

void Relay::accept() {
  const auto Shared = std::make_shared<Link>(Context);
  Acceptor.async_accept(Shared->Caller, [this, Shared](asio::error_code Error) {
    if (Error)
      return;
    accept();
    if (IsCut)
      return Shared->close();
    asio::error_code Failed;
    Shared->Callee.connect(Target, Failed);
    if (Failed)
      return Shared->close();
    Links.insert(Shared);
    pump(Shared, true);
    pump(Shared, false);
  });
}

void Relay::pump(const std::shared_ptr<Link> &Shared, bool ToTarget) {
  tcp::socket &From = ToTarget ? Shared->Caller : Shared->Callee;
  tcp::socket &To = ToTarget ? Shared->Callee : Shared->Caller;
  auto &Buffer = ToTarget ? Shared->Upwards : Shared->Downwards;
  From.async_read_some(asio::buffer(Buffer),
                       [this, Shared, ToTarget, &To,
                        &Buffer](asio::error_code Error, std::size_t Size) {
                         asio::error_code Failed = Error;
                         if (!Failed)
                           asio::write(To, asio::buffer(Buffer, Size), Failed);
                         if (!Failed)
                           return pump(Shared, ToTarget);
                         Shared->close();
                         Links.erase(Shared);
                       });
}

} // namespace apricotwing::process
