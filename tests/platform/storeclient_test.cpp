/// \file
/// Calls to a store whose responses arrive slowly or not at all.
#include "httpclient/rawserver.h"
#include "platform/storeclient.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace apricotwing::platform {
namespace {

constexpr int Pieces = 20;
constexpr std::chrono::milliseconds PieceInterval{120};

/// Responds with one row, whose value is sent in Pieces pieces, but only
/// \p Sent of them.
RawServer::ConnectionHandler respondSlowly(int Sent) {
  return [Sent](RawServer &, RawConnection &Connection) {
    const std::string Start = R"({"row_version":1,"rows":[{"table":"jobs",)"
                              R"("key":"a","row_version":1,"value":")";
    const std::string Piece = "QUFB";
    const std::string End = "\"}]}";
    while (Connection.readRequest()) {
      const std::size_t Size =
          Start.size() + Pieces * Piece.size() + End.size();
      Connection.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(Size) + "\r\n\r\n" + Start);
      for (int Number = 0; Number < Sent; ++Number) {
        std::this_thread::sleep_for(PieceInterval);
        Connection.write(Piece);
      }
      if (Sent == Pieces)
        Connection.write(End);
    }
  };
}

/// Reads a page from \p Server.
cell::ReadResult readFrom(const RawServer &Server) {
  AsyncHttpClient Client;
  entry::ControlLoop Control;
  StoreClient Store(Client, Control, Server.address());
  cell::ReadResult Read;
  Store.read("jobs", "cell", "", 10, [&](const cell::ReadResult &Result) {
    Read = Result;
    Control.stop();
  });
  Control.run([] {}, Duration{10});
  return Read;
}

// Guards against a page that is given up and asked for again while it arrives.
TEST(StoreClientTest, ReadsAPageThatArrivesOverANarrowLink) {
  const RawServer Server(respondSlowly(Pieces));
  const cell::ReadResult Page = readFrom(Server);
  EXPECT_EQ(Page.Outcome, cell::StoreOutcome::Done);
  EXPECT_EQ(Page.Rows.size(), 1U);
}

// Guards against a read that waits for the rest of a page without end.
TEST(StoreClientTest, GivesUpAPageThatStopsArriving) {
  const RawServer Server(respondSlowly(Pieces / 2));
  const cell::ReadResult Page = readFrom(Server);
  EXPECT_EQ(Page.Outcome, cell::StoreOutcome::Unknown);
  EXPECT_GT(Page.ReceivedBytes, 0U);
}

// Guards against a transaction beyond the limits that is sent without end.
TEST(StoreClientTest, TellsATransactionThatTheStoreWillNeverAccept) {
  const RawServer Server([](RawServer &, RawConnection &Connection) {
    while (Connection.readRequest())
      Connection.write(
          "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}");
  });
  AsyncHttpClient Client;
  entry::ControlLoop Control;
  StoreClient Store(Client, Control, Server.address());
  cell::TransactionResult Answer;
  Store.transact({"cell", {}, {{"jobs", "a", "x"}}},
                 [&](const cell::TransactionResult &Result) {
                   Answer = Result;
                   Control.stop();
                 });
  Control.run([] {}, Duration{10});
  EXPECT_EQ(Answer.Outcome, cell::StoreOutcome::Invalid);
}

} // namespace
} // namespace apricotwing::platform
