#include "bergamotstage/pooling/ConfigExchange.h"

#include <algorithm>

namespace bergamotstage::pooling {
namespace {

/// Time in which a data centre's distributor gets a new configuration.
constexpr Duration DistributorDelay = milliseconds(80);
/// Timeout of a configuration request to another VM.
constexpr Duration PeerTimeout = milliseconds(400);
/// Time after which a VM that waits for a configuration has asked elsewhere.
constexpr Duration WaitTimeout = seconds(2);
/// Texts that a VM keeps as bases of differences.
constexpr std::size_t MaxTexts = 3;
constexpr std::size_t MaxTextBytes = std::size_t{16} * 1024 * 1024;

const char *const DistributorSubject = "config of a data centre";

} // namespace

bool ConfigExchange::accept(const ReceivedConfig &Received) {
  const SiteConfig &Config = *Received.Config;
  if (Config.Version <= m_Version) {
    countOutdated(Config.Version, Received.Source, Received.Bytes);
    return false;
  }
  m_Version = Config.Version;
  m_Texts.push_front({digestOf(Received.Text), Received.Text});
  if (m_Texts.size() > MaxTexts)
    m_Texts.pop_back();
  m_Compressed.clear();
  ++m_Counts.Applied;
  m_Counts.Bytes += Received.Bytes;
  Duration Behind =
      m_BehindSince ? m_Context.now() - *m_BehindSince : Duration(0);
  m_Context.log(WriteLog::Level::Info, "config_in_force",
                {{"version", std::to_string(Config.Version)},
                 {"routes", std::to_string(Config.Routes.size())},
                 {"keys", std::to_string(Config.Keys.size())},
                 {"accounts", std::to_string(Config.Accounts.size())},
                 {"source", Received.Source},
                 {"bytes", std::to_string(Received.Bytes)},
                 {"behind_ms", formatMilliseconds(Behind)}});
  if (m_NextStep)
    m_Context.timers().cancel(*m_NextStep);
  m_NextStep.reset();
  if (m_Version >= m_KnownVersion)
    m_BehindSince.reset();
  else
    startFetch();
  return true;
}

void ConfigExchange::countOutdated(std::uint64_t Version,
                                   const std::string &Source,
                                   std::size_t Bytes) {
  ++m_Counts.Outdated;
  m_Counts.Bytes += Bytes;
  m_Context.log(WriteLog::Level::Info, "config_outdated",
                {{"version", std::to_string(Version)},
                 {"own", std::to_string(m_Version)},
                 {"source", Source},
                 {"bytes", std::to_string(Bytes)}});
}

// Fetching.

const VmId &ConfigExchange::distributor() const {
  const RankedMembers &Members = m_Hooks.Members();
  const MemberState *Chosen = nullptr;
  for (const VmId &Id :
       Members.ownerOrder(DistributorSubject, m_Context.dataCentre())) {
    const MemberState *Next = Members.find(Id);
    bool Larger = Chosen == nullptr || Next->Cores > Chosen->Cores;
    if (Next->DataCentre == m_Context.dataCentre() && Larger)
      Chosen = Next;
  }
  return Chosen == nullptr ? m_Context.self() : Chosen->Vm;
}

void ConfigExchange::onPeerVersion(const VmId &From, std::uint64_t Version) {
  if (Version <= m_Version)
    return;
  // The VM with the newest version may be gone.
  if (Version >= m_KnownVersion || !m_NextStep) {
    m_KnownVersion = std::max(m_KnownVersion, Version);
    m_Holder = From;
  }
  if (!m_BehindSince)
    m_BehindSince = m_Context.now();
  if (!m_NextStep)
    startFetch();
}

void ConfigExchange::startFetch() {
  m_Context.log(WriteLog::Level::Info, "newer_config_at_peer",
                {{"vm", m_Holder.value()},
                 {"version", std::to_string(m_KnownVersion)},
                 {"own", std::to_string(m_Version)}});
  // Until its first list arrives, a VM has asked the store already.
  if (m_Version == 0)
    return scheduleStep(PeerTimeout, &ConfigExchange::requestFromHolder);
  const MemberState *Holder = m_Hooks.Members().find(m_Holder);
  bool Nearby =
      Holder != nullptr && Holder->DataCentre == m_Context.dataCentre();
  if (Nearby || distributor() == m_Context.self())
    return requestFromHolder();
  scheduleStep(DistributorDelay, &ConfigExchange::requestFromDistributor);
}

void ConfigExchange::requestFromDistributor() {
  request(distributor(), currentDigest());
  scheduleStep(PeerTimeout, &ConfigExchange::requestFromHolder);
}

void ConfigExchange::requestFromHolder() {
  request(m_Holder, currentDigest());
  scheduleStep(PeerTimeout, &ConfigExchange::readStore);
}

void ConfigExchange::readStore() {
  m_Hooks.ReadStore();
  scheduleStep(PeerTimeout, &ConfigExchange::endFetch);
}

/// @brief Lets the next VM that reports a newer version start another fetch.
void ConfigExchange::endFetch() {
  m_Context.log(WriteLog::Level::Warning, "config_not_received",
                {{"version", std::to_string(m_KnownVersion)},
                 {"own", std::to_string(m_Version)}});
}

void ConfigExchange::request(const VmId &From, TextDigest Base) {
  if (From != m_Context.self())
    m_Hooks.SendRequest(From, ConfigRequest{m_Version, Base});
}

void ConfigExchange::scheduleStep(Duration Delay,
                                  void (ConfigExchange::*Step)()) {
  m_NextStep = m_Context.scheduleAfter(Delay, [this, Step] {
    m_NextStep.reset();
    (this->*Step)();
  });
}

void ConfigExchange::onText(const VmId &From, const ConfigText &Reply) {
  if (Reply.Version <= m_Version)
    return countOutdated(Reply.Version, From.value(), Reply.Compressed.size());
  const StoredText *Base = findText(Reply.Base);
  tl::expected<std::string, std::string> Text =
      Base == nullptr && Reply.Base != TextDigest()
          ? tl::make_unexpected(std::string("has an unknown base"))
          : decompressText(Reply.Compressed,
                           Base == nullptr ? std::string_view() : Base->Text,
                           MaxTextBytes);
  if (Text)
    return m_Hooks.Apply(From, *Text, Reply.Compressed.size());
  m_Context.log(WriteLog::Level::Error, "config_malformed",
                {{"source", From.value()}, {"reason", Text.error()}});
  if (Reply.Base != TextDigest())
    request(From, TextDigest());
}

// Serving.

const ConfigExchange::StoredText *
ConfigExchange::findText(TextDigest Digest) const {
  auto Found = std::find_if(
      m_Texts.begin(), m_Texts.end(),
      [&](const StoredText &Stored) { return Stored.Digest == Digest; });
  return Found == m_Texts.end() ? nullptr : &*Found;
}

TextDigest ConfigExchange::currentDigest() const {
  return m_Texts.empty() ? TextDigest() : m_Texts.front().Digest;
}

void ConfigExchange::onRequest(const VmId &From, const ConfigRequest &Request) {
  if (Request.Version < m_Version)
    return sendText(From, Request.Base);
  m_Waiting[From] = {Request.Base, m_Context.now() + WaitTimeout};
}

void ConfigExchange::sendToWaiting() {
  for (const auto &[Vm, Request] : std::exchange(m_Waiting, {}))
    if (m_Context.now() < Request.Until)
      sendText(Vm, Request.Base);
}

void ConfigExchange::sendText(const VmId &To, TextDigest Base) {
  const StoredText *Known = findText(Base);
  TextDigest Used = Known == nullptr ? TextDigest() : Base;
  auto [Entry, Added] = m_Compressed.try_emplace(Used);
  if (Added)
    Entry->second =
        compressText(m_Texts.front().Text,
                     Known == nullptr ? std::string_view() : Known->Text);
  m_Hooks.SendReply(To, ConfigText{m_Version, Used, Entry->second});
}

} // namespace bergamotstage::pooling
