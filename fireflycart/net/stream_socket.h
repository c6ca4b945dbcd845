// A TCP connection that reads into a shared buffer and writes with as few
// system calls as possible: one for a message that the kernel takes at once.
//
//   class Session : public StreamSocket { void OnBytes(...) override; };
//   session->Start();
//   session->Write(bytes);
//
// Limits: one thread. At most kMaxUnsent bytes wait; beyond, the connection is
// closed, since its peer does not read.

#ifndef FIREFLYCART_NET_STREAM_SOCKET_H_
#define FIREFLYCART_NET_STREAM_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "fireflycart/core/clock.h"

namespace fireflycart {

class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
 public:
  static constexpr size_t kMaxUnsent = size_t{4} << 20;

  explicit StreamSocket(boost::asio::ip::tcp::socket socket);
  virtual ~StreamSocket() = default;

  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Begins to read. Unacknowledged bytes break the connection after the limit.
  void Start(Duration unacknowledged_limit);
  void Write(const std::string& bytes);
  // Closes once all that was written is handed to the kernel.
  void CloseAfterWrites();
  // Closes at once; no callback follows.
  void Close();
  bool closed() const { return closed_; }

 protected:
  virtual void OnBytes(const char* data, size_t size) = 0;
  // The peer closed, or the connection broke.
  virtual void OnClosed(const std::string& reason) = 0;

  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  void WaitForBytes();
  void ReadAll();
  void WaitForRoom();
  void WriteSome();
  void Fail(const std::string& reason);

  boost::asio::ip::tcp::socket socket_;
  std::string unsent_;
  bool is_waiting_for_room_ = false;
  bool closes_after_writes_ = false;
  bool closed_ = false;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_STREAM_SOCKET_H_
