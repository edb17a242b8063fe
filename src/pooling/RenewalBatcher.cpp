#include "bergamotstage/pooling/RenewalBatcher.h"

#include "bergamotstage/pooling/FleetRows.h"

#include <utility>
#include <variant>

namespace bergamotstage::pooling {
namespace {

/// Limit of the store for one transaction.
constexpr std::size_t MaxBatch = 100;

} // namespace

void RenewalBatcher::add(const VmId &From, const RenewalRequest &Request) {
  m_Waiting[From] = Request;
  if (m_Waiting.size() >= MaxBatch)
    return writeBatch();
  if (!m_Timer)
    m_Timer = m_Context.scheduleAfter(MaxDelay, [this] { writeBatch(); });
}

void RenewalBatcher::writeBatch() {
  if (m_Timer)
    m_Context.timers().cancel(*m_Timer);
  m_Timer.reset();
  Batch Written = std::exchange(m_Waiting, {});
  ConditionalWrite Write;
  for (const auto &[Vm, Request] : Written)
    Write.Changes.push_back({memberRowKey(Vm), Request.Row});
  m_Hooks.CallPlatform(std::move(Write), [this, Written = std::move(Written)](
                                             const PlatformAnswer &Answer) {
    const auto *Decided = std::get_if<WriteDecided>(&Answer);
    bool Renewed = Decided != nullptr && Decided->Applied;
    if (!Renewed)
      m_Context.log(WriteLog::Level::Warning, "member_rows_not_written",
                    {{"rows", std::to_string(Written.size())}});
    for (const auto &[Vm, Request] : Written)
      m_Hooks.SendReply(Vm, RenewalReply{Request.Timestamp, Renewed});
  });
}

} // namespace bergamotstage::pooling
