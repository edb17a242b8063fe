#ifndef BERGAMOTSTAGE_SOAK_PROCESSFLEET_H
#define BERGAMOTSTAGE_SOAK_PROCESSFLEET_H

#include "EvacuationCheck.h"
#include "FaultProxy.h"
#include "StoreStandIn.h"
#include "TargetStandIn.h"

#include "bergamotstage/core/TimerQueue.h"
#include "bergamotstage/pooling/Session.h"
#include "bergamotstage/pooling/SiteConfig.h"
#include "standin/site/ModelGroup.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <sys/types.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bergamotstage::soak {

/// @brief Runs the program as processes on loopback against a stand-in store
/// and targets, and injects faults. Signals only processes that it started.
class ProcessFleet {
public:
  struct Settings {
    std::string Program;
    std::string Folder; ///< Holds settings files and logs.
    std::uint64_t Seed = 1;
    unsigned Vms = 4;
    unsigned Groups = 2;
    std::vector<std::string> Rules; ///< One file per VM, or empty.
    /// Whether the targets of each group are in different data centres.
    bool SpreadTargets = true;
  };
  using AnswerHook =
      std::function<void(const VmId &, CallerId, const pooling::CallerReply &)>;
  using CloseHook = std::function<void(const VmId &, CallerId)>;

  ProcessFleet(const Settings &Options, const pooling::SiteConfig &Config);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet &) = delete;
  ProcessFleet &operator=(const ProcessFleet &) = delete;

  void onAnswer(AnswerHook Hook) { m_OnAnswer = std::move(Hook); }
  void onClose(CloseHook Hook) { m_OnClose = std::move(Hook); }

  void start();
  void run(Duration Span);
  void after(Duration Span, std::function<void()> Callback);
  Instant now() const;
  std::mt19937_64 &random() { return m_Random; }
  std::vector<VmId> vms() const;
  unsigned groups() const { return static_cast<unsigned>(m_Groups.size()); }
  standin::ModelGroup &group(unsigned Index) { return *m_Groups.at(Index); }

  CallerId connect(const VmId &Vm, const std::string &Database,
                   const std::string &Key);
  void send(const VmId &Vm, CallerId Caller, const pooling::Statement &Stmt);
  void disconnect(const VmId &Vm, CallerId Caller);

  // Faults end by themselves, but a lag stays until it is set again.
  void kill(unsigned Vm, Duration Downtime);
  void freeze(unsigned Vm, Duration Span);
  void terminate(unsigned Vm);
  /// @brief Sends SIGHUP, at once or as soon as the program has been loaded.
  void sendHangup(unsigned Vm);
  void setLinkFault(unsigned Vm, const TargetId &Target, FaultProxy::Mode Mode,
                    Duration Span);
  void resetLinks(unsigned Vm);
  void setStoreFault(unsigned Vm, StoreStandIn::Mode Mode, Duration Span);
  void makeUnresponsive(const TargetId &Target, Duration Span);
  void loseReplies(const TargetId &Target, double Ratio, Duration Span);
  void drainTarget(const TargetId &Target, Duration Span);
  void setLag(Duration Lag) { m_Lag = Lag; }
  /// @brief Evacuates a data centre, unless it is evacuated already.
  /// @param Body value of the store's row; it has no meaning
  void evacuate(const DataCentreId &DataCentre, const std::string &Body,
                Duration Span);
  static std::vector<DataCentreId> dataCentres();
  DataCentreId dataCentreOf(const TargetId &Name) const;
  const EvacuationCheck &evacuations() const { return m_Evacuations; }

  /// @brief Unexpected exits, shutdowns that exceeded the grace period, and
  /// malformed replies.
  const std::vector<std::string> &failures() const { return m_Failures; }
  std::uint64_t promotions() const { return m_Promotions; }

private:
  static bool keepsHangup(pid_t Id);
  struct Process {
    pid_t Id = 0;
    unsigned CallerPort = 0;
    unsigned ProbePort = 0;
    unsigned PeerPort = 0;
    bool Killed = false;
    bool Terminating = false;
    Instant TerminatedAt{};
  };
  struct Target {
    unsigned Group = 0;
    std::unique_ptr<TargetStandIn> StandIn;
    std::vector<std::unique_ptr<FaultProxy>> Proxies; ///< One per VM.
    bool Draining = false;
    std::uint64_t Sequence = 0;
  };
  struct Caller {
    std::shared_ptr<runtime::ByteStream> Stream;
    platform::LineSplitter Lines;
    platform::LinkReplyReader Reader;
    bool Greeted = false;
  };

  void spawn(unsigned Vm);
  void reap();
  void replicate();
  void publish(const TargetId &Name);
  bool promote(const std::string &Service, const std::string &Name);
  void onBytes(const VmId &Vm, CallerId Id, std::string_view Bytes);
  void deliver(const VmId &Vm, CallerId Id, pooling::LinkReply Parsed);
  void writeSettings(unsigned Vm) const;
  std::string settingsFile(unsigned Vm) const;
  std::string rulesFile(unsigned Vm) const;
  void signal(unsigned Vm, int Number);

  Settings m_Settings;
  pooling::SiteConfig m_Config;
  asio::io_context m_Io;
  std::mt19937_64 m_Random;
  std::vector<std::unique_ptr<standin::ModelGroup>> m_Groups;
  std::map<TargetId, Target> m_Targets;
  std::unique_ptr<StoreStandIn> m_Store;
  std::vector<Process> m_Processes;
  std::map<CallerId, Caller> m_Callers;
  std::vector<std::string> m_Failures;
  EvacuationCheck m_Evacuations;
  Duration m_Lag = milliseconds(10);
  std::uint64_t m_LastLink = 0;
  std::uint64_t m_LastCaller = 0;
  std::uint64_t m_Promotions = 0;
  AnswerHook m_OnAnswer;
  CloseHook m_OnClose;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_PROCESSFLEET_H
