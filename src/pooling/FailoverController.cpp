#include "bergamotstage/pooling/FailoverController.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace bergamotstage::pooling {
namespace {

/// Other VMs reply to a suspicion within a few round trips.
constexpr Duration PeerReplyTimeout = milliseconds(120);
/// Wait for the status of the replicas.
constexpr Duration StatusTimeout = milliseconds(350);
/// A promotion takes effect within a few hundred milliseconds.
constexpr Duration ConfirmTimeout = milliseconds(1500);
constexpr Duration ConfirmInterval = milliseconds(40);
/// The log of a draining primary reaches replicas within their usual lag.
constexpr Duration CatchUpTimeout = milliseconds(600);
constexpr Duration CatchUpInterval = milliseconds(20);
constexpr Duration RetryDelay = milliseconds(150);
/// Failover starts when the store lists no primary of a group for this time.
constexpr Duration NoPrimaryTimeout = milliseconds(1500);
/// Minimum time to the next attempt after a false alarm or a promotion.
constexpr Duration FalseAlarmBackoff = milliseconds(300);
constexpr Duration PromotionBackoff = seconds(1);

} // namespace

FailoverController::Attempt *
FailoverController::findAttempt(const DatabaseId &Group, std::uint64_t Number) {
  auto Found = m_Attempts.find(Group);
  bool Same = Found != m_Attempts.end() && Found->second.Number == Number;
  return Same ? &Found->second : nullptr;
}

void FailoverController::finish(const DatabaseId &Group,
                                const std::string &Result) {
  const Attempt &Ended = m_Attempts.at(Group);
  m_Context.log(
      WriteLog::Level::Warning, "promotion_ended",
      {{"group", Group.value()},
       {"result", Result},
       {"old", Ended.OldPrimary ? Ended.OldPrimary->value() : "none"},
       {"candidate", Ended.Candidate.value()},
       {"planned", Ended.Planned ? "yes" : "no"},
       {"ms", formatMilliseconds(m_Context.now() - Ended.StartedAt)}});
  std::set<TargetId> Paused = Ended.PausedReplicas;
  m_Attempts.erase(Group);
  resumeReplicas(Group, Paused);
}

/// @brief Ends the pauses of an attempt, unless another VM may rely on them.
void FailoverController::resumeReplicas(const DatabaseId &Group,
                                        const std::set<TargetId> &Paused) {
  if (Paused.empty())
    return;
  if (!m_Hooks.HoldsLease(Group)) {
    m_Context.log(WriteLog::Level::Warning, "replicas_left_paused",
                  {{"group", Group.value()},
                   {"reason", "another VM holds the promotion lease"}});
    return;
  }
  for (const TargetId &Id : Paused) {
    LinkRequest Request;
    Request.Type = LinkRequest::Kind::Resume;
    m_Hooks.SendControlRequest(
        Id, std::move(Request),
        [this, Group, Id](const std::optional<LinkReply> &Reply) {
          if (!Reply)
            m_Context.log(WriteLog::Level::Warning, "resume_unanswered",
                          {{"group", Group.value()}, {"target", Id.value()}});
        });
  }
}

void FailoverController::scheduleRetry(const DatabaseId &Group,
                                       std::uint64_t Number,
                                       const std::string &Reason) {
  m_Context.log(WriteLog::Level::Warning, "promotion_retry",
                {{"group", Group.value()}, {"reason", Reason}});
  m_Context.scheduleAfter(RetryDelay, [this, Group, Number] {
    Attempt *Current = findAttempt(Group, Number);
    if (Current == nullptr)
      return;
    if (!m_Hooks.HoldsLease(Group))
      return finish(Group, "another VM holds the failover lease");
    queryReplicas(Group, Number);
  });
}

void FailoverController::onPrimarySuspected(const DatabaseId &Group,
                                            const TargetId &Target) {
  auto Primary = m_Targets.primary(Group);
  if (Primary && *Primary != Target)
    return;
  start(Group, Target, false);
}

void FailoverController::onTargetAlive(const DatabaseId &Group,
                                       const TargetId &Target) {
  auto Found = m_Attempts.find(Group);
  if (Found != m_Attempts.end() && Found->second.OldPrimary == Target)
    Found->second.SeenAlive = true;
}

void FailoverController::checkGroups(const std::vector<DatabaseId> &Groups) {
  for (const DatabaseId &Group : Groups) {
    if (isActive(Group) || !m_Hooks.HoldsLease(Group))
      continue;
    auto Primary = m_Targets.primary(Group);
    if (Primary) {
      m_NoPrimarySince.erase(Group);
      bool MustMove = !m_Targets.acceptsOperations(*Primary) &&
                      !m_Targets.isWhollyEvacuated(Group);
      if (MustMove)
        start(Group, Primary, true);
      continue;
    }
    if (m_Targets.groupMembers(Group).empty())
      continue;
    Instant Since =
        m_NoPrimarySince.emplace(Group, m_Context.now()).first->second;
    if (Since + NoPrimaryTimeout <= m_Context.now())
      start(Group, std::nullopt, false);
  }
}

void FailoverController::start(const DatabaseId &Group,
                               std::optional<TargetId> OldPrimary,
                               bool Planned) {
  bool InBackoff = m_BackoffUntil.count(Group) > 0 &&
                   m_Context.now() < m_BackoffUntil[Group];
  if (isActive(Group) || InBackoff || !m_Hooks.HoldsLease(Group))
    return;
  Attempt Started;
  Started.Number = ++m_LastAttemptNumber;
  Started.OldPrimary = std::move(OldPrimary);
  Started.Planned = Planned;
  Started.StartedAt = m_Context.now();
  std::uint64_t Number = Started.Number;
  m_Context.log(
      WriteLog::Level::Warning, "promotion_considered",
      {{"group", Group.value()},
       {"old", Started.OldPrimary ? Started.OldPrimary->value() : "none"},
       {"planned", Planned ? "yes" : "no"}});
  m_Attempts[Group] = std::move(Started);
  if (Planned || !m_Attempts[Group].OldPrimary)
    return queryReplicas(Group, Number);
  verifyPrimary(Group, Number);
}

void FailoverController::verifyPrimary(const DatabaseId &Group,
                                       std::uint64_t Number) {
  TargetId OldPrimary = *m_Attempts.at(Group).OldPrimary;
  m_Hooks.Broadcast(PrimarySuspected{Group, OldPrimary});
  m_Hooks.ProvePrimary(OldPrimary, [this, Group, Number](
                                       std::optional<HistoryPoint> Proven) {
    Attempt *Current = findAttempt(Group, Number);
    if (Current == nullptr)
      return;
    if (Proven) {
      m_BackoffUntil[Group] = m_Context.now() + FalseAlarmBackoff;
      return finish(Group, "the primary answers this VM");
    }
    Duration Waited = m_Context.now() - Current->StartedAt;
    m_Context.scheduleAfter(std::max(Duration(0), PeerReplyTimeout - Waited),
                            [this, Group, Number] {
                              Attempt *Continued = findAttempt(Group, Number);
                              if (Continued == nullptr)
                                return;
                              if (!Continued->SeenAlive)
                                return queryReplicas(Group, Number);
                              m_BackoffUntil[Group] =
                                  m_Context.now() + FalseAlarmBackoff;
                              finish(Group, "the primary answers another VM");
                            });
  });
}

void FailoverController::queryReplicas(const DatabaseId &Group,
                                       std::uint64_t Number) {
  Attempt *Current = findAttempt(Group, Number);
  auto Primary = m_Targets.primary(Group);
  bool Replaced = Primary && Current->OldPrimary != Primary &&
                  m_Targets.acceptsOperations(*Primary);
  if (Replaced)
    return finish(Group, "another target is primary");
  Current->Statuses.clear();
  Current->ExpectedReplies = 0;
  Current->ReceivedReplies = 0;
  Current->RequiredLogEnd.reset();
  Current->ChosenAt = Instant();
  Current->PauseTerm.reset();
  std::vector<TargetId> Replicas;
  std::vector<TargetId> Members = m_Targets.groupMembers(Group);
  std::size_t &Largest = m_LargestGroupSize[Group];
  Largest = std::max(Largest, Members.size());
  for (const TargetId &Id : Members)
    if (Id != Current->OldPrimary && isCandidate(Group, *Current, Id))
      Replicas.push_back(Id);
  if (Replicas.empty() && m_Targets.isWhollyEvacuated(Group))
    return finish(Group, "all targets are evacuated");
  if (Replicas.empty())
    return scheduleRetry(Group, Number, "no replica is known");
  Current->ExpectedReplies = Replicas.size();
  std::uint64_t AttemptNumber = Current->Number;
  // A replica only stops at a term above its own, so that the first query of
  // an attempt reads the terms and the second one pauses.
  bool Pause = mustPauseReplicas(Group, *Current) && Current->TermsKnown;
  Term PauseTerm(Current->HighestTerm.value() + 1);
  if (Pause) {
    Current->PauseTerm = PauseTerm;
    Current->PausedReplicas.insert(Replicas.begin(), Replicas.end());
  }
  // A callback that runs at once may end the attempt and invalidate Current.
  for (const TargetId &Id : Replicas) {
    LinkRequest Request;
    Request.Type = Pause ? LinkRequest::Kind::Pause : LinkRequest::Kind::Status;
    Request.AtTerm = PauseTerm;
    m_Hooks.SendControlRequest(Id, std::move(Request),
                               [this, Group, AttemptNumber,
                                Id](const std::optional<LinkReply> &Reply) {
                                 onStatusReply(Group, AttemptNumber, Id, Reply);
                               });
  }
  m_Context.scheduleAfter(StatusTimeout, [this, Group, Number] {
    Attempt *Continued = findAttempt(Group, Number);
    if (Continued != nullptr && Continued->ChosenAt == Instant())
      chooseCandidate(Group, Number);
  });
}

void FailoverController::onStatusReply(const DatabaseId &Group,
                                       std::uint64_t Number,
                                       const TargetId &Target,
                                       const std::optional<LinkReply> &Reply) {
  Attempt *Current = findAttempt(Group, Number);
  if (Current == nullptr || Current->ChosenAt != Instant())
    return;
  ++Current->ReceivedReplies;
  if (Reply && Reply->Status) {
    Current->Statuses[Target] = *Reply->Status;
    Current->HighestTerm =
        std::max(Current->HighestTerm, Reply->Status->HighestTerm);
  }
  if (Current->ReceivedReplies >= Current->ExpectedReplies)
    chooseCandidate(Group, Number);
}

void FailoverController::chooseCandidate(const DatabaseId &Group,
                                         std::uint64_t Number) {
  Attempt *Current = findAttempt(Group, Number);
  Current->ChosenAt = m_Context.now();
  for (const auto &[Id, Status] : Current->Statuses)
    if (Status.IsPrimary && Id != Current->OldPrimary) {
      m_Hooks.PrimaryConfirmed(Group, Id, Status.HighestTerm);
      m_Hooks.Broadcast(Promoted{Group, Id, Status.HighestTerm});
      return finish(Group, "another target is primary");
    }
  dropEvacuated(Group, *Current);
  if (Current->Statuses.empty())
    return scheduleRetry(Group, Number, "no follower answers");
  bool Synchronous = m_Hooks.SyncReplicas(Group) > 0;
  if (Synchronous && Current->Statuses.size() < Current->ExpectedReplies)
    return scheduleRetry(
        Group, Number,
        "a replica that may hold acknowledged commits did not answer");
  Current->TermsKnown = true;
  if (mustPauseReplicas(Group, *Current) && !Current->hasFinalLogEnds())
    return queryReplicas(Group, Number);
  auto Best = bestReplica(*Current, maySkipUnresponsive(Group));
  Current->Candidate = Best->first;
  m_Context.log(WriteLog::Level::Info, "promotion_candidate",
                {{"group", Group.value()},
                 {"target", Best->first.value()},
                 {"received", formatPosition(Best->second.Received)},
                 {"answers", std::to_string(Current->Statuses.size())}});
  if (Current->Planned)
    return stepDown(Group, Number);
  requestPromotion(Group, Number);
}

/// @brief Stops writes on a draining primary, so that its whole log can reach
/// the candidate before the promotion.
void FailoverController::stepDown(const DatabaseId &Group,
                                  std::uint64_t Number) {
  Attempt *Current = findAttempt(Group, Number);
  LinkRequest Request;
  Request.Type = LinkRequest::Kind::StepDown;
  Request.AtTerm = Term(Current->HighestTerm.value() + 1);
  m_Hooks.SendControlRequest(
      *Current->OldPrimary, std::move(Request),
      [this, Group, Number](const std::optional<LinkReply> &Reply) {
        Attempt *Continued = findAttempt(Group, Number);
        if (Continued == nullptr)
          return;
        bool HasStatus = Reply && Reply->Status;
        if (HasStatus)
          Continued->RequiredLogEnd = Reply->Status->Received;
        else
          m_Context.log(WriteLog::Level::Warning, "step_down_unanswered",
                        {{"group", Group.value()},
                         {"target", Continued->OldPrimary->value()}});
        if (!HasStatus && m_Hooks.SyncReplicas(Group) > 0) {
          Continued->Planned = false;
          return queryReplicas(Group, Number);
        }
        awaitCatchUp(Group, Number, m_Context.now() + CatchUpTimeout);
      });
}

void FailoverController::awaitCatchUp(const DatabaseId &Group,
                                      std::uint64_t Number, Instant Until) {
  Attempt *Current = findAttempt(Group, Number);
  const TargetStatus &Last = Current->Statuses.at(Current->Candidate);
  bool CaughtUp =
      !Current->RequiredLogEnd || !(Last.Received < *Current->RequiredLogEnd);
  if (CaughtUp || m_Context.now() >= Until) {
    if (!CaughtUp && m_Hooks.SyncReplicas(Group) > 0)
      return scheduleRetry(Group, Number,
                           "the candidate lacks commits of the old primary");
    if (!CaughtUp)
      m_Context.log(
          WriteLog::Level::Error, "promotion_loses_commits",
          {{"group", Group.value()},
           {"received", formatPosition(Last.Received)},
           {"old_log_end", formatPosition(*Current->RequiredLogEnd)}});
    return requestPromotion(Group, Number);
  }
  m_Context.scheduleAfter(CatchUpInterval, [this, Group, Number, Until] {
    Attempt *Continued = findAttempt(Group, Number);
    if (Continued == nullptr)
      return;
    LinkRequest Request;
    Request.Type = LinkRequest::Kind::Status;
    m_Hooks.SendControlRequest(
        Continued->Candidate, std::move(Request),
        [this, Group, Number, Until](const std::optional<LinkReply> &Reply) {
          Attempt *Latest = findAttempt(Group, Number);
          if (Latest == nullptr)
            return;
          if (Reply && Reply->Status)
            Latest->Statuses[Latest->Candidate] = *Reply->Status;
          awaitCatchUp(Group, Number, Until);
        });
  });
}

void FailoverController::requestPromotion(const DatabaseId &Group,
                                          std::uint64_t Number) {
  if (auto FencingToken = m_Hooks.FencingToken(Group))
    return sendPromotion(Group, Number, *FencingToken);
  raiseFencingToken(Group, Number);
}

void FailoverController::raiseFencingToken(const DatabaseId &Group,
                                           std::uint64_t Number) {
  m_Hooks.RaiseFencingToken(
      Group, [this, Group, Number](std::optional<std::uint64_t> FencingToken) {
        Attempt *Current = findAttempt(Group, Number);
        if (Current == nullptr)
          return;
        if (!FencingToken)
          return scheduleRetry(Group, Number,
                               "the failover lease was not acquired");
        if (Current->OrderPending) {
          Current->OrderPending = false;
          ++Current->FailedOrders[Current->Candidate];
          return scheduleRetry(Group, Number,
                               "the last order had no effect so far");
        }
        sendPromotion(Group, Number, *FencingToken);
      });
}

void FailoverController::sendPromotion(const DatabaseId &Group,
                                       std::uint64_t Number,
                                       std::uint64_t FencingToken) {
  Attempt *Current = findAttempt(Group, Number);
  Promote Order;
  Order.Database = Group;
  Order.Candidate = Current->Candidate;
  Order.NewTerm = Term(Current->HighestTerm.value() + 1);
  Order.FencingToken = FencingToken;
  Current->ConfirmDeadline = m_Context.now() + ConfirmTimeout;
  Current->OrderPending = true;
  m_Hooks.OrderPromotion(std::move(Order), [this, Group, Number, FencingToken](
                                               const PlatformAnswer &Answer) {
    Attempt *Continued = findAttempt(Group, Number);
    if (Continued == nullptr)
      return;
    const auto *Decided = std::get_if<PromotionDecided>(&Answer);
    m_Context.log(
        WriteLog::Level::Warning, "promotion_ordered",
        {{"group", Group.value()},
         {"target", Continued->Candidate.value()},
         {"fence", std::to_string(FencingToken)},
         {"applied", Decided == nullptr ? "unknown"
                     : Decided->Applied ? "yes"
                                        : "no"},
         {"reason", Decided == nullptr ? "no answer" : Decided->Reason}});
    const auto *Failed = std::get_if<PlatformFailed>(&Answer);
    if (Failed != nullptr && !Failed->MayHaveTakenEffect) {
      Continued->OrderPending = false;
      return scheduleRetry(Group, Number, Failed->Reason);
    }
    bool Refused = Decided != nullptr && !Decided->Applied;
    if (Refused) {
      Continued->OrderPending = false;
      return m_Hooks.RaiseFencingToken(
          Group, [this, Group, Number](std::optional<std::uint64_t>) {
            if (findAttempt(Group, Number) != nullptr)
              scheduleRetry(Group, Number, "the order was refused");
          });
    }
    confirmPromotion(Group, Number);
  });
}

void FailoverController::confirmPromotion(const DatabaseId &Group,
                                          std::uint64_t Number) {
  Attempt *Current = findAttempt(Group, Number);
  if (Current == nullptr)
    return;
  if (m_Context.now() >= Current->ConfirmDeadline) {
    // The order may still take effect until the platform has seen a higher
    // fencing token.
    return raiseFencingToken(Group, Number);
  }
  m_Hooks.ProvePrimary(
      Current->Candidate,
      [this, Group, Number](std::optional<HistoryPoint> Proven) {
        Attempt *Continued = findAttempt(Group, Number);
        if (Continued == nullptr)
          return;
        if (!Proven) {
          m_Context.scheduleAfter(ConfirmInterval, [this, Group, Number] {
            confirmPromotion(Group, Number);
          });
          return;
        }
        Term NewTerm(std::max(Continued->HighestTerm.value() + 1,
                              Proven->AtTerm.value()));
        TargetId Candidate = Continued->Candidate;
        m_BackoffUntil[Group] = m_Context.now() + PromotionBackoff;
        finish(Group, "promoted");
        m_Hooks.PrimaryConfirmed(Group, Candidate, NewTerm);
        m_Hooks.Broadcast(Promoted{Group, Candidate, NewTerm});
      });
}

} // namespace bergamotstage::pooling
