#include "standin/TargetServer.h"

#include "standin/TargetSession.h"

#include <chrono>

namespace bergamotstage::standin {

Instant readClock() {
  auto Elapsed = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(Elapsed));
}

TargetServer::TargetServer(asio::io_context &Io,
                           std::shared_ptr<SharedGroup> Shared, TargetId Target,
                           std::uint16_t Port)
    : m_Io(Io), m_Acceptor(Io, {asio::ip::make_address("127.0.0.1"), Port}),
      m_Shared(std::move(Shared)), m_Target(std::move(Target)) {
  accept();
}

void TargetServer::accept() {
  m_Acceptor.async_accept(
      [this](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (!Error) {
          Socket.set_option(asio::ip::tcp::no_delay(true), Error);
          std::make_shared<TargetSession>(std::move(Socket), m_Shared, m_Target,
                                          ++m_LastSession)
              ->start();
        }
        accept();
      });
}

} // namespace bergamotstage::standin
