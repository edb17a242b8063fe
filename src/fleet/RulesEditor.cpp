#include "bergamotstage/fleet/RulesEditor.h"

#include "bergamotstage/core/Parse.h"
#include "bergamotstage/fleet/LineDiff.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage {
namespace {

constexpr Duration EditTimeout = seconds(25); ///< Limit for the answer.
constexpr Duration RetryInterval = milliseconds(500);
constexpr Duration AnnounceInterval = milliseconds(250);

std::string argument(const OperatorRequested &Event, const std::string &Name) {
  auto Found = Event.Arguments.find(Name);
  return Found == Event.Arguments.end() ? std::string() : Found->second;
}

std::string revisionText(Revision Number) {
  return "revision " + std::to_string(Number.value());
}

std::string errorsText(const std::vector<RuleError> &Errors) {
  std::string Body = "refused: nothing was changed\n";
  for (const RuleError &Error : Errors)
    Body += "line " + std::to_string(Error.Line) + ": " + Error.Reason + "\n";
  return Body;
}

/// @brief Head that an edit created, or empty if no row has the edit's id.
std::optional<RulesHead> findEdit(const RowsRead &Read,
                                  const std::string &EditId) {
  for (const TableRow &Row : Read.Rows) {
    std::optional<RulesHead> Head = decodeHead(Row.Value);
    if (Head && Head->EditId == EditId)
      return Head;
  }
  return std::nullopt;
}

} // namespace

void RulesEditor::apply(const OperatorRequested &Event) {
  auto Edit = std::make_shared<PendingEdit>();
  Edit->Call = Event.Call;
  Edit->Text = argument(Event, "text");
  Edit->Deadline = m_Context.now() + EditTimeout;
  Edit->Head.EditId = argument(Event, "edit-id");
  auto Expected = parseCount(argument(Event, "expect"));
  if (!Expected)
    return finish(Edit, false,
                  "refused: 'expect' is missing or not a revision number");
  if (Edit->Head.EditId.empty())
    return finish(Edit, false, "refused: the edit has no id");
  Edit->Expected = Revision(*Expected);
  Edit->Head.Number = Revision(*Expected + 1);
  Edit->Head.Object = rulesObjectName(Edit->Text);
  auto Rules = parseRules(Edit->Head.Number, Edit->Text);
  if (!Rules)
    return finish(Edit, false, errorsText(Rules.error()));
  readRows(Edit);
}

void RulesEditor::readRows(const EditPtr &Edit) {
  m_Context.callPlatform(
      ReadRows{RulesPrefix}, [this, Edit](const PlatformAnswer &Answer) {
        if (const auto *Read = std::get_if<RowsRead>(&Answer))
          return onRows(Edit, *Read);
        finish(Edit, false,
               "unavailable: the platform's store did not answer; nothing was "
               "changed by this request");
      });
}

void RulesEditor::onRows(const EditPtr &Edit, const RowsRead &Read) {
  std::optional<RulesHead> Previous = findEdit(Read, Edit->Head.EditId);
  if (Previous && Previous->Object != Edit->Head.Object)
    return finish(Edit, false,
                  "refused: this edit id was used for another text");
  if (Previous) {
    Edit->Head = *Previous;
    return onHeadMoved(Edit);
  }
  RulesHead InForce;
  Edit->HeadVersion = 0;
  for (const TableRow &Row : Read.Rows)
    if (Row.Key == RulesHeadKey) {
      InForce = decodeHead(Row.Value).value_or(RulesHead());
      Edit->HeadVersion = Row.Version;
    }
  if (InForce.Number != Edit->Expected)
    return readConflictingText(Edit, InForce);
  putObject(Edit);
}

void RulesEditor::putObject(const EditPtr &Edit) {
  m_Context.callPlatform(
      PutObject{Edit->Head.Object, Edit->Text},
      [this, Edit](const PlatformAnswer &Answer) {
        if (std::holds_alternative<ObjectStored>(Answer))
          return moveHead(Edit);
        finish(Edit, false,
               "unavailable: the platform's store did not accept the text; the "
               "rules in force are unchanged");
      });
}

void RulesEditor::moveHead(const EditPtr &Edit) {
  // The head may have moved at the first try, and again by another edit since.
  if (Edit->WriteTime == DistantPast)
    Edit->WriteTime = m_Context.now();
  m_Context.callPlatform(makeHeadWrite(Edit->Head, Edit->HeadVersion),
                         [this, Edit](const PlatformAnswer &Answer) {
                           onWriteDecided(Edit, Answer);
                         });
}

void RulesEditor::onWriteDecided(const EditPtr &Edit,
                                 const PlatformAnswer &Answer) {
  const auto *Decided = std::get_if<WriteDecided>(&Answer);
  if (Decided == nullptr) {
    // The store decides each write id once: a retry returns its outcome.
    if (m_Context.now() < Edit->Deadline)
      return retryLater([this, Edit] { moveHead(Edit); });
    return finish(Edit, false,
                  "unknown: the edit may have been accepted; repeat it with "
                  "--edit-id " +
                      Edit->Head.EditId);
  }
  if (!Decided->Applied)
    return readConflictingHead(Edit);
  onHeadMoved(Edit);
}

void RulesEditor::retryLater(std::function<void()> Retry) {
  m_Context.timers().schedule(m_Context.now() + RetryInterval,
                              std::move(Retry));
}

void RulesEditor::readConflictingHead(const EditPtr &Edit) {
  m_Context.callPlatform(
      ReadRows{RulesHeadKey}, [this, Edit](const PlatformAnswer &Answer) {
        const auto *Read = std::get_if<RowsRead>(&Answer);
        std::optional<RulesHead> InForce;
        if (Read != nullptr && !Read->Rows.empty())
          InForce = decodeHead(Read->Rows.front().Value);
        readConflictingText(Edit, InForce.value_or(RulesHead()));
      });
}

void RulesEditor::readConflictingText(const EditPtr &Edit,
                                      const RulesHead &InForce) {
  if (InForce.Object.empty() || InForce.Object == m_Hooks.GetHead().Object)
    return finishWithConflict(Edit, InForce, m_Hooks.GetText());
  m_Context.callPlatform(
      GetObject{InForce.Object},
      [this, Edit, InForce](const PlatformAnswer &Answer) {
        const auto *Read = std::get_if<ObjectRead>(&Answer);
        finishWithConflict(Edit, InForce, Read == nullptr ? "" : Read->Body);
      });
}

void RulesEditor::finishWithConflict(const EditPtr &Edit,
                                     const RulesHead &InForce,
                                     const std::string &Text) {
  finish(Edit, false,
         "conflict: " + revisionText(InForce.Number) + " of edit " +
             InForce.EditId + " is in force, not revision " +
             std::to_string(Edit->Expected.value()) +
             "; nothing was changed. Changes from it to your text:\n" +
             lineDiff(Text, Edit->Text));
}

void RulesEditor::onHeadMoved(const EditPtr &Edit) {
  m_Hooks.OnHeadMoved(Edit->Head, Edit->Text, Edit->WriteTime);
  m_AwaitingConfirms[Edit->Head.Number] = Edit;
  awaitConfirmations(Edit);
}

void RulesEditor::awaitConfirmations(const EditPtr &Edit) {
  if (isInForceEverywhere(*Edit))
    return finish(Edit, true,
                  "accepted: " + revisionText(Edit->Head.Number) +
                      " is in force everywhere");
  if (m_Context.now() >= Edit->Deadline)
    return finish(Edit, false,
                  "unconfirmed: " + revisionText(Edit->Head.Number) +
                      " is stored, but too few VMs confirm it; repeat with "
                      "--edit-id " +
                      Edit->Head.EditId);
  announce(*Edit);
  m_Context.timers().schedule(m_Context.now() + AnnounceInterval,
                              [this, Edit] { awaitConfirmations(Edit); });
}

bool RulesEditor::hasConfirmed(const PendingEdit &Edit,
                               const MemberState &Member) const {
  if (Member.Vm == m_Context.settings().Vm)
    return true;
  auto Found = Edit.Confirmed.find(Member.Vm);
  return Found != Edit.Confirmed.end() && Found->second >= Member.Start;
}

bool RulesEditor::isInForceEverywhere(PendingEdit &Edit) const {
  std::size_t Confirmed = 0;
  for (const auto &[Vm, Member] : m_Context.members())
    Confirmed += hasConfirmed(Edit, Member) ? 1 : 0;
  std::size_t Members = m_Context.members().size();
  if (Confirmed == Members)
    return true;
  if (Confirmed < acceptQuorum(Members)) {
    Edit.MajorityTime = DistantPast;
    return false;
  }
  if (Edit.MajorityTime == DistantPast)
    Edit.MajorityTime = m_Context.now();
  return m_Context.now() - Edit.MajorityTime >=
         FreshnessLimit + FreshnessMargin;
}

void RulesEditor::announce(const PendingEdit &Edit) {
  std::string Message =
      encodeRulesMessage(RulesAnnounce{Edit.Head.Number, Edit.Head.Object});
  for (const auto &[Vm, Member] : m_Context.members())
    if (!hasConfirmed(Edit, Member))
      m_Context.sendPeer(Vm, PeerChannel::Rules, Message);
}

void RulesEditor::onConfirm(const PeerReceived &Event, Revision Number) {
  for (auto &[AnnouncedNumber, Edit] : m_AwaitingConfirms)
    if (AnnouncedNumber <= Number)
      Edit->Confirmed[Event.From] = Event.FromIncarnation;
}

void RulesEditor::finish(const EditPtr &Edit, bool Succeeded,
                         std::string Body) {
  auto Found = m_AwaitingConfirms.find(Edit->Head.Number);
  if (Found != m_AwaitingConfirms.end() && Found->second == Edit)
    m_AwaitingConfirms.erase(Found);
  m_Context.emit(AnswerOperator{Edit->Call, Succeeded, std::move(Body)});
}

} // namespace bergamotstage
