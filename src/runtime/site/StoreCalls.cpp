#include "runtime/site/StoreCalls.h"

#include <asio/post.hpp>

#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t StoreConnections = 2;
constexpr std::size_t PromotionConnections = 2;
/// A reply usually takes a few milliseconds; a slow store takes hundreds.
constexpr Duration AnswerTimeout = milliseconds(1200);

std::vector<std::unique_ptr<HttpClient>> makeClients(asio::io_context &Io,
                                                     const std::string &Address,
                                                     std::size_t Count) {
  std::vector<std::unique_ptr<HttpClient>> Clients;
  for (; Count > 0; --Count)
    Clients.push_back(std::make_unique<HttpClient>(Io, Address));
  return Clients;
}

} // namespace

StoreCalls::StoreCalls(asio::io_context &Io, VmId Self,
                       const std::string &StoreAddress,
                       const std::string &PromotionAddress)
    : m_Self(std::move(Self)),
      m_Store(makeClients(Io, StoreAddress, StoreConnections)),
      m_Promotion(makeClients(Io, PromotionAddress, PromotionConnections)) {}

HttpClient &
StoreCalls::selectClient(std::vector<std::unique_ptr<HttpClient>> &Clients) {
  for (const auto &Client : Clients)
    if (!Client->busy())
      return *Client;
  return *Clients.front();
}

void StoreCalls::call(const PlatformRequest &Request, Callback OnAnswer) {
  platform::HttpCall Call = platform::encodeCall(Request, m_Self);
  HttpClient &Client =
      selectClient(Call.ToPromotionService ? m_Promotion : m_Store);
  Client.call(Call, AnswerTimeout,
              [Request, OnAnswer = std::move(OnAnswer)](
                  unsigned Status, const std::string &Body) {
                OnAnswer(platform::decodeAnswer(Request, Status, Body));
              });
}

} // namespace bergamotstage::runtime
