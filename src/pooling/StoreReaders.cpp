#include "bergamotstage/pooling/StoreReaders.h"

#include "bergamotstage/fleetcost/ListDigest.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace bergamotstage::pooling {
namespace {

/// Minimum number of readers, and VMs per additional reader. A reader answers
/// about fifty VMs per second, which is a negligible load.
constexpr std::size_t MinReaders = 2;
constexpr std::size_t VmsPerReader = 50;
/// Polling interval; a VM polls two readers in turns. One alone would delay all
/// changes while it is slow, and each further one sends every change again.
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

/// Exceeds the number of readers; leaves room for later positions.
constexpr std::size_t MaxFirstPosition = 1U << 20U;

const char *const ReaderSubject = "store reader";

} // namespace

StoreReaders::StoreReaders(Context &Ctx, Hooks Callbacks)
    : m_Context(Ctx), m_Hooks(std::move(Callbacks)) {
  // Spreads the VMs over the readers.
  const std::string &Name = Ctx.self().value();
  std::size_t First = XXH3_64bits(Name.data(), Name.size()) % MaxFirstPosition;
  m_Polled = {First, First + 1};
}

void StoreReaders::start() {
  m_UpdatesValidUntil = m_Context.now() + FirstUpdateTimeout;
  m_MayReadFrom = m_Context.now() + FirstReaderDelay;
  m_Context.scheduleAfter(RequestInterval, [this] { requestUpdate(); });
}

std::vector<VmId> StoreReaders::readers() const {
  const RankedMembers &Members = m_Hooks.Members();
  const std::vector<VmId> &Order =
      Members.ownerOrder(ReaderSubject, DataCentreId());
  std::size_t Count = MinReaders + Members.all().size() / VmsPerReader;
  return {Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(Count, Order.size()))};
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
  if (!Readers.empty() && !Reader)
    sendRequest(nextReader(Readers));
  updateFollowing();
}

/// @brief Chooses the reader to poll, in turns. Replaces one whose last poll
/// brought no valid update.
const VmId &StoreReaders::nextReader(const std::vector<VmId> &Readers) {
  if (m_UnansweredReader)
    m_Polled[m_NextPoll] =
        *std::max_element(m_Polled.begin(), m_Polled.end()) + 1;
  m_NextPoll = (m_NextPoll + 1) % m_Polled.size();
  const VmId &Next = Readers[m_Polled[m_NextPoll] % Readers.size()];
  m_UnansweredReader = Next;
  return Next;
}

void StoreReaders::sendRequest(const VmId &To) {
  m_PendingRequests[To] = m_Context.now();
  m_Hooks.SendRequest(
      To, StoreUpdateRequest{m_Hooks.ConfigVersion(), m_AppliedVersions[To],
                             toTimestamp(m_Context.now()),
                             fleetcost::digestOfList(m_Hooks.Targets()),
                             m_Hooks.RejectedClaims()});
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
  Update.BaseTargetsVersion = m_History.version();
  Update.TargetsVersion = m_History.version();
  Update.NewestRow = m_Hooks.NewestRow();
  Update.Evacuations = m_Hooks.Evacuations();
  return Update;
}

void StoreReaders::publish() {
  if (m_Subscribers.empty()) {
    m_PublishedVersion = m_History.version();
    return;
  }
  StoreUpdate Update = makeUpdate();
  if (m_History.isStarted())
    addChangesSince(m_PublishedVersion, Update);
  m_PublishedVersion = m_History.version();
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

void StoreReaders::addChangesSince(std::uint64_t Version,
                                   StoreUpdate &Update) const {
  auto Changed = m_History.changedSince(Version);
  if (!Changed) {
    Update.BaseTargetsVersion = 0;
    Update.Changed = m_Hooks.Targets();
    return;
  }
  Update.BaseTargetsVersion = Version;
  if (!Changed->empty())
    addEntries(*Changed, Update);
}

void StoreReaders::addEntries(const std::vector<TargetId> &Ids,
                              StoreUpdate &Update) const {
  std::vector<TargetEntry> Listed = m_Hooks.Targets();
  for (const TargetId &Id : Ids) {
    auto Entry = std::find_if(
        Listed.begin(), Listed.end(),
        [&Id](const TargetEntry &Candidate) { return Candidate.Id == Id; });
    if (Entry == Listed.end())
      Update.Removed.push_back(Id);
    else
      Update.Changed.push_back(*Entry);
  }
}

void StoreReaders::onTargetsChanged(const std::vector<TargetId> &Changed) {
  if (!m_History.isStarted() || Changed.empty())
    return;
  for (const TargetId &Id : Changed)
    m_History.record(Id);
  publish();
}

void StoreReaders::onTargetsListed() {
  // Other VMs may still know a version of the process before this one.
  if (m_History.isStarted())
    return;
  m_History.start((m_Context.random()() >> 1U) + 1);
  m_PublishedVersion = m_History.version();
}

void StoreReaders::onConfigChanged() { publish(); }

void StoreReaders::onEvacuationsChanged() { publish(); }

void StoreReaders::onUpdateRequest(const VmId &From,
                                   const StoreUpdateRequest &Request) {
  m_Subscribers[From] = m_Context.now();
  StoreUpdate Update = makeUpdate();
  Update.Timestamp = Request.Timestamp;
  // Without following the store, this VM's list may lack targets.
  bool HasCurrentList = m_Following.Active && m_History.isStarted() &&
                        Update.StoreAge <= MaxStoreAge;
  bool Known = m_History.changedSince(Request.TargetsVersion).has_value();
  if (!HasCurrentList)
    Update.TargetsVersion = Update.BaseTargetsVersion = 0;
  else if (!Known && Request.ListDigest != 0 &&
           Request.ListDigest == fleetcost::digestOfList(m_Hooks.Targets()))
    Update.SameList = true;
  else if (Request.TargetsVersion != m_History.version())
    addChangesSince(Request.TargetsVersion, Update);
  if (Update.BaseTargetsVersion > 0 && !Request.Rejected.empty())
    addEntries(Request.Rejected, Update);
  m_Hooks.SendReply(From, std::move(Update));
}

/// @brief Applies what an update tells of targets.
/// @return whether this VM then has the sender's list
bool StoreReaders::applyTargets(const VmId &From, const StoreUpdate &Update) {
  std::uint64_t &Applied = m_AppliedVersions[From];
  if (Update.TargetsVersion == 0)
    return false;
  bool Full = Update.BaseTargetsVersion == 0;
  bool Incremental = Applied > 0 && Update.BaseTargetsVersion <= Applied &&
                     Applied <= Update.TargetsVersion;
  if (Update.SameList || Full || Incremental) {
    bool HasChanges = !Update.Changed.empty() || !Update.Removed.empty();
    if (Full || HasChanges)
      m_Hooks.ApplyUpdate(Update);
    Applied = Update.TargetsVersion;
    return true;
  }
  // A change was missed; what a request under way brings contains it.
  auto Pending = m_PendingRequests.find(From);
  if (Pending == m_PendingRequests.end() ||
      Pending->second + RequestInterval <= m_Context.now())
    sendRequest(From);
  return false;
}

void StoreReaders::onUpdate(const VmId &From, const StoreUpdate &Update) {
  if (Update.Timestamp != 0)
    m_PendingRequests.erase(From);
  m_Hooks.OnConfigVersion(From, Update.ConfigVersion);
  m_Hooks.ApplyEvacuations(Update.Evacuations);
  if (Update.StoreAge > MaxStoreAge)
    return updateFollowing();
  m_Hooks.OnNewestRow(Update.NewestRow);
  bool UpToDate = applyTargets(From, Update);
  if (UpToDate && m_UnansweredReader == From && Update.Timestamp != 0)
    m_UnansweredReader.reset();
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
