#include "bergamotstage/fleet/FleetManager.h"

#include "bergamotstage/core/Parse.h"
#include "bergamotstage/rules/Explain.h"

#include <utility>
#include <variant>

namespace bergamotstage {

FleetManager::FleetManager(NodeContext &Context, Hook RulesChanged,
                           Hook MembersChanged)
    : m_Context(Context),
      m_Follower(Context,
                 {[this] { return m_Membership.lastQuorumAttestation(); },
                  std::move(RulesChanged)}),
      m_Editor(Context,
               {[this]() -> const RulesHead & { return m_Follower.head(); },
                [this]() -> const std::string & { return m_Follower.text(); },
                [this](const RulesHead &Head, const std::string &Text,
                       Instant WriteTime) {
                  m_Follower.onEditAccepted(Head, Text, WriteTime);
                }}),
      m_Membership(Context,
                   {[this] { return m_Follower.localRevision(); },
                    [this](const VmId &From, const GossipAck &Ack,
                           Instant Sent) { m_Follower.onAck(From, Ack, Sent); },
                    std::move(MembersChanged)}) {}

void FleetManager::start() {
  m_Follower.start();
  m_Membership.start();
}

void FleetManager::onPeerMessage(const PeerReceived &Event) {
  if (Event.Message.Channel == PeerChannel::Rules)
    onRulesMessage(Event);
  else
    m_Membership.onMessage(Event);
}

void FleetManager::onRulesMessage(const PeerReceived &Event) {
  std::optional<RulesMessage> Message =
      decodeRulesMessage(Event.Message.Payload);
  if (!Message)
    return;
  if (const auto *Confirm = std::get_if<RulesConfirm>(&*Message))
    m_Editor.onConfirm(Event, Confirm->Number);
  else
    m_Follower.onMessage(Event.From, *Message);
}

void FleetManager::onOperatorRequest(const OperatorRequested &Event) {
  if (Event.Verb == "apply")
    return m_Editor.apply(Event);
  if (Event.Verb == "rules-show")
    return showRules(Event.Call);
  if (Event.Verb == "rules-history")
    return showHistory(Event.Call);
  if (Event.Verb == "explain")
    return explain(Event);
  if (Event.Verb == "members")
    return showMembers(Event.Call);
  if (Event.Verb == "revision") {
    m_Context.emit(AnswerOperator{
        Event.Call, true, std::to_string(m_Context.rules().Number.value())});
    return;
  }
  m_Context.emit(
      AnswerOperator{Event.Call, false, "unknown verb '" + Event.Verb + "'"});
}

void FleetManager::showRules(OperatorCallId Call) {
  std::string Number = std::to_string(m_Follower.head().Number.value());
  m_Context.emit(AnswerOperator{Call, true, Number + "\n" + m_Follower.text()});
}

void FleetManager::explain(const OperatorRequested &Event) {
  auto Argument = [&Event](const char *Name) {
    auto Found = Event.Arguments.find(Name);
    return Found == Event.Arguments.end() ? std::string() : Found->second;
  };
  ExplainRequest Request{AccountId(Argument("account")),
                         RouteId(Argument("route")), Argument("statement"),
                         parseCount(Argument("session")).value_or(0)};
  std::string Text =
      explanationText(explainRequest(m_Context.rules(), Request));
  m_Context.emit(AnswerOperator{Event.Call, true, std::move(Text)});
}

void FleetManager::showMembers(OperatorCallId Call) {
  std::string Body;
  Body += "revision=" + std::to_string(m_Context.rules().Number.value());
  Body += " current=";
  Body += m_Context.rulesAreCurrent() ? "yes" : "no";
  Body += " vms=" + std::to_string(m_Context.members().size()) + "\n";
  for (const auto &[Vm, Member] : m_Context.members()) {
    Body += "vm=" + Vm.value() + " data_centre=" + Member.DataCentre.value();
    Body += " address=" + Member.PeerAddress;
    Body += Member.Reachable ? " reachable=yes" : " reachable=no";
    Body += Member.Leaving ? " leaving=yes\n" : " leaving=no\n";
  }
  m_Context.emit(AnswerOperator{Call, true, Body});
}

void FleetManager::showHistory(OperatorCallId Call) {
  m_Context.callPlatform(
      ReadRows{RulesHistoryPrefix}, [this, Call](const PlatformAnswer &Answer) {
        const auto *Read = std::get_if<RowsRead>(&Answer);
        if (Read == nullptr) {
          m_Context.emit(AnswerOperator{
              Call, false, "unavailable: the platform's store did not answer"});
          return;
        }
        std::string Body;
        for (const TableRow &Row : Read->Rows)
          Body += Row.Value + "\n";
        m_Context.emit(AnswerOperator{Call, true, Body});
      });
}

} // namespace bergamotstage
