#include "LoopProxy.h"

#include <asio/steady_timer.hpp>

#include <utility>

namespace bergamotstage::soak {
namespace {

constexpr Duration DelayTime = milliseconds(60);
/// The proxy itself never gives a connection up.
constexpr Duration SilenceLimit = seconds(600);

} // namespace

LoopProxy::LoopProxy(asio::io_context &Io, std::string Target)
    : m_Io(Io),
      m_Acceptor(Io,
                 asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_Target(std::move(Target)) {
  accept();
}

std::string LoopProxy::address() const {
  return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
}

void LoopProxy::accept() {
  m_Acceptor.async_accept([this](std::error_code Failed,
                                 asio::ip::tcp::socket Socket) {
    if (Failed == asio::error::operation_aborted)
      return;
    if (!Failed && m_Mode != Mode::Refuse) {
      auto Through = std::make_shared<Pair>();
      auto HooksOf = [this, Through](bool Inwards) {
        runtime::ByteStream::Hooks Hooks;
        std::weak_ptr<Pair> Known = Through;
        Hooks.Received = [this, Known, Inwards](std::string_view Bytes) {
          if (auto Still = Known.lock())
            pass(Still, Inwards, Bytes);
        };
        Hooks.Ended = [this, Known](const std::string &) {
          if (auto Still = Known.lock())
            end(Still);
        };
        return Hooks;
      };
      Through->Far = runtime::ByteStream::connect(m_Io, m_Target, SilenceLimit,
                                                  HooksOf(false));
      Through->Near = runtime::ByteStream::adopt(std::move(Socket),
                                                 SilenceLimit, HooksOf(true));
      m_Pairs.push_back(Through);
    }
    accept();
  });
}

void LoopProxy::pass(const std::shared_ptr<Pair> &Through, bool Inwards,
                     std::string_view Bytes) {
  bool Lost = m_Mode == Mode::Silent || (m_Mode == Mode::OneWay && !Inwards);
  Through->Harmed = Through->Harmed || Lost;
  if (Through->Harmed)
    return;
  auto To = Inwards ? Through->Far : Through->Near;
  if (m_Mode != Mode::Delay)
    return To->send(Bytes);
  auto Timer = std::make_shared<asio::steady_timer>(m_Io, DelayTime);
  Timer->async_wait([Timer, To, Text = std::string(Bytes)](std::error_code) {
    To->send(Text);
  });
}

void LoopProxy::end(const std::shared_ptr<Pair> &Through) {
  m_Pairs.remove(Through);
  Through->Near->close();
  Through->Far->close();
}

void LoopProxy::reset() {
  auto All = m_Pairs;
  for (const auto &Through : All)
    end(Through);
}

} // namespace bergamotstage::soak
