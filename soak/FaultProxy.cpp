#include "FaultProxy.h"

#include <asio/steady_timer.hpp>

#include <utility>

namespace bergamotstage::soak {
namespace {

constexpr Duration AddedLatency = milliseconds(60);
/// High, so that the proxy itself does not time out connections.
constexpr Duration IdleTimeout = seconds(600);

} // namespace

FaultProxy::FaultProxy(asio::io_context &Io, std::string Target)
    : m_Io(Io),
      m_Acceptor(Io,
                 asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_Target(std::move(Target)) {
  accept();
}

std::string FaultProxy::address() const {
  return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
}

void FaultProxy::accept() {
  m_Acceptor.async_accept(
      [this](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error && m_Mode != Mode::Refuse) {
          auto Connection = std::make_shared<Tunnel>();
          auto HooksFor = [this, Connection](bool ToTarget) {
            runtime::ByteStream::Hooks Hooks;
            std::weak_ptr<Tunnel> Weak = Connection;
            Hooks.Received = [this, Weak, ToTarget](std::string_view Bytes) {
              if (auto Locked = Weak.lock())
                forward(Locked, ToTarget, Bytes);
            };
            Hooks.Ended = [this, Weak](const std::string &) {
              if (auto Locked = Weak.lock())
                closeTunnel(Locked);
            };
            return Hooks;
          };
          Connection->Upstream = runtime::ByteStream::connect(
              m_Io, m_Target, IdleTimeout, HooksFor(false));
          Connection->Client = runtime::ByteStream::adopt(
              std::move(Socket), IdleTimeout, HooksFor(true));
          m_Tunnels.push_back(Connection);
        }
        accept();
      });
}

void FaultProxy::forward(const std::shared_ptr<Tunnel> &Connection,
                         bool ToTarget, std::string_view Bytes) {
  bool Drops = m_Mode == Mode::Drop || (m_Mode == Mode::OneWay && !ToTarget);
  Connection->DataLost = Connection->DataLost || Drops;
  if (Connection->DataLost)
    return;
  auto Output = ToTarget ? Connection->Upstream : Connection->Client;
  auto &Delayed =
      ToTarget ? Connection->DelayedToTarget : Connection->DelayedToClient;
  if (m_Mode != Mode::Delay && Delayed.empty())
    return Output->send(Bytes);
  Delayed.emplace_back(Bytes);
  auto Timer = std::make_shared<asio::steady_timer>(m_Io, AddedLatency);
  Timer->async_wait(
      [this, Timer, Connection, Output, &Delayed](std::error_code) {
        // TCP keeps the order of bytes: what follows a delay waits for it.
        while (!Delayed.empty()) {
          Output->send(Delayed.front());
          Delayed.pop_front();
          if (m_Mode == Mode::Delay)
            return;
        }
      });
}

void FaultProxy::closeTunnel(const std::shared_ptr<Tunnel> &Connection) {
  m_Tunnels.remove(Connection);
  Connection->Client->close();
  Connection->Upstream->close();
}

void FaultProxy::reset() {
  auto Tunnels = m_Tunnels;
  for (const auto &Connection : Tunnels)
    closeTunnel(Connection);
}

} // namespace bergamotstage::soak
