// nghttp2 keeps the protocol state. After each batch of input and after each
// submission, the bytes that nghttp2 has to send are collected and written in
// one operation.

#include "fireflycart/net/http2_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "fireflycart/net/peer_codec.h"

namespace fireflycart {
namespace {

constexpr int32_t kWindowBytes = 16 << 20;
constexpr size_t kWriteBatchBytes = 1 << 20;

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

Http2Connection::Http2Connection(boost::asio::ip::tcp::socket socket, Side side)
    : socket_(std::move(socket)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, HeaderReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            DataReceived);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       FrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         StreamClosed);
  if (side == Side::kClient) {
    nghttp2_session_client_new(&session_, callbacks, this);
  } else {
    nghttp2_session_server_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes}};
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
  OnClosed();
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
  std::vector<Http2Header> headers = {{":status", "200"}};
  std::vector<nghttp2_nv> values = NameValues(headers);
  nghttp2_data_provider provider = Provider(stream);
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
  Self(user_data)->OnHeader(
      frame->hd.stream_id,
      std::string(reinterpret_cast<const char*>(name), name_length),
      std::string(reinterpret_cast<const char*>(value), value_length));
  return 0;
}

int Http2Connection::DataReceived(nghttp2_session* session, uint8_t flags,
                                  int32_t stream, const uint8_t* data,
                                  size_t length, void* user_data) {
  (void)flags;
  std::string& body = Self(user_data)->incoming_[stream];
  if (body.size() + length > kMaxPeerMessageBytes) {
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                              NGHTTP2_ENHANCE_YOUR_CALM);
    return 0;
  }
  body.append(reinterpret_cast<const char*>(data), length);
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
