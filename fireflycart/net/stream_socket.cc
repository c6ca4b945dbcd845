// The socket is non-blocking and is waited on for readiness, so that an idle
// connection needs no buffer.

#include "fireflycart/net/stream_socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fireflycart {
namespace {

// Memory beyond the unsent bytes that a connection may keep.
constexpr size_t kMaxSlackBytes = size_t{64} << 10;

// Shared by all connections of the thread; OnBytes consumes its content before
// the next read.
template <size_t size>
std::array<char, size>& SharedReadBuffer() {
  static std::array<char, size> buffer;
  return buffer;
}

}  // namespace

StreamSocket::StreamSocket(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {}

void StreamSocket::Start(Duration user_timeout) {
  boost::system::error_code error;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), error);
  int timeout_ms = static_cast<int>(user_timeout.millis());
  // An error is ignored: without the option, the owner's timeouts detect a dead
  // peer.
  setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &timeout_ms, sizeof(timeout_ms));
  socket_.non_blocking(true, error);
  if (error) {
    Fail(error.message());
    return;
  }
  has_started_ = true;
  if (!is_paused_) WaitForReadable();
}

void StreamSocket::ResumeReading() {
  if (!is_paused_) return;
  is_paused_ = false;
  if (!closed_ && has_started_ && !is_waiting_for_readable_) WaitForReadable();
}

void StreamSocket::ResetOnClose() {
  constexpr int kNoLingerSeconds = 0;
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, kNoLingerSeconds),
                     ignored);
  resets_on_close_ = true;
}

void StreamSocket::WaitForReadable() {
  is_waiting_for_readable_ = true;
  auto self = shared_from_this();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [this, self](boost::system::error_code error) {
                       is_waiting_for_readable_ = false;
                       if (closed_) return;
                       if (error) {
                         Fail(error.message());
                         return;
                       }
                       if (!is_paused_) ReadAvailable();
                     });
}

void StreamSocket::ReadAvailable() {
  std::array<char, kMaxReadBytes>& buffer = SharedReadBuffer<kMaxReadBytes>();
  boost::system::error_code error;
  size_t wanted = std::min(buffer.size(), MaxReadBytes());
  size_t size =
      socket_.read_some(boost::asio::buffer(buffer.data(), wanted), error);
  if (error == boost::asio::error::would_block) {
    WaitForReadable();
    return;
  }
  if (error) {
    Fail(error.message());
    return;
  }
  OnBytes(buffer.data(), size);
  // OnBytes may have paused and resumed reading, which waits already.
  if (!closed_ && !is_paused_ && !is_waiting_for_readable_) WaitForReadable();
}

void StreamSocket::Write(const std::string& bytes) {
  if (closed_ || closes_after_writes_) return;
  unsent_ += bytes;
  if (unsent_.size() > kMaxUnsentBytes) {
    Fail("peer does not read");
    return;
  }
  if (!is_waiting_for_writable_) WriteSome();
}

void StreamSocket::WriteSome() {
  boost::system::error_code error;
  size_t size = socket_.write_some(boost::asio::buffer(unsent_), error);
  if (error && error != boost::asio::error::would_block) {
    Fail(error.message());
    return;
  }
  unsent_.erase(0, size);
  if (!unsent_.empty()) {
    // A peer that reads slowly holds no more than what it has left to read.
    if (unsent_.capacity() - unsent_.size() > kMaxSlackBytes) {
      unsent_.shrink_to_fit();
    }
    WaitForWritable();
  } else {
    unsent_.shrink_to_fit();
    if (closes_after_writes_) Close();
  }
}

void StreamSocket::WaitForWritable() {
  is_waiting_for_writable_ = true;
  auto self = shared_from_this();
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_write,
                     [this, self](boost::system::error_code error) {
                       is_waiting_for_writable_ = false;
                       if (closed_) return;
                       if (error) {
                         Fail(error.message());
                         return;
                       }
                       WriteSome();
                       if (!closed_) OnWritten();
                     });
}

void StreamSocket::CloseAfterWrites() {
  if (closed_) return;
  closes_after_writes_ = true;
  if (unsent_.empty()) Close();
}

void StreamSocket::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  if (!resets_on_close_) {
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  }
  socket_.close(ignored);
  // A handler may keep the object for a moment.
  std::string().swap(unsent_);
  OnReleased();
}

void StreamSocket::Fail(const std::string& reason) {
  if (closed_) return;
  Close();
  // Posted rather than called here: the owner may be iterating over its
  // connections further up the stack.
  auto self = shared_from_this();
  boost::asio::post(socket_.get_executor(),
                    [this, self, reason] { OnClosed(reason); });
}

}  // namespace fireflycart
