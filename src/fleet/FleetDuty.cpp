#include "bergamotstage/fleet/FleetDuty.h"

#include <utility>
#include <variant>

namespace bergamotstage {

FleetDuty::FleetDuty(NodeContext &Context, RulesHook RulesChanged)
    : m_Context(Context),
      m_Follower(Context, {[this] { return m_Membership.vouchedByQuorum(); },
                           std::move(RulesChanged)}),
      m_Editor(Context,
               {[this]() -> const RulesHead & { return m_Follower.head(); },
                [this]() -> const std::string & { return m_Follower.text(); },
                [this](const RulesHead &Head, const std::string &Text,
                       Instant Written) {
                  m_Follower.accepted(Head, Text, Written);
                }}),
      m_Membership(Context, {[this] { return m_Follower.held(); },
                             [this](const VmId &From, const GossipAck &Ack,
                                    Instant Sent) {
                               m_Follower.acked(From, Ack, Sent);
                             }}) {}

void FleetDuty::start() {
  m_Follower.start();
  m_Membership.start();
}

void FleetDuty::peerReceived(const PeerReceived &Event) {
  if (Event.Message.Duty == PeerDuty::Rules)
    rulesMessage(Event);
  else
    m_Membership.received(Event);
}

void FleetDuty::rulesMessage(const PeerReceived &Event) {
  std::optional<RulesMessage> Message =
      decodeRulesMessage(Event.Message.Payload);
  if (!Message)
    return;
  if (const auto *Confirm = std::get_if<RulesConfirm>(&*Message))
    m_Editor.confirmed(Event, Confirm->Number);
  else
    m_Follower.received(Event.From, *Message);
}

void FleetDuty::operatorAsked(const OperatorAsked &Event) {
  if (Event.Verb == "apply")
    return m_Editor.apply(Event);
  if (Event.Verb == "rules-show")
    return showRules(Event.Call);
  if (Event.Verb == "rules-history")
    return showHistory(Event.Call);
  if (Event.Verb == "revision") {
    m_Context.act(AnswerOperator{
        Event.Call, true, std::to_string(m_Context.rules().Number.value())});
    return;
  }
  m_Context.act(AnswerOperator{Event.Call, false, "unknown verb"});
}

void FleetDuty::showRules(OperatorCallId Call) {
  std::string Number = std::to_string(m_Follower.head().Number.value());
  m_Context.act(AnswerOperator{Call, true, Number + "\n" + m_Follower.text()});
}

void FleetDuty::showHistory(OperatorCallId Call) {
  m_Context.callPlatform(
      ReadRows{RulesHistoryPrefix}, [this, Call](const PlatformAnswer &Answer) {
        const auto *Read = std::get_if<RowsRead>(&Answer);
        if (Read == nullptr) {
          m_Context.act(AnswerOperator{
              Call, false, "unavailable: the platform's store did not answer"});
          return;
        }
        std::string Body;
        for (const TableRow &Row : Read->Rows)
          Body += Row.Value + "\n";
        m_Context.act(AnswerOperator{Call, true, Body});
      });
}

} // namespace bergamotstage
