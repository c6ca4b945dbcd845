// One HTTP/2 connection over TCP, for either side. Derived classes handle the
// streams; this class transfers bytes between the socket and nghttp2.
//
//   class Server : public Http2Connection { void OnMessage(...) override; };
//   connection->Start();
//   connection->SubmitResponse(stream, body);
//
// Limits: one thread. A stream's body is at most kMaxPeerMessageBytes bytes; at
// most kMaxConcurrentStreams streams are open at a time. A server that is given
// a MemoryGuard receives kStreamWindowBytes of each stream, and more only once
// the stream has a reservation; the connection is closed if it holds most while
// the memory is short.

#ifndef FIREFLYCART_NET_HTTP2_CONNECTION_H_
#define FIREFLYCART_NET_HTTP2_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fireflycart/net/memory_guard.h"

namespace fireflycart {

constexpr uint32_t kMaxConcurrentStreams = 4096;
// What a guarded server receives of a stream at once.
constexpr int32_t kStreamWindowBytes = 64 << 10;

struct Http2Header {
  std::string name;
  std::string value;
};

class Http2Connection : public std::enable_shared_from_this<Http2Connection>,
                        public MemoryHolder {
 public:
  enum class Side { kClient, kServer };

  // `memory` is null for a client, and for a server without an account.
  Http2Connection(boost::asio::ip::tcp::socket socket, Side side,
                  MemoryGuard* memory);
  ~Http2Connection() override;

  // MemoryHolder, for all streams without a reservation.
  void OnMayReceive() override {}
  void OnMustGo() override;
  std::string Describe() const override;

  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  // Starts reading. The socket must be connected.
  void Start();
  void Close();
  bool closed() const { return closed_; }

  // Sends a request. Returns the stream id, or a negative number on failure.
  int32_t SubmitRequest(const std::vector<Http2Header>& headers,
                        std::string body);
  void SubmitResponse(int32_t stream, std::string body);
  void ResetStream(int32_t stream);

 protected:
  virtual void OnHeader(int32_t stream, const std::string& name,
                        const std::string& value) = 0;
  // The whole body of the stream has been received.
  virtual void OnMessage(int32_t stream, std::string body) = 0;
  virtual void OnStreamClosed(int32_t stream) = 0;
  // The connection is closed; nothing more is received on any stream.
  virtual void OnClosed() = 0;

 private:
  struct Outgoing {
    std::string body;
    size_t sent = 0;
  };
  class StreamTurn;
  // What a guarded server holds for a stream, until it is closed.
  struct StreamAccount {
    size_t bytes = 0;
    size_t withheld = 0;  // Received, and not given back to the window.
    std::shared_ptr<StreamTurn> turn;  // Once it is more than small.
  };

  static Http2Connection* Self(void* user_data);
  static ssize_t ReadBody(nghttp2_session* session, int32_t stream,
                          uint8_t* buffer, size_t length, uint32_t* flags,
                          nghttp2_data_source* source, void* user_data);
  static int HeaderReceived(nghttp2_session* session,
                            const nghttp2_frame* frame, const uint8_t* name,
                            size_t name_length, const uint8_t* value,
                            size_t value_length, uint8_t flags,
                            void* user_data);
  static int DataReceived(nghttp2_session* session, uint8_t flags,
                          int32_t stream, const uint8_t* data, size_t length,
                          void* user_data);
  static int FrameReceived(nghttp2_session* session, const nghttp2_frame* frame,
                           void* user_data);
  static int StreamClosed(nghttp2_session* session, int32_t stream,
                          uint32_t error, void* user_data);

  // Sets what is held for a stream.
  void HoldStream(int32_t stream, size_t bytes);
  // Accounts for a part of a body, and asks for more of it if there is room.
  void ReceiveStream(int32_t stream, size_t body, size_t length);
  void ContinueStream(int32_t stream);
  void ForgetStream(int32_t stream);
  void ForgetAllStreams();
  void ReadSome();
  void Flush();
  nghttp2_data_provider Provider(int32_t stream);

  static constexpr size_t kReadBufferBytes = 65536;

  boost::asio::ip::tcp::socket socket_;
  MemoryGuard* memory_;
  std::map<int32_t, StreamAccount> accounts_;
  size_t held_bytes_ = 0;  // Sum of the accounts without a reservation.
  nghttp2_session* session_ = nullptr;
  std::array<uint8_t, kReadBufferBytes> read_buffer_;
  std::string write_buffer_;
  bool is_writing_ = false;
  bool closed_ = false;
  bool in_callback_ = false;
  std::map<int32_t, Outgoing> outgoing_;
  std::map<int32_t, std::string> incoming_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_HTTP2_CONNECTION_H_
