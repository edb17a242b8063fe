#include "bergamotstage/pooling/StoreReaders.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::pooling {
namespace {

/// Minimum number of readers, and VMs per additional reader. A reader answers
/// about fifty VMs per second, which is a negligible load.
constexpr std::size_t MinReaders = 2;
constexpr std::size_t VmsPerReader = 50;
/// Polling interval; VMs poll the readers in turns.
constexpr Duration RequestInterval = milliseconds(500);
/// Subscribers that have not polled for this time get no more changes.
constexpr Duration SubscriptionTimeout = seconds(3);
/// Maximum age of store data on a VM, delays of other VMs included, before it
/// reads the store itself. A change must take effect within three seconds.
constexpr Duration MaxStoreAge = milliseconds(2500);
/// Maximum time until the next update from a reader.
constexpr Duration UpdateValidity = milliseconds(1300);

/// Time in which a VM receives a configuration that a reader has, from other
/// VMs or by a single read of the store.
constexpr Duration ConfigFetchTimeout = seconds(1);

/// Time that a VM which has just read all tables waits for the first update
/// from a reader before it follows the store itself.
constexpr Duration FirstUpdateTimeout = milliseconds(2500);
/// Time until a VM that has just started knows enough of the others to tell
/// whether it is a reader. The first updates arrive before FirstUpdateTimeout.
constexpr Duration FirstReaderDelay = milliseconds(1500);

/// Retry delays of a reader, and of the VMs of a large fleet together.
constexpr Duration FirstReaderRetry = milliseconds(250);
constexpr Duration MaxReaderRetry = milliseconds(1500);
constexpr Duration RetryIntervalPerVm = milliseconds(50);

const char *const ReaderSubject = "store reader";

} // namespace

void StoreReaders::start() {
  m_UpdatesValidUntil = m_Context.now() + FirstUpdateTimeout;
  m_MayReadFrom = m_Context.now() + FirstReaderDelay;
  m_Context.scheduleAfter(RequestInterval, [this] { requestUpdate(); });
}

std::vector<VmId> StoreReaders::readers() const {
  const RankedMembers &Members = m_Hooks.Members();
  std::vector<VmId> Order = Members.ownerOrder(ReaderSubject, DataCentreId());
  std::size_t Count = MinReaders + Members.all().size() / VmsPerReader;
  if (Order.size() > Count)
    Order.resize(Count);
  return Order;
}

bool StoreReaders::isReader() const {
  std::vector<VmId> Readers = readers();
  return std::find(Readers.begin(), Readers.end(), m_Context.self()) !=
         Readers.end();
}

void StoreReaders::requestUpdate() {
  m_Context.scheduleAfter(RequestInterval, [this] { requestUpdate(); });
  std::vector<VmId> Readers = readers();
  Readers.erase(std::remove(Readers.begin(), Readers.end(), m_Context.self()),
                Readers.end());
  bool Reader = isReader();
  if (!Readers.empty() && !Reader) {
    const VmId &Next = Readers[m_NextReader++ % Readers.size()];
    m_Hooks.SendRequest(Next, makeRequest(m_AppliedVersions[Next]));
  }
  updateFollowing();
}

StoreUpdateRequest
StoreReaders::makeRequest(std::uint64_t TargetsVersion) const {
  return {m_Hooks.ConfigVersion(), TargetsVersion,
          toTimestamp(m_Context.now())};
}

/// @brief Extends the validity of the readers' updates.
///
/// The reader computed StoreAge after it was asked, which makes the request
/// time a safe base. An unsolicited update has no request time and may have
/// been delayed arbitrarily; it extends nothing.
void StoreReaders::extendValidity(const StoreUpdate &Update) {
  if (Update.Timestamp == 0)
    return;
  Instant RequestedAt = fromTimestamp(Update.Timestamp);
  Duration Validity = std::min(UpdateValidity, MaxStoreAge - Update.StoreAge);
  if (RequestedAt > m_Context.now() ||
      RequestedAt + Validity <= m_UpdatesValidUntil)
    return;
  m_UpdatesValidUntil = RequestedAt + Validity;
  if (m_ExpiryTimer)
    m_Context.timers().cancel(*m_ExpiryTimer);
  m_ExpiryTimer = m_Context.timers().schedule(m_UpdatesValidUntil, [this] {
    m_ExpiryTimer.reset();
    updateFollowing();
  });
}

void StoreReaders::updateFollowing() {
  bool MayRead = m_Context.now() >= m_MayReadFrom;
  bool ShouldFollow =
      (MayRead && isReader()) || m_Context.now() >= m_UpdatesValidUntil;
  Following Next = following(ShouldFollow);
  bool Switched = Next.Active != m_Following.Active;
  if (!Switched && (!Next.Active || Next == m_Following))
    return;
  m_Following = Next;
  if (Switched)
    m_Context.log(WriteLog::Level::Info, "follows_store",
                  {{"follows", ShouldFollow ? "yes" : "no"},
                   {"reader", isReader() ? "yes" : "no"}});
  m_Hooks.SetFollowing(m_Following);
}

/// @brief Bounds the calls of a large fleet during an outage.
///
/// While all readers lack the store, each VM tries once by itself. If that
/// fails as well, the readers notice the end of the outage.
StoreReaders::Following StoreReaders::following(bool Active) const {
  Duration PerFleet = RetryIntervalPerVm * m_Hooks.Members().all().size();
  bool Slow = !isReader() && PerFleet > MaxReaderRetry;
  return {Active, Slow ? PerFleet : FirstReaderRetry,
          Slow ? PerFleet : MaxReaderRetry};
}

void StoreReaders::onStoreResponse() { m_LastStoreResponse = m_Context.now(); }

StoreUpdate StoreReaders::makeUpdate() const {
  StoreUpdate Update;
  Update.StoreAge = m_Context.now() - m_LastStoreResponse;
  Update.ConfigVersion = m_Hooks.ConfigVersion();
  Update.BaseTargetsVersion = m_ListVersion;
  Update.TargetsVersion = m_ListVersion;
  Update.Evacuations = m_Hooks.Evacuations();
  return Update;
}

void StoreReaders::publish(StoreUpdate Update) {
  for (auto Subscriber = m_Subscribers.begin();
       Subscriber != m_Subscribers.end();) {
    if (Subscriber->second + SubscriptionTimeout < m_Context.now()) {
      Subscriber = m_Subscribers.erase(Subscriber);
      continue;
    }
    m_Hooks.SendReply(Subscriber->first, FleetMessage(Update));
    ++Subscriber;
  }
}

void StoreReaders::onTargetsChanged(const std::vector<TargetEntry> &Changed,
                                    const std::vector<TargetId> &Removed) {
  if (m_ListVersion == 0)
    return;
  StoreUpdate Update = makeUpdate();
  Update.TargetsVersion = ++m_ListVersion;
  Update.Changed = Changed;
  Update.Removed = Removed;
  publish(std::move(Update));
}

void StoreReaders::onTargetsListed() {
  // Other VMs may still know a version of the process before this one.
  if (m_ListVersion == 0)
    m_ListVersion = m_Context.random()() >> 1U;
  ++m_ListVersion;
}

void StoreReaders::onConfigChanged() { publish(makeUpdate()); }

void StoreReaders::onEvacuationsChanged() { publish(makeUpdate()); }

void StoreReaders::onUpdateRequest(const VmId &From,
                                   const StoreUpdateRequest &Request) {
  m_Subscribers[From] = m_Context.now();
  StoreUpdate Update = makeUpdate();
  Update.Timestamp = Request.Timestamp;
  // Without following the store, this VM's list may lack targets.
  bool HasCurrentList = m_Following.Active && Update.StoreAge <= MaxStoreAge;
  if (!HasCurrentList)
    Update.TargetsVersion = Update.BaseTargetsVersion = 0;
  else if (Request.TargetsVersion != m_ListVersion) {
    Update.BaseTargetsVersion = 0;
    Update.Changed = m_Hooks.Targets();
  }
  m_Hooks.SendReply(From, std::move(Update));
}

void StoreReaders::onUpdate(const VmId &From, const StoreUpdate &Update) {
  m_Hooks.OnConfigVersion(From, Update.ConfigVersion);
  m_Hooks.ApplyEvacuations(Update.Evacuations);
  std::uint64_t &AppliedVersion = m_AppliedVersions[From];
  if (Update.StoreAge > MaxStoreAge)
    return updateFollowing();
  bool Full = Update.BaseTargetsVersion == 0 && Update.TargetsVersion > 0;
  bool Incremental =
      Update.BaseTargetsVersion == AppliedVersion && AppliedVersion > 0;
  if (Full || Incremental) {
    if (Update.TargetsVersion != AppliedVersion)
      m_Hooks.ApplyUpdate(Update);
    AppliedVersion = Update.TargetsVersion;
  } else if (Update.TargetsVersion > 0) {
    // A change was missed; request the full list.
    AppliedVersion = 0;
    m_Hooks.SendRequest(From, makeRequest(0));
  }
  bool UpToDate = Update.TargetsVersion > 0 &&
                  AppliedVersion == Update.TargetsVersion &&
                  Update.StoreAge <= MaxStoreAge;
  if (UpToDate && hasOrFetchesConfig(Update.ConfigVersion))
    extendValidity(Update);
  updateFollowing();
}

/// @brief Whether this VM has a configuration or may still be receiving it.
///
/// Following the store transfers the whole configuration, which would delay the
/// one that is on its way.
bool StoreReaders::hasOrFetchesConfig(std::uint64_t Version) {
  if (m_Fetch && m_Fetch->Version <= m_Hooks.ConfigVersion())
    m_Fetch.reset();
  if (Version <= m_Hooks.ConfigVersion())
    return true;
  if (!m_Fetch)
    m_Fetch = {Version, m_Context.now() + ConfigFetchTimeout};
  return m_Context.now() < m_Fetch->Until;
}

} // namespace bergamotstage::pooling
