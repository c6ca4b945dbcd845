// Tests of calls between two transports over loopback whose server accounts for
// the memory of a small machine.

#include "fireflycart/net/http2_transport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/net/steady_clock.h"

namespace fireflycart {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr char kIp[] = "127.0.0.1";
// One large message of peers at a time.
constexpr size_t kMachineBytes = size_t{64} << 20;
constexpr size_t kLargeBytes = 1000000;
constexpr std::chrono::seconds kMaxWait{20};
constexpr Duration kTimeout = Duration::Seconds(15);

// Answers statements with their own text, at once or when told to.
class Server : public PeerHandler {
 public:
  void OnPeerCalled(PeerCalled event) override {
    calls.push_back(std::move(event));
    if (answers_at_once) AnswerOldest();
  }
  void OnPeerReplied(PeerReplied) override {}

  void AnswerOldest() {
    proxy::StatementReply reply;
    reply.outcome = proxy::Outcome::kDone;
    reply.rows = {std::get<proxy::StatementCall>(calls.front().body).text};
    transport->Answer(AnswerPeer{calls.front().handle, reply});
    calls.erase(calls.begin());
  }

  std::vector<PeerCalled> calls;
  PeerTransport* transport = nullptr;
  bool answers_at_once = true;
};

class Client : public PeerHandler {
 public:
  void OnPeerCalled(PeerCalled) override {}
  void OnPeerReplied(PeerReplied event) override {
    replies.push_back(std::move(event));
  }

  std::vector<PeerReplied> replies;
};

class Http2TransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Http2TransportTest);
  CPPUNIT_TEST(Calls_Small_AreAnswered);
  CPPUNIT_TEST(Calls_LargeOnes_AreAnsweredOneAfterAnother);
  CPPUNIT_TEST(Calls_LargeOneUnanswered_SmallOneIsAnswered);
  CPPUNIT_TEST(Connection_WithoutRequest_IsClosed);
  CPPUNIT_TEST(Connections_MoreThanLimit_PeerIsStillServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    io_ = std::make_unique<boost::asio::io_context>();
    memory_ = std::make_unique<MemoryGuard>(io_.get(), &clock_, kMachineBytes,
                                            nullptr);
    server_ = std::make_unique<Server>();
    client_ = std::make_unique<Client>();
    {
      Tcp::acceptor acceptor(
          *io_, Tcp::endpoint(boost::asio::ip::make_address(kIp), 0));
      port_ = acceptor.local_endpoint().port();
    }
    listening_ = std::make_unique<Http2Transport>(io_.get(), VmId("b"),
                                                  server_.get(), memory_.get());
    listening_->Listen(kIp, port_);
    server_->transport = listening_.get();
    calling_ = std::make_unique<Http2Transport>(io_.get(), VmId("a"),
                                                client_.get(), nullptr);
  }

  void tearDown() override {
    calling_.reset();
    listening_.reset();
    memory_.reset();
    io_.reset();
  }

  void Calls_Small_AreAnswered() {
    for (int i = 0; i < 100; i++) Call("READ a");
    CPPUNIT_ASSERT_EQUAL(size_t{100}, CountAnswered(100));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, memory_->budget().held());
  }

  void Calls_LargeOnes_AreAnsweredOneAfterAnother() {
    for (int i = 0; i < 5; i++) Call(std::string(kLargeBytes, 'x'));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, CountAnswered(5));
    CPPUNIT_ASSERT(memory_->budget().count(MemoryLimit::kWaits) > 0);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         memory_->budget().count(MemoryLimit::kHeldMost));
    CPPUNIT_ASSERT(!memory_->budget().has_waiting());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, memory_->budget().held());
  }

  // Streams that wait hold up no other stream of their connection.
  void Calls_LargeOneUnanswered_SmallOneIsAnswered() {
    server_->answers_at_once = false;
    Call(std::string(kLargeBytes, 'x'));
    RunUntil([this] { return server_->calls.size() == 1; });
    Call(std::string(kLargeBytes, 'y'));
    RunUntil([this] { return memory_->budget().has_waiting(); });
    CPPUNIT_ASSERT(memory_->budget().has_waiting());
    Call("READ a");
    RunUntil([this] { return server_->calls.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->calls.size());
    while (!server_->calls.empty()) server_->AnswerOldest();
    server_->answers_at_once = true;
    CPPUNIT_ASSERT_EQUAL(size_t{3}, CountAnswered(3));
  }

  void Connection_WithoutRequest_IsClosed() {
    Tcp::socket silent(*io_);
    silent.connect(Tcp::endpoint(boost::asio::ip::make_address(kIp), port_));
    bool is_closed = false;
    std::string received(65536, '\0');
    Receive(&silent, &received, &is_closed);
    RunUntil([&] { return is_closed; });
    CPPUNIT_ASSERT(is_closed);
  }

  // The silent ones make room for each other; the peer keeps its connection.
  void Connections_MoreThanLimit_PeerIsStillServed() {
    Call("READ a");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountAnswered(1));
    std::vector<std::unique_ptr<Tcp::socket>> silent;
    for (size_t i = 0; i < kMaxPeerConnections + 10; i++) {
      silent.push_back(std::make_unique<Tcp::socket>(*io_));
      silent.back()->connect(
          Tcp::endpoint(boost::asio::ip::make_address(kIp), port_));
      io_->run_for(std::chrono::milliseconds(1));
      io_->restart();
    }
    Call("READ a");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, CountAnswered(2));
  }

 private:
  void Call(const std::string& text) {
    proxy::StatementCall statement;
    statement.text = text;
    CallPeer call;
    call.call = CallId(++last_call_);
    call.to = VmId("b");
    call.address = std::string(kIp) + ":" + std::to_string(port_);
    call.timeout = kTimeout;
    call.body = statement;
    calling_->Call(call);
  }

  // How many of the calls were answered, once as many have ended.
  size_t CountAnswered(size_t calls) {
    RunUntil([&] { return client_->replies.size() == calls; });
    // The server sees the ends of the streams.
    RunUntil([this] { return memory_->budget().held() == 0; });
    size_t count = 0;
    for (const PeerReplied& reply : client_->replies) {
      if (reply.error == PeerCallError::kNone) count++;
    }
    return count;
  }

  void Receive(Tcp::socket* socket, std::string* buffer, bool* is_closed) {
    socket->async_read_some(boost::asio::buffer(*buffer),
                            [=](boost::system::error_code error, size_t) {
                              if (error) {
                                *is_closed = true;
                              } else {
                                Receive(socket, buffer, is_closed);
                              }
                            });
  }

  template <typename Condition>
  void RunUntil(Condition is_met) {
    auto end = std::chrono::steady_clock::now() + kMaxWait;
    while (!is_met() && std::chrono::steady_clock::now() < end) {
      io_->run_for(std::chrono::milliseconds(5));
      io_->restart();
    }
  }

  uint16_t port_ = 0;
  uint64_t last_call_ = 0;
  SteadyClock clock_;
  std::unique_ptr<boost::asio::io_context> io_;
  std::unique_ptr<MemoryGuard> memory_;
  std::unique_ptr<Server> server_;
  std::unique_ptr<Client> client_;
  std::unique_ptr<Http2Transport> listening_;
  std::unique_ptr<Http2Transport> calling_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http2TransportTest);

}  // namespace
}  // namespace fireflycart
