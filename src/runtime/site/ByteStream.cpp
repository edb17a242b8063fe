#include "runtime/site/ByteStream.h"

#include "runtime/Address.h"
#include "runtime/site/SocketOptions.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <utility>

namespace bergamotstage::runtime {

std::shared_ptr<ByteStream> ByteStream::connect(asio::io_context &Io,
                                                const std::string &Address,
                                                Duration SilenceTimeout,
                                                Hooks Callbacks) {
  auto Stream = std::make_shared<ByteStream>(asio::ip::tcp::socket(Io));
  Stream->m_Hooks = std::move(Callbacks);
  Stream->m_SilenceTimeout = SilenceTimeout;
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    asio::post(
        Io, [Stream, Address] { Stream->end("invalid address: " + Address); });
    return Stream;
  }
  std::error_code Fault;
  Stream->m_Socket.open(Endpoint->protocol(), Fault);
  if (!Fault)
    setSilenceTimeout(Stream->m_Socket, SilenceTimeout);
  Stream->m_Socket.async_connect(*Endpoint, [Stream](std::error_code Error) {
    if (Stream->m_Ended)
      return;
    if (Error)
      return Stream->end("connect: " + Error.message());
    Stream->m_Connected = true;
    Stream->read();
    if (Stream->m_Hooks.Connected)
      Stream->m_Hooks.Connected();
    Stream->write();
  });
  return Stream;
}

std::shared_ptr<ByteStream> ByteStream::adopt(asio::ip::tcp::socket Socket,
                                              Duration SilenceTimeout,
                                              Hooks Callbacks) {
  auto Stream = std::make_shared<ByteStream>(std::move(Socket));
  Stream->m_Hooks = std::move(Callbacks);
  Stream->m_SilenceTimeout = SilenceTimeout;
  Stream->m_Connected = true;
  setSilenceTimeout(Stream->m_Socket, SilenceTimeout);
  Stream->read();
  return Stream;
}

void ByteStream::send(std::string_view Bytes) {
  if (m_Ended)
    return;
  if (m_PendingOutput.size() + Bytes.size() > MaxPendingOutputBytes) {
    asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
      Self->end("the peer does not read its input");
    });
    return;
  }
  m_PendingOutput.append(Bytes);
  write();
}

void ByteStream::write() {
  if (!m_Connected || m_Ended || !m_OutputInFlight.empty())
    return;
  if (m_PendingOutput.empty()) {
    if (m_CloseAfterOutput)
      close();
    return;
  }
  m_OutputInFlight.swap(m_PendingOutput);
  asio::async_write(
      m_Socket, asio::buffer(m_OutputInFlight),
      [Self = shared_from_this()](std::error_code Error, std::size_t) {
        Self->m_OutputInFlight.clear();
        if (Self->m_Ended)
          return;
        if (Error)
          return Self->end("write: " + Error.message());
        Self->write();
      });
}

void ByteStream::read() {
  m_Socket.async_read_some(
      asio::buffer(m_InputBuffer),
      [Self = shared_from_this()](std::error_code Error, std::size_t Count) {
        if (Self->m_Ended)
          return;
        if (Error)
          return Self->end("read: " + Error.message());
        Self->m_Hooks.Received(
            std::string_view(Self->m_InputBuffer.data(), Count));
        if (!Self->m_Ended)
          Self->read();
      });
}

void ByteStream::setDeadline(Duration Timeout, const std::string &Reason) {
  m_Deadline.expires_after(Timeout);
  m_Deadline.async_wait(
      [Self = shared_from_this(), Reason](std::error_code Cancelled) {
        if (!Cancelled && !Self->m_Ended)
          Self->end(Reason);
      });
}

void ByteStream::cancelDeadline() { m_Deadline.cancel(); }

void ByteStream::end(const std::string &Reason) {
  if (m_Ended)
    return;
  auto Ended = std::move(m_Hooks.Ended);
  close();
  if (Ended)
    Ended(Reason);
}

void ByteStream::close() {
  if (m_Ended)
    return;
  m_Ended = true;
  m_Deadline.cancel();
  std::error_code Ignored; // The descriptor is released in any case.
  m_Socket.close(Ignored);
  // The hooks are destroyed later because one of them may be running now.
  asio::post(m_Socket.get_executor(),
             [Self = shared_from_this()] { Self->m_Hooks = Hooks(); });
}

void ByteStream::closeAfterOutput() {
  m_CloseAfterOutput = true;
  write();
}

} // namespace bergamotstage::runtime
