#include "standin/AccountFleet.h"

#include "bergamotstage/core/Invariant.h"

#include <utility>
#include <variant>

namespace bergamotstage::standin {

bool AccountFleet::drawChance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
}

void AccountFleet::setRules(const std::string &Text) {
  auto Parsed = parseRules(Revision(++m_LastRevision), Text);
  BERGAMOTSTAGE_INVARIANT(Parsed.has_value(),
                          "the rules of an account fleet are valid");
  m_Rules = std::make_shared<RuleSet>(std::move(*Parsed));
  for (const VmId &Name : vms())
    step(Name, m_Vms.at(Name).Start, [this](Vm &Process) {
      Process.Context->setRules(m_Rules);
      Process.Manager->onRulesChanged();
    });
}

std::vector<VmId> AccountFleet::vms() const {
  std::vector<VmId> Names;
  for (const auto &[Name, Process] : m_Vms)
    Names.push_back(Name);
  return Names;
}

void AccountFleet::startVm(const VmId &Name) {
  killVm(Name);
  NodeSettings Settings;
  Settings.Vm = Name;
  Settings.PeerAddress = Name.value();
  Settings.ProcessIncarnation = Incarnation(++m_LastStart);
  Vm &Created = m_Vms[Name];
  Created.Start = Settings.ProcessIncarnation;
  Created.Context = std::make_unique<NodeContext>(Settings, ++m_Seed);
  Created.Manager = std::make_unique<AccountManager>(*Created.Context);
  for (auto &[Other, Process] : m_Vms)
    for (auto &[Peer, Unused] : m_Vms) {
      MemberState &Member = Process.Context->mutableMembers()[Peer];
      Member.Vm = Peer;
      Member.PeerAddress = Peer.value();
    }
  step(Name, Created.Start, [this](Vm &Process) {
    Process.Context->setRules(m_Rules);
    Process.Manager->onRulesChanged();
  });
}

void AccountFleet::killVm(const VmId &Name) { m_Vms.erase(Name); }

void AccountFleet::pauseVm(const VmId &Name, Instant Until, bool ClockStops) {
  Vm &Process = m_Vms.at(Name);
  if (Until <= Process.PausedUntil)
    return;
  if (ClockStops)
    Process.ClockLag += Until - std::max(Process.PausedUntil, m_Now);
  Process.PausedUntil = Until;
}

void AccountFleet::drainVm(const VmId &Name) {
  step(Name, m_Vms.at(Name).Start,
       [](Vm &Process) { Process.Manager->drain(); });
}

void AccountFleet::at(Instant Time, std::function<void()> Callback) {
  m_Queue.emplace(Time, std::move(Callback));
}

void AccountFleet::runUntil(Instant Time) {
  while (!m_Queue.empty() && m_Queue.begin()->first <= Time) {
    auto First = m_Queue.begin();
    m_Now = std::max(m_Now, First->first);
    std::function<void()> Callback = std::move(First->second);
    m_Queue.erase(First);
    Callback();
  }
  m_Now = Time;
}

void AccountFleet::step(const VmId &Name, Incarnation Start,
                        const StepHook &Handler) {
  auto Found = m_Vms.find(Name);
  if (Found == m_Vms.end() || Found->second.Start != Start)
    return;
  Vm &Process = Found->second;
  if (m_Now < Process.PausedUntil)
    return this->at(Process.PausedUntil, [this, Name, Start, Handler] {
      step(Name, Start, Handler);
    });
  ++Steps;
  Actions Emitted;
  Instant Clock = m_Now - Process.ClockLag;
  Process.Context->beginStep(Clock, Emitted);
  Process.Context->timers().runDue(Clock);
  Handler(Process);
  auto Next = Process.Context->timers().next();
  if (Next && Process.Wake != Next) {
    Process.Wake = Next;
    Emitted.emplace_back(WakeAt{*Next});
  }
  executeActions(Name, Process, Emitted);
}

void AccountFleet::executeActions(const VmId &Name, Vm &From,
                                  const Actions &Emitted) {
  for (const Action &Next : Emitted) {
    if (const auto *Message = std::get_if<SendPeer>(&Next))
      sendPeer(Name, From, *Message);
    if (const auto *Call = std::get_if<CallPlatform>(&Next))
      callPlatform(Name, From, *Call);
    if (const auto *Wake = std::get_if<WakeAt>(&Next))
      scheduleWake(Name, From, Wake->Time);
  }
}

void AccountFleet::scheduleWake(const VmId &Name, Vm &Process, Instant Time) {
  std::uint64_t Number = ++Process.LastWake;
  at(std::max(m_Now, Time + Process.ClockLag),
     [this, Name, Number, Start = Process.Start] {
       auto Found = m_Vms.find(Name);
       bool Newest = Found != m_Vms.end() && Found->second.LastWake == Number;
       if (Newest)
         step(Name, Start, [](Vm &Woken) { Woken.Wake.reset(); });
     });
}

void AccountFleet::sendPeer(const VmId &Name, const Vm &From,
                            const SendPeer &Send) {
  ++PeerMessages;
  PeerBytes += Send.Message.Payload.size();
  bool Lost = Peers.Cut && Peers.Cut(Name, Send.To);
  if (Lost || drawChance(Peers.LossRatio))
    return;
  PeerReceived Received{Name, From.Start, Send.Message};
  int Copies = drawChance(Peers.DuplicateRatio) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy)
    at(m_Now + Peers.Delay * (1 + Copy), [this, To = Send.To, Received] {
      auto Found = m_Vms.find(To);
      if (Found != m_Vms.end())
        step(To, Found->second.Start, [Received](Vm &Process) {
          Process.Manager->onPeerMessage(Received);
        });
    });
}

void AccountFleet::callPlatform(const VmId &Name, const Vm &From,
                                const CallPlatform &Call) {
  auto Answer = [this, Name, Start = From.Start,
                 Id = Call.Call](const PlatformAnswer &Result, Duration After) {
    at(m_Now + After, [this, Name, Start, Id, Result] {
      step(Name, Start, [Id, Result](Vm &Process) {
        Process.Context->onPlatformAnswered({Id, Result});
      });
    });
  };
  bool Unreachable = Platform.Cut && Platform.Cut(Name);
  if (Unreachable)
    return Answer(PlatformFailed{false, "no answer"}, Call.Timeout);
  Duration Delay = Platform.Delay;
  at(m_Now + Delay,
     [this, Answer, Delay, Request = Call.Request, Timeout = Call.Timeout] {
       PlatformAnswer Result = answer(Request);
       bool Late = Timeout <= Delay * 2;
       if (Late || drawChance(Platform.AnswerLossRatio))
         return Answer(PlatformFailed{true, "no answer"}, Timeout);
       Answer(Result, Delay);
     });
}

PlatformAnswer AccountFleet::answer(const PlatformRequest &Request) {
  const auto *Write = std::get_if<ConditionalWrite>(&Request);
  ++(Write != nullptr ? StoreWrites : StoreReads);
  if (Platform.Down)
    return PlatformFailed{false, "store down"};
  if (Write != nullptr)
    return m_Store.write(*Write);
  if (const auto *Read = std::get_if<ReadRows>(&Request))
    return m_Store.read(*Read);
  return PlatformFailed{false, "the account fleet does not support this call"};
}

void AccountFleet::request(const VmId &Name, const AccountId &Account,
                           const std::function<void(bool Admitted)> &Callback) {
  step(Name, m_Vms.at(Name).Start, [Account, Callback](Vm &Process) {
    Process.Manager->admit(Account, [Callback](const AdmissionResult &Result) {
      Callback(Result.has_value());
    });
  });
}

} // namespace bergamotstage::standin
