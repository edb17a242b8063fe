#include "bergamotstage/account/AllocationStore.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage {
namespace {

constexpr Duration FirstBackOff = milliseconds(200);
constexpr unsigned MaxBackOffDoublings = 5;

} // namespace

AllocationStore::AllocationStore(NodeContext &Context, AccountId Account,
                                 ChangedHook Changed)
    : m_Context(Context), m_Account(std::move(Account)),
      m_OnChanged(std::move(Changed)) {}

Duration AllocationStore::backOff() {
  unsigned Doublings = std::min(m_Failures, MaxBackOffDoublings);
  Duration MaxDelay = FirstBackOff * (1U << Doublings);
  std::uniform_int_distribution<Duration::rep> Jitter(MaxDelay.count() / 2,
                                                      MaxDelay.count());
  return Duration(Jitter(m_Context.random()));
}

void AllocationStore::refresh() {
  if (m_Reading || m_Pending)
    return;
  m_Reading = true;
  m_Context.callPlatform(
      ReadRows{allocationKey(m_Account)},
      [this](const PlatformAnswer &Answer) { onRead(Answer); });
}

void AllocationStore::onRead(const PlatformAnswer &Answer) {
  m_Reading = false;
  const auto *Read = std::get_if<RowsRead>(&Answer);
  if (Read == nullptr) {
    ++m_Failures;
    m_Context.timers().schedule(m_Context.now() + backOff(),
                                [this] { refresh(); });
    return m_OnChanged();
  }
  m_Failures = 0;
  if (m_Pending)
    return;
  m_Known = true;
  for (const TableRow &Row : Read->Rows)
    if (Row.Key == allocationKey(m_Account))
      applyRow(Row);
  m_OnChanged();
}

void AllocationStore::applyRow(const TableRow &Row) {
  if (Row.Version <= m_Version)
    return;
  auto Decoded = decodeAllocation(Row.Value);
  if (!Decoded) {
    m_Context.log(WriteLog::Level::Error, "allocation_unreadable",
                  {{"account", m_Account.value()}});
    return;
  }
  m_Row = std::move(*Decoded);
  m_Version = Row.Version;
  m_RowSeenAt = m_Context.now();
}

void AllocationStore::propose(AllocationRow NewRow) {
  if (m_Pending || !m_Known)
    return;
  const NodeSettings &Settings = m_Context.settings();
  m_Write = ConditionalWrite();
  m_Write.WriteId = allocationKey(m_Account) + "/" + Settings.Vm.value() + "/" +
                    std::to_string(Settings.ProcessIncarnation.value()) + "/" +
                    std::to_string(++m_LastWrite);
  m_Write.Conditions.push_back({allocationKey(m_Account), m_Version});
  m_Write.Changes.push_back(
      {allocationKey(m_Account), encodeAllocation(NewRow)});
  m_Pending = std::move(NewRow);
  m_WriteSentAt = m_Context.now();
  sendWrite();
}

void AllocationStore::sendWrite() {
  m_Context.callPlatform(
      m_Write, [this](const PlatformAnswer &Answer) { onDecision(Answer); });
}

void AllocationStore::onDecision(const PlatformAnswer &Answer) {
  const auto *Decided = std::get_if<WriteDecided>(&Answer);
  if (Decided == nullptr || !Decided->Known) {
    ++m_Failures;
    m_Context.timers().schedule(m_Context.now() + backOff(),
                                [this] { sendWrite(); });
    return m_OnChanged();
  }
  m_Failures = 0;
  if (Decided->Applied) {
    m_LastAppliedAt = m_WriteSentAt;
    m_Row = *m_Pending;
    m_RowSeenAt = m_Context.now();
  }
  m_Pending.reset();
  // The next write is conditional on a version that has to be read first.
  m_Known = false;
  refresh();
  m_OnChanged();
}

ContractFraction AllocationStore::fractionIn(const AllocationRow &Row) const {
  const AllocationShare *Share = Row.find(m_Context.settings().Vm);
  if (Share == nullptr ||
      Share->Start != m_Context.settings().ProcessIncarnation)
    return {};
  return Share->Fraction;
}

ContractFraction AllocationStore::ownFraction() const {
  ContractFraction Stored = fractionIn(m_Row);
  if (!m_Pending)
    return Stored;
  ContractFraction Proposed = fractionIn(*m_Pending);
  return {std::min(Stored.Rate, Proposed.Rate),
          std::min(Stored.Burst, Proposed.Burst)};
}

} // namespace bergamotstage
