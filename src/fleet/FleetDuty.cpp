#include "bergamotstage/fleet/FleetDuty.h"

#include "bergamotstage/core/Parse.h"

#include <memory>
#include <utility>
#include <variant>

namespace bergamotstage {
namespace {

std::string argument(const OperatorAsked &Event, const std::string &Name) {
  auto Found = Event.Arguments.find(Name);
  return Found == Event.Arguments.end() ? std::string() : Found->second;
}

} // namespace

std::string rulesObjectName(Revision Number) {
  return "rules/" + std::to_string(Number.value());
}

void FleetDuty::start() { readHead(); }

void FleetDuty::readHead() {
  m_Context.callPlatform(
      ReadRows{RulesHeadKey}, [this](const PlatformAnswer &Answer) {
        if (const auto *Read = std::get_if<RowsRead>(&Answer))
          takeHead(*Read);
        m_Context.timers().schedule(m_Context.now() +
                                        m_Context.settings().RulesPollInterval,
                                    [this] { readHead(); });
      });
}

void FleetDuty::takeHead(const RowsRead &Read) {
  if (Read.Rows.empty())
    return;
  m_HeadVersion = Read.Rows.front().Version;
  Revision Number(parseCount(Read.Rows.front().Value).value_or(0));
  if (Number <= m_Context.rules().Number)
    return;
  m_Context.callPlatform(GetObject{rulesObjectName(Number)},
                         [this, Number](const PlatformAnswer &Answer) {
                           if (const auto *Body =
                                   std::get_if<ObjectRead>(&Answer))
                             takeRules(Number, *Body);
                         });
}

void FleetDuty::takeRules(Revision Number, const ObjectRead &Read) {
  if (!Read.Found || Number <= m_Context.rules().Number)
    return;
  auto Rules = parseRules(Number, Read.Body);
  if (!Rules) {
    m_Context.log(WriteLog::Level::Error, "rules_rejected",
                  {{"revision", std::to_string(Number.value())},
                   {"reason", Rules.error().front().Reason}});
    return;
  }
  m_Context.setRules(std::make_shared<RuleBook>(std::move(*Rules)));
  m_Context.log(WriteLog::Level::Info, "rules_in_force",
                {{"revision", std::to_string(Number.value())}});
  m_RulesChanged();
}

void FleetDuty::peerReceived(const PeerReceived &) {}

void FleetDuty::operatorAsked(const OperatorAsked &Event) {
  if (Event.Verb == "apply")
    return applyRules(Event);
  if (Event.Verb == "revision") {
    m_Context.act(AnswerOperator{
        Event.Call, true, std::to_string(m_Context.rules().Number.value())});
    return;
  }
  m_Context.act(AnswerOperator{Event.Call, false, "unknown verb"});
}

void FleetDuty::applyRules(const OperatorAsked &Event) {
  Revision Expected(parseCount(argument(Event, "expect")).value_or(0));
  std::string Text = argument(Event, "text");
  Revision Next(Expected.value() + 1);
  OperatorCallId Call = Event.Call;
  auto Rules = parseRules(Next, Text);
  if (!Rules) {
    std::string Body;
    for (const RuleFault &Fault : Rules.error())
      Body += "line " + std::to_string(Fault.Line) + ": " + Fault.Reason + "\n";
    m_Context.act(AnswerOperator{Call, false, Body});
    return;
  }
  if (Expected != m_Context.rules().Number) {
    m_Context.act(AnswerOperator{
        Call, false,
        "conflict: revision " +
            std::to_string(m_Context.rules().Number.value()) + " is in force"});
    return;
  }
  std::string EditId = argument(Event, "edit-id");
  std::uint64_t Version = m_HeadVersion;
  m_Context.callPlatform(
      PutObject{rulesObjectName(Next), Text},
      [this, Call, Expected, Version, EditId](const PlatformAnswer &Answer) {
        if (std::holds_alternative<ObjectStored>(Answer))
          return moveHead(Call, Expected, Version, EditId);
        m_Context.act(
            AnswerOperator{Call, false, "the platform's store did not answer"});
      });
}

void FleetDuty::moveHead(OperatorCallId Call, Revision Expected,
                         std::uint64_t Version, const std::string &EditId) {
  Revision Next(Expected.value() + 1);
  ConditionalWrite Write;
  Write.WriteId = EditId;
  Write.Conditions.push_back({RulesHeadKey, Version});
  Write.Changes.push_back({RulesHeadKey, std::to_string(Next.value())});
  m_Context.callPlatform(
      std::move(Write), [this, Call, Next](const PlatformAnswer &Answer) {
        const auto *Decided = std::get_if<WriteDecided>(&Answer);
        bool Applied = Decided != nullptr && Decided->Applied;
        m_Context.act(
            AnswerOperator{Call, Applied,
                           Applied ? "revision " + std::to_string(Next.value())
                                   : "the edit was not accepted"});
      });
}

} // namespace bergamotstage
