#include "standin/site/ModelGroup.h"

#include <algorithm>
#include <utility>

namespace bergamotstage::standin {

using pooling::ErrorCode;
using pooling::LinkReply;
using pooling::LinkRequest;
using pooling::SessionState;
using pooling::Verb;

ModelGroup::ModelGroup(DatabaseId Id, const std::vector<TargetId> &Targets)
    : m_Id(std::move(Id)), m_Primary(Targets.front()) {
  for (const TargetId &Target : Targets) {
    m_Targets[Target].AtTerm = m_Term;
    m_Log[Target];
  }
  m_Targets[m_Primary].IsPrimary = true;
}

void ModelGroup::openLink(const TargetId &Target, LinkKey Link,
                          const AccountId &Account) {
  LinkSession NewSession;
  NewSession.Target = Target;
  NewSession.Account = Account;
  m_Links[Link] = std::move(NewSession);
}

void ModelGroup::closeLinksTo(const TargetId &Target) {
  for (auto Entry = m_Links.begin(); Entry != m_Links.end();) {
    if (Entry->second.Target == Target)
      Entry = m_Links.erase(Entry);
    else
      ++Entry;
  }
}

bool ModelGroup::believesItIsPrimary(const TargetId &Target) const {
  return m_Targets.at(Target).IsPrimary;
}

std::size_t ModelGroup::applied(const TargetId &Target) const {
  return m_Targets.at(Target).Applied;
}

std::vector<TargetId> ModelGroup::targets() const {
  std::vector<TargetId> Names;
  for (const auto &[Target, Unused] : m_Targets)
    Names.push_back(Target);
  return Names;
}

bool ModelGroup::isCommitted(const std::string &RequestId) const {
  const auto &Log = m_Log.at(m_Primary);
  return std::any_of(Log.begin(), Log.end(), [&](const Commit &Entry) {
    return std::find(Entry.Writes.begin(), Entry.Writes.end(), RequestId) !=
           Entry.Writes.end();
  });
}

HistoryPoint ModelGroup::appliedPosition(const TargetId &Target) const {
  const ModelTarget &Model = m_Targets.at(Target);
  return {Model.AtTerm, LogPosition(Model.Applied)};
}

bool ModelGroup::hasApplied(const TargetId &Target,
                            const HistoryPoint &Point) const {
  const ModelTarget &Model = m_Targets.at(Target);
  if (Point.AtTerm > Model.AtTerm || Point.Position.value() > Model.Applied)
    return false;
  // Entries that a promotion discarded exist in no later term.
  return std::all_of(m_TermStart.begin(), m_TermStart.end(),
                     [&](const auto &Entry) {
                       bool Later = Entry.first > Point.AtTerm.value() &&
                                    Entry.first <= Model.AtTerm.value();
                       return !Later || Point.Position.value() <= Entry.second;
                     });
}

LinkReply ModelGroup::error(const LinkSession &Session, ErrorCode Code) {
  LinkReply Reply;
  Reply.Error = Code;
  Reply.State = Session.State;
  Reply.Position = appliedPosition(Session.Target);
  return Reply;
}

LinkReply ModelGroup::makeReply(const LinkSession &Session,
                                const std::string &Signature) {
  LinkReply Reply;
  Reply.Signature = Signature;
  Reply.State = Session.State;
  Reply.Position = appliedPosition(Session.Target);
  return Reply;
}

void ModelGroup::commit(const TargetId &Target,
                        const std::vector<std::string> &Writes) {
  m_Log[Target].push_back({m_Targets[Target].AtTerm, Writes});
  m_Targets[Target].Applied = m_Log[Target].size();
}

LinkReply ModelGroup::begin(LinkSession &Session, const LinkRequest &Request) {
  bool ReadOnly = Request.Type == LinkRequest::Kind::BeginReadOnly;
  if (!ReadOnly && !m_Targets[Session.Target].IsPrimary)
    return error(Session, ErrorCode::ReadOnly);
  if (Request.After && !hasApplied(Session.Target, *Request.After))
    return error(Session, ErrorCode::Behind);
  Session.State = SessionState::InTransaction;
  Session.ReadOnly = ReadOnly;
  Session.Transaction = ++m_LastTransaction;
  Session.Snapshot = m_Targets[Session.Target].Applied;
  Session.Writes.clear();
  return makeReply(Session, "");
}

LinkReply ModelGroup::run(LinkKey Link, const LinkRequest &Request) {
  LinkSession &Session = m_Links.at(Link);
  ModelTarget &Model = m_Targets[Session.Target];
  switch (Request.Type) {
  case LinkRequest::Kind::CallerStatement:
    return runCaller(Link, Session, Request);
  case LinkRequest::Kind::Begin:
  case LinkRequest::Kind::BeginReadOnly:
    return begin(Session, Request);
  case LinkRequest::Kind::Rollback:
    Session.State = SessionState::Idle;
    Session.Transaction = 0;
    Session.Writes.clear();
    return makeReply(Session, "");
  case LinkRequest::Kind::ClearSession:
    Session.Values.clear();
    Session.Prepared.clear();
    return makeReply(Session, "");
  case LinkRequest::Kind::SetValue:
    Session.Values[Request.Name] = Request.Value;
    return makeReply(Session, "");
  case LinkRequest::Kind::Prepare:
    Session.Prepared[Request.Name] = Request.Prepared;
    return makeReply(Session, "");
  case LinkRequest::Kind::Pause:
    Model.Paused = true;
    break;
  case LinkRequest::Kind::Resume:
    Model.Paused = false;
    break;
  case LinkRequest::Kind::StepDown:
    if (Model.AtTerm < Request.AtTerm)
      Model.IsPrimary = false;
    break;
  case LinkRequest::Kind::Status:
    break;
  }
  LinkReply Reply = makeReply(Session, "");
  Reply.Status = pooling::TargetStatus{
      Model.IsPrimary, Model.AtTerm,
      HistoryPoint{Model.AtTerm, LogPosition(m_Log[Session.Target].size())}};
  return Reply;
}

LinkReply ModelGroup::runCaller(LinkKey Link, LinkSession &Session,
                                const LinkRequest &Request) {
  ModelTarget &Model = m_Targets[Session.Target];
  const pooling::Statement &Stmt = Request.Stmt;
  bool InTransaction = Session.Transaction != 0;
  bool Commits = Stmt.Kind == Verb::Commit;
  Execution Executed;
  Executed.Target = Session.Target;
  Executed.Link = Link;
  Executed.Session = &Session;
  Executed.Stmt = Stmt;
  Executed.Prepared = Stmt.Prepared;
  if (Stmt.Kind == Verb::Execute) {
    auto Found = Session.Prepared.find(Request.Name);
    if (Found == Session.Prepared.end())
      return error(Session, ErrorCode::NoSuchName);
    Executed.Prepared = Found->second;
  }
  bool Writes = Stmt.Kind == Verb::Write ||
                (Stmt.Kind == Verb::Execute && Executed.Prepared.Writes);
  bool LostPrimary = InTransaction && !Session.ReadOnly && !Model.IsPrimary &&
                     !(Commits && Session.Writes.empty());
  if (LostPrimary || (Writes && !Model.IsPrimary)) {
    if (InTransaction)
      Session.State = SessionState::Failed;
    return error(Session, ErrorCode::ReadOnly);
  }
  if (Request.After && !hasApplied(Session.Target, *Request.After))
    return error(Session, ErrorCode::Behind);
  Executed.Visible = InTransaction ? Session.Snapshot : Model.Applied;
  if (Commits) {
    Executed.CommittedWrites = Session.Writes;
    Executed.Committed = !Session.Writes.empty();
    if (Executed.Committed)
      commit(Session.Target, Session.Writes);
  } else if (Writes && InTransaction) {
    Session.Writes.push_back(Stmt.RequestId);
  } else if (Writes) {
    Executed.CommittedWrites = {Stmt.RequestId};
    Executed.Committed = true;
    commit(Session.Target, Executed.CommittedWrites);
  }
  if (m_OnExecution)
    m_OnExecution(Executed);
  if (Commits) {
    Session.State = SessionState::Idle;
    Session.Transaction = 0;
    Session.Writes.clear();
  }
  LinkReply Reply =
      makeReply(Session, Session.Target.value() + "/" + Stmt.RequestId);
  if (!Writes && !Commits)
    Reply.Rows.push_back("row-of-" + Stmt.RequestId);
  return Reply;
}

void ModelGroup::apply(const TargetId &Target, std::size_t Commits) {
  ModelTarget &Model = m_Targets[Target];
  if (Target == m_Primary || Model.IsPrimary || Model.Paused)
    return;
  const auto &Source = m_Log[m_Primary];
  auto &Own = m_Log[Target];
  std::size_t Count = std::min(Commits, Source.size());
  if (Model.AtTerm < m_Term) {
    std::size_t Common = std::min(Own.size(), m_TermStart[m_Term.value()]);
    Own.resize(Common);
    Model.AtTerm = m_Term;
  }
  while (Own.size() < Count)
    Own.push_back(Source[Own.size()]);
  Model.Applied = std::max(std::min(Model.Applied, Own.size()), Count);
}

void ModelGroup::promote(const TargetId &Target) {
  if (Target == m_Primary && m_Targets[Target].IsPrimary)
    return;
  m_Targets[m_Primary].IsPrimary = false;
  m_Term = Term(m_Term.value() + 1);
  m_Primary = Target;
  ModelTarget &Model = m_Targets[Target];
  Model.IsPrimary = true;
  Model.AtTerm = m_Term;
  Model.Paused = false;
  Model.Applied = m_Log[Target].size();
  m_TermStart[m_Term.value()] = Model.Applied;
}

void ModelGroup::rejoin(const TargetId &Target) {
  closeLinksTo(Target);
  ModelTarget &Model = m_Targets[Target];
  Model.IsPrimary = Target == m_Primary;
  Model.Paused = false;
}

} // namespace bergamotstage::standin
