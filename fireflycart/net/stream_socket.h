// A TCP connection that reads into a shared buffer and writes with as few
// system calls as possible: one if the send buffer has room for the message.
//
//   class Session : public StreamSocket { void OnBytes(...) override; };
//   session->Start();
//   session->Write(bytes);
//
// Limits: one thread. If more than kMaxUnsentBytes bytes are queued for
// sending, the connection is closed, since its peer does not read. While
// reading is paused, the kernel holds what arrives, and a close by the peer is
// not seen unless something is written.

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
  static constexpr size_t kMaxUnsentBytes = size_t{4} << 20;

  explicit StreamSocket(boost::asio::ip::tcp::socket socket);
  virtual ~StreamSocket() = default;

  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  // Starts reading. The connection fails if sent bytes remain unacknowledged
  // for user_timeout (TCP_USER_TIMEOUT).
  void Start(Duration user_timeout);
  // From now on, closing discards what the peer has not received and resets the
  // connection, also if the process ends. Otherwise the kernel goes on sending.
  void ResetOnClose();
  void Write(const std::string& bytes);
  // Closes once the kernel has accepted all written bytes.
  void CloseAfterWrites();
  // Closes at once; no callback follows.
  void Close();
  bool closed() const { return closed_; }

  // Leaves what arrives with the kernel, until ResumeReading().
  void PauseReading() { is_paused_ = true; }
  void ResumeReading();
  // Bytes that the kernel has not accepted yet.
  size_t unsent_size() const { return unsent_.size(); }

 protected:
  virtual void OnBytes(const char* data, size_t size) = 0;
  // The peer closed the connection, or it failed.
  virtual void OnClosed(const std::string& reason) = 0;
  // The kernel accepted some bytes that had to wait.
  virtual void OnWritten() {}
  // The socket was closed, by whomever, and the unsent bytes are gone.
  virtual void OnReleased() {}
  // How much OnBytes may be given at a time.
  virtual size_t MaxReadBytes() const { return kMaxReadBytes; }

  static constexpr size_t kMaxReadBytes = 65536;

  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  void WaitForReadable();
  void ReadAvailable();
  void WaitForWritable();
  void WriteSome();
  void Fail(const std::string& reason);

  boost::asio::ip::tcp::socket socket_;
  std::string unsent_;
  bool has_started_ = false;
  bool is_paused_ = false;
  bool is_waiting_for_readable_ = false;
  bool is_waiting_for_writable_ = false;
  bool closes_after_writes_ = false;
  bool resets_on_close_ = false;
  bool closed_ = false;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_STREAM_SOCKET_H_
