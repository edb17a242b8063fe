#ifndef BERGAMOTSTAGE_TEST_SMALLFLEET_H
#define BERGAMOTSTAGE_TEST_SMALLFLEET_H

#include "standin/site/PoolConfig.h"
#include "standin/site/PoolFleet.h"

#include <CppUTest/TestHarness.h>

#include <cstddef>
#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief A small fleet with one caller and the replies that it received.
struct SmallFleet {
  const VmId Vm{"vm-0"};
  PoolFleet Fleet;
  pooling::SiteConfig Config;
  std::vector<pooling::CallerReply> Replies;
  std::vector<ModelGroup::Execution> Runs;
  bool Closed = false;
  CallerId Caller;
  unsigned LastRequest = 0;

  explicit SmallFleet(unsigned Vms = 3, Duration Lag = milliseconds(10),
                      unsigned Groups = 1)
      : Fleet(settings(Vms, Lag, Groups)), Config(poolConfig(Groups, 2, 100)) {
    Fleet.onAnswer(
        [this](const VmId &, CallerId, const pooling::CallerReply &Reply) {
          Replies.push_back(Reply);
        });
    Fleet.onClose([this](const VmId &, CallerId) { Closed = true; });
    for (unsigned Index = 0; Index < Groups; ++Index)
      Fleet.group(Index).onExecution(
          [this](const ModelGroup::Execution &Ran) { Runs.push_back(Ran); });
    Fleet.configure(Config);
    Fleet.start();
    Fleet.run(seconds(6));
  }

  static PoolFleet::Settings settings(unsigned Vms, Duration Lag,
                                      unsigned Groups = 1) {
    PoolFleet::Settings Options;
    Options.Vms = Vms;
    Options.Groups = Groups;
    Options.ReplicaLag = Lag;
    return Options;
  }

  void connect(const std::string &Route, const std::string &Key = "key-0") {
    Caller = Fleet.connect(Vm, Route, Key);
    Fleet.run(milliseconds(10));
  }

  /// @brief Connects on a bounded route whose staleness bound is changed.
  void connectBounded(Duration MaxStaleness) {
    Config.Routes["bounded-0"].MaxStaleness = MaxStaleness;
    reconfigure();
    connect("bounded-0");
  }

  /// @brief Puts the changed configuration into force on all VMs.
  void reconfigure() {
    ++Config.Version;
    Fleet.configure(Config);
    Fleet.run(seconds(1));
  }

  std::string send(pooling::Verb Kind, const std::string &Text) {
    pooling::Statement Stmt;
    Stmt.RequestId = "r" + std::to_string(++LastRequest);
    Stmt.Kind = Kind;
    Stmt.Text = Text;
    Fleet.send(Vm, Caller, Stmt);
    return Stmt.RequestId;
  }

  /// @brief Sends a statement, waits for @p Wait and for the reply.
  const pooling::CallerReply &sendAndWait(pooling::Verb Kind,
                                          Duration Wait = seconds(1)) {
    std::size_t Before = Replies.size();
    send(Kind, "text");
    Instant End = Fleet.now() + Wait;
    Fleet.run(milliseconds(1));
    while (Fleet.now() < End || Replies.size() == Before) {
      if (Fleet.now() > End + seconds(5))
        FAIL("a statement was not answered");
      Fleet.run(milliseconds(10));
    }
    return Replies.back();
  }
};

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_TEST_SMALLFLEET_H
