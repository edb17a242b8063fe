#include "standin/site/PoolConfig.h"
#include "standin/site/PoolFleet.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;
using namespace bergamotstage::standin;

namespace {

const VmId Stopped("vm-0");
const TargetId Primary("group-0-0");

/// @brief A caller with one statement at a time, and what it was answered.
struct TestCaller {
  VmId Vm;
  bool AwaitsReply = false;
  /// Sends the next read of its transaction 1 ms after each reply.
  bool Repeats = false;
  std::optional<ErrorCode> Error; ///< Of the last reply.
  unsigned Replies = 0;
  bool Closed = false;
};

/// @brief Three VMs with slow statements, one of which is stopped.
struct ShutdownRun {
  static constexpr Duration Grace = seconds(6); ///< Default of PoolNode.

  PoolFleet Fleet{settings()};
  std::map<CallerId, TestCaller> Callers;
  std::optional<VmId> OwnerOfPrimary;
  Instant LastSentAt{}; ///< Last arrival of a statement at a target.
  unsigned LastRequest = 0;

  ShutdownRun() {
    Fleet.onAnswer(
        [this](const VmId &, CallerId Caller, const CallerReply &Reply) {
          onReply(Caller, Reply);
        });
    Fleet.onClose([this](const VmId &, CallerId Caller) {
      Callers.at(Caller).Closed = true;
    });
    Fleet.onStatement([this](const VmId &Sender, const TargetId &Target) {
      LastSentAt = Fleet.now();
      if (Target == Primary)
        OwnerOfPrimary = Sender;
    });
    Fleet.configure(config());
    Fleet.start();
    Fleet.run(seconds(6));
  }

  static PoolFleet::Settings settings() {
    PoolFleet::Settings Options;
    Options.Slots = 12;
    Options.MaxLinks = 60;
    Options.MeanServiceTime = milliseconds(400);
    return Options;
  }

  static SiteConfig config() {
    SiteConfig Config = poolConfig(1, 2, 200);
    Config.TransactionIdle = seconds(20); // Longer than the grace period.
    for (auto &[Name, Route] : Config.Routes) {
      Route.StatementTimeout = seconds(10);
      Route.LatencyTarget = seconds(2);
    }
    for (auto &[Id, Group] : Config.Groups)
      Group.MaxLinks = 60;
    return Config;
  }

  CallerId connect(const VmId &Vm, const std::string &Route) {
    CallerId Id = Fleet.connect(Vm, Route, "key-0");
    Callers[Id].Vm = Vm;
    Fleet.run(milliseconds(5));
    return Id;
  }

  void send(CallerId Id, Verb Kind) {
    TestCaller &Caller = Callers.at(Id);
    if (Caller.Closed)
      return;
    Caller.AwaitsReply = true;
    Statement Stmt;
    Stmt.RequestId = "r" + std::to_string(++LastRequest);
    Stmt.Kind = Kind;
    Stmt.Text = "text";
    Fleet.send(Caller.Vm, Id, Stmt);
  }

  void onReply(CallerId Id, const CallerReply &Reply) {
    TestCaller &Caller = Callers.at(Id);
    if (Reply.Greeting)
      return;
    Caller.AwaitsReply = false;
    Caller.Error = Reply.Error;
    ++Caller.Replies;
    if (Caller.Repeats && !Reply.Error)
      Fleet.after(milliseconds(1), [this, Id] { send(Id, Verb::Read); });
  }

  /// @brief Connects callers whose transactions send a read after each reply.
  void startBusyTransactions(const VmId &Vm, unsigned Count) {
    for (unsigned Number = 0; Number < Count; ++Number) {
      CallerId Id = connect(Vm, "bounded-0");
      Callers.at(Id).Repeats = true;
      send(Id, Verb::BeginReadOnly);
    }
  }

  /// @brief Runs a write to find the VM that owns the primary's links.
  VmId findOwner() {
    startWriter(VmId("vm-1"));
    return *OwnerOfPrimary;
  }

  /// @brief Opens a transaction that has written, and waits for the replies.
  CallerId startWriter(const VmId &Vm) {
    CallerId Id = connect(Vm, "primary-0");
    for (Verb Kind : {Verb::Begin, Verb::Write}) {
      send(Id, Kind);
      while (Callers.at(Id).AwaitsReply)
        Fleet.run(milliseconds(10));
      CHECK_FALSE(Callers.at(Id).Error.has_value());
    }
    return Id;
  }
};

} // namespace

TEST_GROUP(Shutdown){};

TEST(Shutdown, BusyTransactionsAreEndedWithAnAnswer) {
  // Guards against statements of open transactions that were taken up to the
  // exit of the process and then cut, because each check met the transaction
  // while a statement was in flight.
  ShutdownRun Run;
  Run.startBusyTransactions(Stopped, 9);
  Run.Fleet.run(seconds(1));
  Instant SignalledAt = Run.Fleet.now();
  Run.Fleet.terminate(Stopped);
  Run.Fleet.run(seconds(8));
  for (const auto &[Id, Caller] : Run.Callers) {
    CHECK_TRUE(Caller.Replies > 3);
    CHECK_FALSE(Caller.AwaitsReply);
    CHECK_TRUE(Caller.Error == ErrorCode::Aborted);
  }
  CHECK_TRUE(Run.LastSentAt <=
             SignalledAt + ShutdownRun::Grace / 2 + milliseconds(60));
}

TEST(Shutdown, AnIdleTransactionIsEndedWithAnAnswer) {
  ShutdownRun Run;
  CallerId Prompt = Run.startWriter(Stopped);
  CallerId Silent = Run.startWriter(Stopped);
  Run.Fleet.terminate(Stopped);
  Run.Fleet.run(ShutdownRun::Grace / 2 + milliseconds(200));
  CHECK_FALSE(Run.Callers.at(Prompt).Closed);
  Run.send(Prompt, Verb::Commit);
  Run.Fleet.run(milliseconds(100));
  CHECK_TRUE(Run.Callers.at(Prompt).Error == ErrorCode::Aborted);
  CHECK_TRUE(Run.Callers.at(Prompt).Closed);
  Run.Fleet.run(milliseconds(500));
  CHECK_TRUE(Run.Callers.at(Silent).Closed);
}

TEST(Shutdown, StatementsInFlightAtTheExitAreAnswered) {
  // Guards against a connection that ends without an answer to a statement
  // which its target had not finished at the end of the grace period.
  ShutdownRun Run;
  CallerId Reader = Run.connect(Stopped, "primary-0");
  CallerId Writer = Run.connect(Stopped, "primary-0");
  CallerId Committer = Run.startWriter(Stopped);
  Run.Fleet.terminate(Stopped);
  Run.Fleet.run(milliseconds(500));
  Run.Fleet.setLostReplyRatio(1);
  Run.send(Reader, Verb::Begin);
  Run.Fleet.run(milliseconds(10));
  Run.send(Reader, Verb::Read);
  Run.send(Writer, Verb::Write);
  Run.send(Committer, Verb::Commit);
  Run.Fleet.run(seconds(8));
  CHECK_TRUE(Run.Callers.at(Reader).Error == ErrorCode::Aborted);
  CHECK_TRUE(Run.Callers.at(Writer).Error == ErrorCode::OutcomeUnknown);
  CHECK_TRUE(Run.Callers.at(Committer).Error == ErrorCode::OutcomeUnknown);
}

TEST(Shutdown, AStoppingOwnerLeavesNoOutcomeUnknown) {
  // Guards against commits of other VMs' callers that were sent to a stopping
  // owner up to its exit and cut there.
  ShutdownRun Run;
  VmId Owner = Run.findOwner();
  VmId Origin(Owner == VmId("vm-1") ? "vm-2" : "vm-1");
  constexpr int WriterCount = 9;
  std::vector<CallerId> Writers;
  Writers.reserve(WriterCount);
  for (int Count = 0; Count < WriterCount; ++Count)
    Writers.push_back(Run.startWriter(Origin));
  Run.Fleet.terminate(Owner);
  Run.Fleet.run(milliseconds(4950));
  for (CallerId Id : Writers) {
    Run.send(Id, Verb::Commit);
    Run.Fleet.run(milliseconds(60));
  }
  Run.Fleet.run(seconds(3));
  for (CallerId Id : Writers)
    CHECK_TRUE(Run.Callers.at(Id).Error == ErrorCode::Aborted);
}

TEST(Shutdown, ATransactionOfALostOwnerIsAborted) {
  // Guards against MALFORMED for a valid statement, which promises nothing: the
  // caller had not been told that its transaction failed.
  ShutdownRun Run;
  VmId Owner = Run.findOwner();
  VmId Origin(Owner == VmId("vm-1") ? "vm-2" : "vm-1");
  CallerId Reader = Run.startWriter(Origin);
  CallerId Committer = Run.startWriter(Origin);
  Run.Fleet.kill(Owner, seconds(10));
  Run.Fleet.run(seconds(1));
  Run.send(Reader, Verb::Read);
  Run.send(Committer, Verb::Commit);
  Run.Fleet.run(milliseconds(100));
  CHECK_TRUE(Run.Callers.at(Reader).Error == ErrorCode::Aborted);
  CHECK_TRUE(Run.Callers.at(Committer).Error == ErrorCode::Aborted);
  Run.send(Reader, Verb::Read);
  Run.Fleet.run(milliseconds(100));
  CHECK_TRUE(Run.Callers.at(Reader).Error == ErrorCode::Malformed);
}
