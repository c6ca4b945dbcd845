// Tests of the HTTP/1.1 client against a server on loopback.

#include "fireflycart/net/http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace fireflycart {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr Duration kTimeout = Duration::Seconds(10);

// Answers one request, from a thread of its own.
class OneReplyServer {
 public:
  explicit OneReplyServer(std::string body)
      : acceptor_(io_,
                  Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        body_(std::move(body)),
        thread_([this] { Serve(); }) {}
  ~OneReplyServer() { thread_.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Serve() {
    Tcp::socket socket = acceptor_.accept();
    boost::asio::streambuf request;
    boost::system::error_code error;
    boost::asio::read_until(socket, request, "\r\n\r\n", error);
    if (error) return;
    std::string reply =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_.size()) +
        "\r\n\r\n" + body_;
    boost::asio::write(socket, boost::asio::buffer(reply), error);
    // Until the client closes the connection.
    boost::asio::read_until(socket, request, "\r\n\r\n", error);
  }

  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::string body_;
  std::thread thread_;
};

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(Reply_LargeWhileEventLoopIsBusy_ArrivesWithinTimeout);
  CPPUNIT_TEST_SUITE_END();

 public:
  // In each turn of a busy event loop a connection runs one handler.
  void Reply_LargeWhileEventLoopIsBusy_ArrivesWithinTimeout() {
    // A row of the store, 64 KiB in base64.
    constexpr size_t kBodyBytes = size_t{96} << 10;
    constexpr int64_t kTurnMillis = 50;
    constexpr int64_t kTimeoutMillis = 1000;
    OneReplyServer server(std::string(kBodyBytes, 'x'));
    HttpReply reply;
    int64_t turns = CountTurns(server, &reply);
    CPPUNIT_ASSERT(reply.ok);
    CPPUNIT_ASSERT_EQUAL(kBodyBytes, reply.body.size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(turns) + " turns",
                           turns * kTurnMillis <= kTimeoutMillis);
  }

 private:
  // Runs handlers until the reply is there; returns their number.
  static int64_t CountTurns(const OneReplyServer& server, HttpReply* reply) {
    boost::asio::io_context io;
    bool is_done = false;
    std::shared_ptr<HttpConnection> connection;
    connection = OpenHttpConnection(&io, server.address(), [&](bool ok) {
      CPPUNIT_ASSERT(ok);
      HttpCall call;
      call.method = "GET";
      call.target = "/";
      connection->Send(call, kTimeout, [&](HttpReply received) {
        *reply = std::move(received);
        is_done = true;
      });
    });
    int64_t turns = 0;
    while (!is_done) {
      // All that can arrive has arrived before the connection's next turn.
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      if (io.run_one_for(std::chrono::seconds(5)) == 0) break;
      turns++;
    }
    connection->Close();
    return turns;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace
}  // namespace fireflycart
