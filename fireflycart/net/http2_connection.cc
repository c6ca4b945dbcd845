// nghttp2 keeps the protocol state. After each batch of input and after each
// submission, the bytes that nghttp2 has to send are collected and written in
// one operation.
//
// The window of the connection is always given back at once, so a stream that
// waits for its turn holds up no other; only its own window stays closed.

#include "fireflycart/net/http2_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "fireflycart/net/peer_codec.h"

namespace fireflycart {
namespace {

constexpr int32_t kWindowBytes = 16 << 20;
constexpr size_t kWriteBatchBytes = 1 << 20;
// What an open stream takes, its protocol state and its header included.
constexpr size_t kStreamOverheadBytes = 1024;

nghttp2_nv NameValue(const Http2Header& header) {
  nghttp2_nv nv;
  nv.name = reinterpret_cast<uint8_t*>(const_cast<char*>(header.name.data()));
  nv.value = reinterpret_cast<uint8_t*>(const_cast<char*>(header.value.data()));
  nv.namelen = header.name.size();
  nv.valuelen = header.value.size();
  nv.flags = NGHTTP2_NV_FLAG_NONE;
  return nv;
}

std::vector<nghttp2_nv> NameValues(const std::vector<Http2Header>& headers) {
  std::vector<nghttp2_nv> values;
  values.reserve(headers.size());
  for (const Http2Header& header : headers) values.push_back(NameValue(header));
  return values;
}

}  // namespace

// The reservation of one stream.
class Http2Connection::StreamTurn : public MemoryHolder {
 public:
  StreamTurn(Http2Connection* connection, int32_t stream)
      : connection_(connection->weak_from_this()),
        executor_(connection->socket_.get_executor()),
        peer_(connection->Describe()),
        stream_(stream) {}

  void OnMayReceive() override {
    boost::asio::post(executor_, [weak = connection_, stream = stream_] {
      auto connection = weak.lock();
      if (connection) connection->ContinueStream(stream);
    });
  }

  void OnMustGo() override {
    boost::asio::post(executor_, [weak = connection_, stream = stream_] {
      auto connection = weak.lock();
      if (connection) connection->ResetStream(stream);
    });
  }

  std::string Describe() const override {
    return peer_ + " stream " + std::to_string(stream_);
  }

 private:
  std::weak_ptr<Http2Connection> connection_;
  boost::asio::ip::tcp::socket::executor_type executor_;
  std::string peer_;
  int32_t stream_;
};

Http2Connection::Http2Connection(boost::asio::ip::tcp::socket socket, Side side,
                                 MemoryGuard* memory)
    : socket_(std::move(socket)), memory_(memory) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, HeaderReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            DataReceived);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       FrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         StreamClosed);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, memory_ == nullptr ? 0 : 1);
  if (side == Side::kClient) {
    nghttp2_session_client_new2(&session_, callbacks, this, option);
  } else {
    nghttp2_session_server_new2(&session_, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  int32_t stream_window =
      memory_ == nullptr ? kWindowBytes : kStreamWindowBytes;
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<uint32_t>(stream_window)}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kWindowBytes);
}

Http2Connection::~Http2Connection() { nghttp2_session_del(session_); }

void Http2Connection::Start() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  ReadSome();
  Flush();
}

void Http2Connection::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  ForgetAllStreams();
  OnClosed();
}

void Http2Connection::OnMustGo() {
  auto self = shared_from_this();
  boost::asio::post(socket_.get_executor(), [self] { self->Close(); });
}

std::string Http2Connection::Describe() const {
  boost::system::error_code ignored;
  auto endpoint = socket_.remote_endpoint(ignored);
  return "peer connection from " + endpoint.address().to_string();
}

void Http2Connection::HoldStream(int32_t stream, size_t bytes) {
  if (memory_ == nullptr || closed_) return;
  StreamAccount& account = accounts_[stream];
  bool is_reserved =
      account.turn && memory_->budget().HasReservation(*account.turn);
  held_bytes_ -= account.bytes;
  account.bytes = is_reserved ? 0 : bytes + kStreamOverheadBytes;
  held_bytes_ += account.bytes;
  memory_->Hold(this, held_bytes_);
}

void Http2Connection::ReceiveStream(int32_t stream, size_t body,
                                    size_t length) {
  if (memory_ == nullptr || closed_) return;
  nghttp2_session_consume_connection(session_, length);
  StreamAccount& account = accounts_[stream];
  account.withheld += length;
  MessageSize size = MessageSizeOf(body + 1);
  bool may_receive = size == MessageSize::kSmall;
  if (!may_receive) {
    if (!account.turn) {
      account.turn = std::make_shared<StreamTurn>(this, stream);
    }
    memory_->OnProgress(account.turn.get(), body);
    may_receive =
        memory_->Reserve(account.turn.get(), MemorySide::kPeers, size);
  }
  HoldStream(stream, body);
  if (may_receive) ContinueStream(stream);
}

// Called for a part of a body that may be followed by more, and when the stream
// gets its turn.
void Http2Connection::ContinueStream(int32_t stream) {
  auto found = accounts_.find(stream);
  if (closed_ || found == accounts_.end()) return;
  nghttp2_session_consume_stream(session_, stream, found->second.withheld);
  found->second.withheld = 0;
  auto body = incoming_.find(stream);
  if (body != incoming_.end()) HoldStream(stream, body->second.size());
  Flush();
}

void Http2Connection::ForgetStream(int32_t stream) {
  auto found = accounts_.find(stream);
  if (found == accounts_.end()) return;
  held_bytes_ -= found->second.bytes;
  if (found->second.turn) memory_->Remove(found->second.turn.get());
  accounts_.erase(found);
  memory_->Hold(this, held_bytes_);
}

void Http2Connection::ForgetAllStreams() {
  if (memory_ == nullptr) return;
  for (auto& item : accounts_) {
    if (item.second.turn) memory_->Remove(item.second.turn.get());
  }
  accounts_.clear();
  held_bytes_ = 0;
  incoming_.clear();
  outgoing_.clear();
  memory_->Remove(this);
}

int32_t Http2Connection::SubmitRequest(const std::vector<Http2Header>& headers,
                                       std::string body) {
  if (closed_) return -1;
  std::vector<nghttp2_nv> values = NameValues(headers);
  nghttp2_data_provider provider = Provider(0);
  int32_t stream = nghttp2_submit_request(session_, nullptr, values.data(),
                                          values.size(), &provider, nullptr);
  if (stream < 0) return stream;
  outgoing_[stream].body = std::move(body);
  Flush();
  return stream;
}

void Http2Connection::SubmitResponse(int32_t stream, std::string body) {
  if (closed_) return;
  // The peer has given the request up. A server that accounts for memory knows
  // each stream from its header to its end.
  if (memory_ != nullptr && accounts_.count(stream) == 0) return;
  std::vector<Http2Header> headers = {{":status", "200"}};
  std::vector<nghttp2_nv> values = NameValues(headers);
  nghttp2_data_provider provider = Provider(stream);
  HoldStream(stream, body.size());
  outgoing_[stream].body = std::move(body);
  int result = nghttp2_submit_response(session_, stream, values.data(),
                                       values.size(), &provider);
  if (result != 0) outgoing_.erase(stream);
  Flush();
}

void Http2Connection::ResetStream(int32_t stream) {
  if (closed_) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream,
                            NGHTTP2_CANCEL);
  Flush();
}

Http2Connection* Http2Connection::Self(void* user_data) {
  return static_cast<Http2Connection*>(user_data);
}

ssize_t Http2Connection::ReadBody(nghttp2_session* session, int32_t stream,
                                  uint8_t* buffer, size_t length,
                                  uint32_t* flags, nghttp2_data_source* source,
                                  void* user_data) {
  (void)session;
  (void)source;
  Outgoing& outgoing = Self(user_data)->outgoing_[stream];
  size_t left = outgoing.body.size() - outgoing.sent;
  size_t count = std::min(left, length);
  std::memcpy(buffer, outgoing.body.data() + outgoing.sent, count);
  outgoing.sent += count;
  if (outgoing.sent == outgoing.body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

int Http2Connection::HeaderReceived(nghttp2_session* session,
                                    const nghttp2_frame* frame,
                                    const uint8_t* name, size_t name_length,
                                    const uint8_t* value, size_t value_length,
                                    uint8_t flags, void* user_data) {
  (void)session;
  (void)flags;
  Http2Connection* self = Self(user_data);
  if (self->memory_ != nullptr &&
      self->accounts_.count(frame->hd.stream_id) == 0) {
    self->HoldStream(frame->hd.stream_id, 0);
  }
  self->OnHeader(
      frame->hd.stream_id,
      std::string(reinterpret_cast<const char*>(name), name_length),
      std::string(reinterpret_cast<const char*>(value), value_length));
  return 0;
}

int Http2Connection::DataReceived(nghttp2_session* session, uint8_t flags,
                                  int32_t stream, const uint8_t* data,
                                  size_t length, void* user_data) {
  (void)flags;
  Http2Connection* self = Self(user_data);
  std::string& body = self->incoming_[stream];
  if (body.size() + length > kMaxPeerMessageBytes) {
    if (self->memory_ != nullptr) {
      nghttp2_session_consume_connection(session, length);
    }
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                              NGHTTP2_ENHANCE_YOUR_CALM);
    return 0;
  }
  body.append(reinterpret_cast<const char*>(data), length);
  self->ReceiveStream(stream, body.size(), length);
  return 0;
}

int Http2Connection::FrameReceived(nghttp2_session* session,
                                   const nghttp2_frame* frame,
                                   void* user_data) {
  (void)session;
  bool carries_message =
      frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
  bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (!carries_message || !ends) return 0;
  Http2Connection* self = Self(user_data);
  int32_t stream = frame->hd.stream_id;
  std::string body = std::move(self->incoming_[stream]);
  self->incoming_.erase(stream);
  auto account = self->accounts_.find(stream);
  if (account != self->accounts_.end()) {
    StreamTurn* turn = account->second.turn.get();
    if (turn != nullptr) {
      // It was complete before its turn came.
      if (self->memory_->budget().IsWaiting(*turn)) {
        self->memory_->Release(turn);
      }
      self->memory_->OnReceived(turn);
    }
    self->HoldStream(stream, body.size() * kMessageCopies);
  }
  self->OnMessage(stream, std::move(body));
  return 0;
}

int Http2Connection::StreamClosed(nghttp2_session* session, int32_t stream,
                                  uint32_t error, void* user_data) {
  (void)session;
  (void)error;
  Http2Connection* self = Self(user_data);
  self->incoming_.erase(stream);
  self->outgoing_.erase(stream);
  self->ForgetStream(stream);
  self->OnStreamClosed(stream);
  return 0;
}

void Http2Connection::ReadSome() {
  auto self = shared_from_this();
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [this, self](boost::system::error_code error, size_t length) {
        if (closed_) return;
        if (error) {
          Close();
          return;
        }
        in_callback_ = true;
        ssize_t used =
            nghttp2_session_mem_recv(session_, read_buffer_.data(), length);
        in_callback_ = false;
        if (used < 0) {
          Close();
          return;
        }
        Flush();
        if (!closed_) ReadSome();
      });
}

void Http2Connection::Flush() {
  if (closed_ || is_writing_ || in_callback_) return;
  write_buffer_.clear();
  while (write_buffer_.size() < kWriteBatchBytes) {
    const uint8_t* data = nullptr;
    ssize_t length = nghttp2_session_mem_send(session_, &data);
    if (length < 0) {
      Close();
      return;
    }
    if (length == 0) break;
    write_buffer_.append(reinterpret_cast<const char*>(data),
                         static_cast<size_t>(length));
  }
  if (write_buffer_.empty()) return;
  is_writing_ = true;
  auto self = shared_from_this();
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buffer_),
      [this, self](boost::system::error_code error, size_t) {
        is_writing_ = false;
        if (closed_) return;
        if (error) {
          Close();
          return;
        }
        Flush();
      });
}

nghttp2_data_provider Http2Connection::Provider(int32_t stream) {
  (void)stream;
  nghttp2_data_provider provider;
  provider.source.ptr = nullptr;
  provider.read_callback = ReadBody;
  return provider;
}

}  // namespace fireflycart
