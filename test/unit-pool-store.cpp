#include "ContextTime.h"
#include "bergamotstage/fleetcost/ListDigest.h"
#include "bergamotstage/pooling/FleetRows.h"
#include "bergamotstage/pooling/RenewalBatcher.h"
#include "bergamotstage/pooling/StoreReaders.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;

namespace {

/// @brief Row store whose next write can be delayed and its answer lost.
class RowStore {
public:
  using Callback = FleetRows::PlatformCallback;

  void call(const PlatformRequest &Request, const Callback &OnAnswer) {
    ++Calls;
    if (Down)
      return OnAnswer(PlatformFailed{false, "status 503"});
    if (LoseNextWrite && std::holds_alternative<ConditionalWrite>(Request)) {
      LoseNextWrite = false;
      LateWrites.push_back(std::get<ConditionalWrite>(Request));
      return OnAnswer(PlatformFailed{true, "no answer"});
    }
    OnAnswer(apply(Request));
  }

  void applyLate() {
    for (const ConditionalWrite &Write : std::exchange(LateWrites, {}))
      apply(Write);
  }

  PlatformAnswer apply(const PlatformRequest &Request) {
    if (const auto *Write = std::get_if<ConditionalWrite>(&Request)) {
      for (const auto &Condition : Write->Conditions)
        if (versionOf(Condition.Key) != Condition.Version)
          return WriteDecided{true, false};
      ++m_Version;
      for (const auto &Change : Write->Changes) {
        if (Change.Value)
          Rows[Change.Key] = {Change.Key, *Change.Value, m_Version};
        else
          Rows.erase(Change.Key);
      }
      return WriteDecided{true, true};
    }
    RowsRead Read;
    for (const auto &[Key, Row] : Rows)
      if (Key.compare(0, std::get<ReadRows>(Request).Prefix.size(),
                      std::get<ReadRows>(Request).Prefix) == 0)
        Read.Rows.push_back(Row);
    return Read;
  }

  std::uint64_t versionOf(const std::string &Key) const {
    auto Found = Rows.find(Key);
    return Found == Rows.end() ? 0 : Found->second.Version;
  }

  std::map<std::string, TableRow> Rows;
  std::vector<ConditionalWrite> LateWrites;
  bool LoseNextWrite = false;
  bool Down = false;
  unsigned Calls = 0;

private:
  std::uint64_t m_Version = 0;
};

/// @brief FleetRows of one VM with its own clock.
struct RowsOfVm {
  Context Ctx;
  std::size_t Slots = 0;
  Instant LeaseEnd{};
  unsigned Reclaims = 0;
  std::vector<MemberState> Listed;
  /// Takes a VM's renewal; false if it has to write the row itself.
  std::function<bool(const VmId &, const RenewalRequest &)> Batches;
  FleetRows Rows;

  RowsOfVm(RowStore &Store, const std::string &Name)
      : Ctx(VmId(Name), DataCentreId("east"), 1),
        Rows(Ctx,
             {VmId(Name), DataCentreId("east"), "10.0.0.1:1", Incarnation(1),
              true, false},
             hooks(Store)) {
    Ctx.setNow(Instant(seconds(100)));
    Ctx.setLogHook([this](const WriteLog &Entry) {
      Reclaims += Entry.EventName == "rate_slots_inherited" ? 1 : 0;
    });
  }

  FleetRows::Hooks hooks(RowStore &Store) {
    FleetRows::Hooks Callbacks;
    Callbacks.CallPlatform = [&Store](const PlatformRequest &Request,
                                      const RowStore::Callback &OnAnswer) {
      Store.call(Request, OnAnswer);
    };
    Callbacks.RequestRenewal = [this](const RenewalRequest &Request) {
      return Batches && Batches(Ctx.self(), Request);
    };
    Callbacks.OnPlanChanged = [this](const std::shared_ptr<const RatePlan> &,
                                     const std::set<RatePlan::Slot> &Usable,
                                     Instant UsableUntil) {
      Slots = Usable.size();
      LeaseEnd = UsableUntil;
    };
    Callbacks.OnMembersListed =
        [this](const std::vector<MemberState> &Members) { Listed = Members; };
    return Callbacks;
  }

  void advance(Duration Span) { advanceTime(Ctx, Span); }

  /// Number of slots that the VM may spend now.
  std::size_t usable() const { return Ctx.now() < LeaseEnd ? Slots : 0; }
};

/// @brief VMs whose clocks advance together.
struct Fleet {
  RowStore Store;
  std::deque<RowsOfVm> Vms;

  explicit Fleet(unsigned Count) {
    for (unsigned Index = 0; Index < Count; ++Index)
      Vms.emplace_back(Store, "vm-" + std::to_string(Index));
    for (RowsOfVm &Vm : Vms)
      Vm.Rows.start();
  }

  void advance(Duration Span, const std::set<std::size_t> &Without = {}) {
    constexpr Duration Step = milliseconds(100);
    for (; Span > Duration(0); Span -= Step)
      for (std::size_t Index = 0; Index < Vms.size(); ++Index)
        if (Without.count(Index) == 0)
          Vms[Index].advance(Step);
  }

  /// Lets VMs that were left out run again at the time of the others.
  void thaw(const std::set<std::size_t> &Frozen, Instant Now) {
    for (std::size_t Index : Frozen) {
      Vms[Index].Ctx.setNow(Now);
      Vms[Index].Ctx.timers().runDue(Now);
    }
  }

  /// Whether all VMs hold their slots of a new plan and no VM lost any.
  bool allSlotsUsable(std::size_t SlotsPerVm) const {
    return std::all_of(Vms.begin(), Vms.end(), [&](const RowsOfVm &Vm) {
      return Vm.usable() == SlotsPerVm && Vm.Reclaims == 0;
    });
  }

  std::size_t totalUsable() const {
    std::size_t Total = 0;
    for (const RowsOfVm &Vm : Vms)
      Total += Vm.usable();
    return Total;
  }
};

/// @brief A large fleet whose renewals travel through one VM.
struct BatchedFleet {
  Fleet Members{300};
  bool Silent = false; ///< The batcher does not answer.

  BatchedFleet() {
    for (RowsOfVm &Vm : Members.Vms)
      Vm.Batches = [this](const VmId &From, const RenewalRequest &Request) {
        if (!Silent)
          m_Batcher.add(From, Request);
        return true;
      };
  }

  void advance(Duration Span) {
    Members.advance(Span);
    advanceTime(m_BatcherCtx, Span);
  }

private:
  RenewalBatcher::Hooks hooks() {
    RenewalBatcher::Hooks Callbacks;
    Callbacks.CallPlatform = [this](const PlatformRequest &Request,
                                    const RowStore::Callback &OnAnswer) {
      Members.Store.call(Request, OnAnswer);
    };
    Callbacks.SendReply = [this](const VmId &To, const FleetMessage &Message) {
      for (RowsOfVm &Vm : Members.Vms)
        if (Vm.Ctx.self() == To)
          Vm.Rows.onRenewalReply(std::get<RenewalReply>(Message));
    };
    return Callbacks;
  }

  Context m_BatcherCtx{VmId("batcher"), DataCentreId("east"), 1};
  RenewalBatcher m_Batcher{m_BatcherCtx, hooks()};
};

} // namespace

TEST_GROUP(FleetRows){};

TEST(FleetRows, ANewFleetSharesTheRatesEvenly) {
  Fleet All(3);
  All.advance(seconds(5));
  for (const RowsOfVm &Vm : All.Vms)
    LONGS_EQUAL(4, Vm.usable());
  LONGS_EQUAL(3, All.Vms.front().Listed.size());
}

TEST(FleetRows, ANewVmIsGivenSlotsAndTheSumIsKept) {
  Fleet All(3);
  All.advance(seconds(5));
  All.Vms.emplace_back(All.Store, "vm-new");
  All.Vms.back().Rows.start();
  All.advance(seconds(30));
  CHECK_TRUE(All.Vms.back().usable() >= 2);
  LONGS_EQUAL(12, All.totalUsable());
}

TEST(FleetRows, ALargeFleetKeepsItsSlots) {
  Fleet All(300);
  All.advance(seconds(20));
  for (int Second = 0; Second < 600; ++Second) {
    All.advance(seconds(1));
    CHECK_TRUE(All.allSlotsUsable(3));
  }
}

TEST(FleetRows, ALargeFleetKeepsItsSlotsWhileAPartOfItIsFrozen) {
  Fleet All(300);
  All.advance(seconds(20));
  for (std::size_t First = 0; First < 10; ++First) {
    std::set<std::size_t> Frozen;
    for (std::size_t Vm = First; Vm < 300; Vm += 10)
      Frozen.insert(Vm);
    All.advance(seconds(10), Frozen);
    All.thaw(Frozen, All.Vms[(First + 1) % 10].Ctx.now());
    CHECK_TRUE(All.allSlotsUsable(3));
  }
}

TEST(FleetRows, ALargeFleetKeepsItsSlotsDuringAStoreOutage) {
  Fleet All(300);
  for (int Round = 0; Round < 4; ++Round) {
    All.advance(seconds(23));
    All.Store.Down = true;
    All.advance(seconds(30));
    CHECK_TRUE(All.allSlotsUsable(3));
    All.Store.Down = false;
    All.advance(seconds(10));
    CHECK_TRUE(All.allSlotsUsable(3));
  }
}

TEST(FleetRows, BatchedRenewalsKeepTheSlotsForFewCalls) {
  BatchedFleet All;
  All.advance(seconds(20));
  unsigned Before = All.Members.Store.Calls;
  for (int Second = 0; Second < 60; ++Second) {
    All.advance(seconds(1));
    CHECK_TRUE(All.Members.allSlotsUsable(3));
  }
  // About four reads a second and a batch every three seconds.
  CHECK_TRUE(All.Members.Store.Calls - Before < 60 * 5 + 60 / 3 + 20);
}

TEST(FleetRows, VmsRenewByThemselvesIfTheBatcherIsSilent) {
  BatchedFleet All;
  All.advance(seconds(20));
  All.Silent = true;
  for (int Second = 0; Second < 60; ++Second) {
    All.advance(seconds(1));
    CHECK_TRUE(All.Members.allSlotsUsable(3));
  }
}

TEST(FleetRows, AnOutageOfTheStoreCostsFewCallsOfALargeFleet) {
  BatchedFleet All;
  All.advance(seconds(23));
  All.Members.Store.Down = true;
  unsigned Before = All.Members.Store.Calls;
  for (int Second = 0; Second < 30; ++Second) {
    All.advance(seconds(1));
    CHECK_TRUE(All.Members.allSlotsUsable(3));
  }
  // Twice what the fleet calls in 30 s while the store answers, unbatched.
  CHECK_TRUE(All.Members.Store.Calls - Before < 2 * 30 * 300 / 18);
}

TEST(FleetRows, ALateBatchDoesNotExtendALapsedLease) {
  Fleet All(3);
  All.advance(seconds(5));
  RowsOfVm &Frozen = All.Vms[0];
  std::optional<RenewalRequest> Request;
  Frozen.Batches = [&Request](const VmId &, const RenewalRequest &Sent) {
    Request = Sent;
    return true;
  };
  while (!Request)
    All.advance(milliseconds(100));
  // Its slots are reclaimed while it and the batcher are frozen.
  for (int Step = 0; Step < 80 && All.totalUsable() <= 12; ++Step)
    All.advance(seconds(1), {0});
  Frozen.Ctx.setNow(All.Vms[1].Ctx.now());
  ConditionalWrite Write;
  Write.Changes.push_back({memberRowKey(VmId("vm-0")), Request->Row});
  All.Store.apply(Write);
  // The reply is read before any timer runs.
  Frozen.Rows.onRenewalReply({Request->Timestamp, true});
  CHECK_TRUE(All.totalUsable() <= 12);
  Frozen.advance(seconds(2));
  CHECK_TRUE(All.totalUsable() <= 12);
}

TEST(FleetRows, AVmThatReplacesTheFirstOneIsGivenSlots) {
  Fleet All(9);
  All.advance(seconds(20));
  All.Vms.emplace_back(All.Store, "vm-new");
  All.Vms.back().Rows.start();
  All.advance(seconds(30), {0});
  CHECK_TRUE(All.Vms.back().usable() > 0);
}

TEST(FleetRows, AVmThatJoinsALargeFleetCausesFewCalls) {
  Fleet All(300);
  All.advance(seconds(20));
  unsigned Before = All.Store.Calls;
  All.advance(seconds(20));
  unsigned Usual = All.Store.Calls - Before;
  All.Vms.emplace_back(All.Store, "vm-new");
  All.Vms.back().Rows.start();
  for (RowsOfVm &Vm : All.Vms)
    Vm.Rows.requestRefresh();
  Before = All.Store.Calls;
  All.advance(seconds(20));
  CHECK_TRUE(All.Vms.back().usable() > 0);
  CHECK_TRUE(All.Store.Calls - Before < Usual + 60);
}

TEST(FleetRows, AVmStopsUsingItsSlotsBeforeTheyAreReclaimed) {
  Fleet All(3);
  All.advance(seconds(5));
  // The first VM is frozen; another VM reclaims its slots after a minute.
  for (int Step = 0; Step < 80; ++Step) {
    All.advance(seconds(1), {0});
    All.Vms[0].Ctx.setNow(All.Vms[1].Ctx.now());
    bool Reclaimed = All.Vms[1].usable() + All.Vms[2].usable() > 8;
    if (!Reclaimed)
      continue;
    // When it runs again, its lease has expired before a timer reads anything.
    All.Vms[0].advance(Duration(0));
    CHECK_TRUE(All.totalUsable() <= 12);
    return;
  }
  FAIL("the slots of a frozen VM were not reclaimed");
}

TEST(FleetRows, ALostWriteAnswerNeverLetsTwoVmsUseOneSlot) {
  Fleet All(2);
  All.advance(seconds(5));
  All.Vms.emplace_back(All.Store, "vm-new");
  All.Vms.back().Rows.start();
  // The write that gives slots away takes effect seconds after it timed out.
  All.Vms.back().advance(milliseconds(500));
  All.Store.LoseNextWrite = true;
  All.advance(seconds(9));
  CHECK_TRUE(All.totalUsable() <= 8);
  All.Store.applyLate();
  for (int Step = 0; Step < 400; ++Step) {
    All.advance(milliseconds(100));
    CHECK_TRUE(All.totalUsable() <= 8);
  }
}

TEST(FleetRows, OneVmHoldsALeaseUnderARisingFencingToken) {
  Fleet All(2);
  All.advance(seconds(5));
  std::optional<std::uint64_t> First;
  std::optional<std::uint64_t> Second;
  DatabaseId Group("g");
  All.Vms[0].Rows.acquireLease(
      Group, [&](std::optional<std::uint64_t> Token) { First = Token; });
  CHECK_TRUE(First == 1U);
  // The other VM has not read the new lease yet, which makes its write fail.
  All.Vms[1].Rows.acquireLease(
      Group, [&](std::optional<std::uint64_t> Token) { Second = Token; });
  CHECK_FALSE(Second.has_value());
  All.Vms[1].Rows.acquireLease(
      Group, [&](std::optional<std::uint64_t> Token) { Second = Token; });
  CHECK_TRUE(Second == 2U);
}

TEST(FleetRows, ALostAnswerToAnAcquisitionIsReadBack) {
  Fleet All(1);
  All.advance(seconds(5));
  All.Store.LoseNextWrite = true;
  bool CallbackRan = false;
  std::optional<std::uint64_t> Token;
  All.Vms[0].Rows.acquireLease(DatabaseId("g"),
                               [&](std::optional<std::uint64_t> Granted) {
                                 CallbackRan = true;
                                 Token = Granted;
                               });
  CHECK_TRUE(CallbackRan);
  CHECK_FALSE(Token.has_value());
}

TEST(FleetRows, MalformedRowsAreSkipped) {
  Fleet All(1);
  All.Store.Rows["fleet/vm/broken"] = {"fleet/vm/broken", "one two", 1};
  All.advance(seconds(5));
  LONGS_EQUAL(1, All.Vms[0].Listed.size());
}

namespace {

/// @brief StoreReaders of one VM with recorded messages.
struct ReaderVm {
  Context Ctx;
  RankedMembers Members;
  bool Following = false;
  Duration MaxRetry{};
  std::uint64_t Config = 1;
  std::vector<TargetEntry> Targets;
  std::vector<std::pair<VmId, FleetMessage>> Sent;
  unsigned Applied = 0;
  StoreReaders Readers;

  ReaderVm(const std::string &Name, const MemberMap &Fleet,
           std::uint64_t Seed = 1)
      : Ctx(VmId(Name), DataCentreId("east"), Seed),
        Members(Fleet.at(VmId(Name))), Readers(Ctx, hooks()) {
    for (const auto &[Vm, Member] : Fleet)
      Members.upsert(Member);
    Ctx.setNow(Instant(seconds(100)));
  }

  StoreReaders::Hooks hooks() {
    StoreReaders::Hooks Callbacks;
    Callbacks.SendRequest = [this](const VmId &To, FleetMessage &&Message) {
      Sent.emplace_back(To, std::move(Message));
    };
    Callbacks.SendReply = Callbacks.SendRequest;
    Callbacks.Members = [this]() -> const RankedMembers & { return Members; };
    Callbacks.ConfigVersion = [this] { return Config; };
    Callbacks.Targets = [this] { return Targets; };
    Callbacks.SetFollowing = [this](const StoreReaders::Following &How) {
      Following = How.Active;
      MaxRetry = How.MaxRetry;
    };
    Callbacks.OnConfigVersion = [](const VmId &, std::uint64_t) {};
    Callbacks.ApplyUpdate = [this](const StoreUpdate &) { ++Applied; };
    Callbacks.RejectedClaims = [] { return std::vector<TargetId>(); };
    Callbacks.NewestRow = [] { return 0; };
    Callbacks.OnNewestRow = [](std::uint64_t) {};
    Callbacks.Evacuations = [] { return placement::EvacuationList(); };
    Callbacks.ApplyEvacuations = [](const placement::EvacuationList &) {};
    return Callbacks;
  }

  void advance(Duration Span) { advanceTime(Ctx, Span); }
};

/// @brief Eight VMs; messages arrive at once, except at or from silent VMs.
struct ReaderFleet {
  std::deque<ReaderVm> Vms;

  explicit ReaderFleet(unsigned Count = 8) {
    MemberMap Members;
    for (unsigned Index = 0; Index < Count; ++Index) {
      VmId Vm("vm-" + std::to_string(Index));
      Members[Vm] = {Vm, DataCentreId("east"), "", Incarnation(1), true, false};
    }
    for (const auto &[Vm, Member] : Members)
      Vms.emplace_back(Vm.value(), Members);
    for (ReaderVm &Vm : Vms) {
      Vm.Readers.start();
      Vm.Readers.onTargetsListed();
      Vm.Readers.onStoreResponse();
    }
  }

  /// @param StoreUp whether the store answers the VMs that follow it
  void advance(Duration Span, bool StoreUp, const std::set<VmId> &Silent = {}) {
    constexpr Duration Step = milliseconds(50);
    for (; Span > Duration(0); Span -= Step)
      for (ReaderVm &Vm : Vms) {
        Vm.advance(Step);
        if (StoreUp && Vm.Following)
          Vm.Readers.onStoreResponse();
        deliver(Vm, Silent);
      }
  }

  void deliver(ReaderVm &From, const std::set<VmId> &Silent) {
    for (auto &[To, Message] : std::exchange(From.Sent, {})) {
      if (Silent.count(To) > 0 || Silent.count(From.Ctx.self()) > 0)
        continue;
      for (ReaderVm &Vm : Vms) {
        if (Vm.Ctx.self() != To)
          continue;
        if (const auto *Request = std::get_if<StoreUpdateRequest>(&Message))
          Vm.Readers.onUpdateRequest(From.Ctx.self(), *Request);
        if (const auto *Update = std::get_if<StoreUpdate>(&Message))
          Vm.Readers.onUpdate(From.Ctx.self(), *Update);
        deliver(Vm, Silent);
      }
    }
  }

  unsigned followerCount() const {
    unsigned Count = 0;
    for (const ReaderVm &Vm : Vms)
      Count += Vm.Following ? 1 : 0;
    return Count;
  }
};

} // namespace

TEST_GROUP(StoreReaders){};

TEST(StoreReaders, FewVmsFollowTheStore) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  LONGS_EQUAL(2, All.followerCount());
}

TEST(StoreReaders, MostVmsNeverFollowTheStoreAtTheirStart) {
  ReaderFleet All;
  for (int Step = 0; Step < 60; ++Step) {
    All.advance(milliseconds(50), true);
    CHECK_TRUE(All.followerCount() <= 2);
  }
}

TEST(StoreReaders, AVmThatKnowsNoOthersYetDoesNotFollow) {
  // A whole fleet that starts learns of its members within a second.
  MemberMap Alone;
  Alone[VmId("vm-r")] = {
      VmId("vm-r"), DataCentreId("east"), "", Incarnation(1), true, false};
  ReaderVm Starting("vm-r", Alone);
  Starting.Readers.start();
  Starting.Readers.onTargetsListed();
  Starting.Readers.onStoreResponse();
  Starting.advance(milliseconds(1400));
  CHECK_FALSE(Starting.Following);
  Starting.advance(milliseconds(1100));
  CHECK_TRUE(Starting.Following);
}

TEST(StoreReaders, AReadersEarlierProcessIsNotTakenForItsNewOne) {
  // Both have read as many lists and changes, of different targets.
  MemberMap Fleet;
  for (const char *Name : {"vm-r", "vm-x"})
    Fleet[VmId(Name)] = {
        VmId(Name), DataCentreId("east"), "", Incarnation(1), true, false};
  std::uint64_t Known = 0;
  for (std::uint64_t Process : {1U, 2U}) {
    ReaderVm Reader("vm-r", Fleet, Process);
    Reader.Targets.emplace_back();
    Reader.Readers.start();
    Reader.Readers.onTargetsListed();
    Reader.advance(milliseconds(1500));
    Reader.Readers.onStoreResponse();
    CHECK_TRUE(Reader.Following);
    Reader.Readers.onUpdateRequest(VmId("vm-x"), {1, Known, 0});
    const auto &Update = std::get<StoreUpdate>(Reader.Sent.back().second);
    LONGS_EQUAL(1, Update.Changed.size());
    Known = Update.TargetsVersion;
  }
}

TEST(StoreReaders, AllFollowOnceTheReadersLoseTheStore) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  All.advance(milliseconds(4500), false);
  LONGS_EQUAL(8, All.followerCount());
}

TEST(StoreReaders, ALargeFleetRetriesSlowlyDuringAnOutage) {
  ReaderFleet All(300);
  All.advance(seconds(4), true);
  All.advance(seconds(3), false);
  double CallsPerSecond = 0;
  for (const ReaderVm &Vm : All.Vms) {
    CHECK_TRUE(Vm.Following);
    CallsPerSecond += 1 / toSeconds(Vm.MaxRetry);
  }
  // Eight readers every 1.5 s, and 20 tries a second of all others.
  CHECK_TRUE(CallsPerSecond < 8 / 1.5 + 21);
}

TEST(StoreReaders, AVmThatIsReceivingAConfigurationDoesNotFollow) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  for (ReaderVm &Vm : All.Vms)
    Vm.Config = Vm.Following ? 2 : 1;
  All.advance(milliseconds(1800), true);
  LONGS_EQUAL(2, All.followerCount());
}

TEST(StoreReaders, AVmThatReceivesNoConfigurationFollows) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  for (ReaderVm &Vm : All.Vms)
    Vm.Config = Vm.Following ? 2 : 1;
  All.advance(milliseconds(2600), true);
  LONGS_EQUAL(8, All.followerCount());
}

TEST(StoreReaders,
     AVmThatIsReceivingOneConfigurationAfterAnotherDoesNotFollow) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  for (std::uint64_t Version = 2; Version < 12; ++Version) {
    for (ReaderVm &Vm : All.Vms)
      Vm.Config = Vm.Following ? Version : Version - 1;
    All.advance(milliseconds(500), true);
  }
  LONGS_EQUAL(2, All.followerCount());
}

TEST(StoreReaders, AVmThatBecomesAReaderDuringAnOutageRetriesLikeOne) {
  ReaderFleet All(300);
  All.advance(seconds(4), true);
  std::set<VmId> Lost;
  for (const ReaderVm &Vm : All.Vms)
    if (Vm.Following)
      Lost.insert(Vm.Ctx.self());
  All.advance(seconds(3), false);
  for (ReaderVm &Vm : All.Vms)
    for (const VmId &Reader : Lost)
      Vm.Members.setReachable(Reader, false);
  All.advance(seconds(1), false, Lost);
  unsigned Fast = 0;
  for (const ReaderVm &Vm : All.Vms)
    Fast += Lost.count(Vm.Ctx.self()) == 0 && Vm.MaxRetry <= milliseconds(1500);
  LONGS_EQUAL(Lost.size(), Fast);
}

TEST(StoreReaders, AllFollowBeforeAChangeCouldBeMissedForThreeSeconds) {
  // The readers lose the store just before a change, after a recent update.
  ReaderFleet All;
  All.advance(seconds(4), true);
  All.advance(milliseconds(2600), false);
  LONGS_EQUAL(8, All.followerCount());
}

TEST(StoreReaders, AReaderBetweenTwoStoreAnswersStaysValid) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  for (unsigned Round = 0; Round < 20; ++Round) {
    All.advance(milliseconds(1500), false);
    LONGS_EQUAL(2, All.followerCount());
    All.advance(milliseconds(50), true);
  }
}

TEST(StoreReaders, ALateUpdateCountsFromItsRequest) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  for (ReaderVm &Vm : All.Vms) {
    if (Vm.Following)
      continue;
    Vm.advance(milliseconds(600));
    auto [To, Message] = Vm.Sent.back();
    StoreUpdate Update;
    Update.ConfigVersion = 1;
    Update.TargetsVersion = Update.BaseTargetsVersion = 1;
    Update.Timestamp = std::get<StoreUpdateRequest>(Message).Timestamp;
    Vm.advance(seconds(5));
    CHECK_TRUE(Vm.Following);
    Vm.Readers.onUpdate(To, Update);
    CHECK_TRUE(Vm.Following);
    return;
  }
  FAIL("all VMs follow the store");
}

TEST(StoreReaders, AllFollowOnceTheReadersAreSilent) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  std::set<VmId> Silent;
  for (const ReaderVm &Vm : All.Vms)
    if (Vm.Following)
      Silent.insert(Vm.Ctx.self());
  All.advance(seconds(2), true, Silent);
  LONGS_EQUAL(8, All.followerCount());
}

TEST(StoreReaders, AVmThatStoppedFollowingSendsNoList) {
  // The list may lack a target added since then, which the VMs that apply the
  // list would remove.
  ReaderFleet All;
  All.advance(seconds(4), true);
  for (ReaderVm &Vm : All.Vms) {
    if (Vm.Following)
      continue;
    Vm.Sent.clear();
    Vm.Readers.onUpdateRequest(VmId("vm-x"), StoreUpdateRequest{1, 0});
    const StoreUpdate &Update = std::get<StoreUpdate>(Vm.Sent.back().second);
    LONGS_EQUAL(0, Update.TargetsVersion);
    CHECK_TRUE(Update.Changed.empty());
    return;
  }
  FAIL("all VMs follow the store");
}

TEST(StoreReaders, ChangesAreSentToSubscribers) {
  ReaderFleet All;
  All.advance(seconds(4), true);
  for (ReaderVm &Vm : All.Vms)
    Vm.Applied = 0;
  for (ReaderVm &Vm : All.Vms)
    if (Vm.Following)
      Vm.Readers.onTargetsChanged({TargetId()});
  for (ReaderVm &Vm : All.Vms)
    All.deliver(Vm, {});
  for (const ReaderVm &Vm : All.Vms)
    CHECK_TRUE(Vm.Following || Vm.Applied >= 1);
}

namespace {

/// @brief A reader with a hundred targets, and the updates that it sends.
struct ListReader {
  ReaderVm Vm;

  ListReader() : Vm("vm-r", fleet()) {
    for (unsigned Index = 100; Index < 200; ++Index) {
      TargetEntry Entry;
      Entry.Id = TargetId("t-" + std::to_string(Index));
      Vm.Targets.push_back(Entry);
    }
    Vm.Readers.start();
    Vm.Readers.onTargetsListed();
    Vm.advance(milliseconds(1500));
    Vm.Readers.onStoreResponse();
  }

  static MemberMap fleet() {
    MemberMap Fleet;
    for (const char *Name : {"vm-r", "vm-x"})
      Fleet[VmId(Name)] = {
          VmId(Name), DataCentreId("east"), "", Incarnation(1), true, false};
    return Fleet;
  }

  StoreUpdate ask(std::uint64_t Version, std::uint64_t Digest) {
    Vm.Readers.onUpdateRequest(VmId("vm-x"), {1, Version, 1, Digest});
    return std::get<StoreUpdate>(Vm.Sent.back().second);
  }
};

} // namespace

TEST(StoreReaders, AReaderSendsWhatChangedSinceTheVersionOfAVm) {
  // A request that crossed a change on its way used to cost the full list.
  ListReader Reader;
  StoreUpdate Full = Reader.ask(0, 0);
  LONGS_EQUAL(100, Full.Changed.size());
  Reader.Vm.Readers.onTargetsChanged({TargetId("t-107")});
  Reader.Vm.Targets.pop_back();
  Reader.Vm.Readers.onTargetsChanged({TargetId("t-199")});
  StoreUpdate Difference = Reader.ask(Full.TargetsVersion, 0);
  LONGS_EQUAL(Full.TargetsVersion, Difference.BaseTargetsVersion);
  LONGS_EQUAL(1, Difference.Changed.size());
  CHECK_TRUE(Difference.Changed.front().Id == TargetId("t-107"));
  LONGS_EQUAL(1, Difference.Removed.size());
  CHECK_TRUE(Difference.Removed.front() == TargetId("t-199"));
}

TEST(StoreReaders, AVmWithTheSameListIsNotSentIt) {
  // All VMs of a fleet that starts have just read the list from the store.
  ListReader Reader;
  ListReader Other;
  std::uint64_t Digest = fleetcost::digestOfList(Other.Vm.Targets);
  StoreUpdate Same = Reader.ask(0, Digest);
  CHECK_TRUE(Same.SameList);
  CHECK_TRUE(Same.Changed.empty());
  Other.Vm.Targets.front().Draining = true;
  StoreUpdate Full = Reader.ask(0, fleetcost::digestOfList(Other.Vm.Targets));
  CHECK_FALSE(Full.SameList);
  LONGS_EQUAL(100, Full.Changed.size());
}

TEST(StoreReaders, AReaderSendsTheEntriesOfRejectedClaims) {
  // Entries that are only written again are not sent, but a VM that rejected
  // the claim of an earlier one needs the new version to find the primary.
  ListReader Reader;
  StoreUpdate Full = Reader.ask(0, 0);
  Reader.Vm.Targets[7].Version = 99;
  Reader.Vm.Readers.onUpdateRequest(
      VmId("vm-x"), {1, Full.TargetsVersion, 1, 0, {TargetId("t-107")}});
  auto Update = std::get<StoreUpdate>(Reader.Vm.Sent.back().second);
  LONGS_EQUAL(1, Update.Changed.size());
  LONGS_EQUAL(99, Update.Changed.front().Version);
}

TEST(StoreReaders, AVmDoesNotFollowWhileOneOfItsReadersIsSilent) {
  // A VM polls two of several readers; the loss of one must not cost a read of
  // the store by every VM that polls it.
  ReaderFleet All(120);
  All.advance(seconds(6), true);
  unsigned Before = All.followerCount();
  std::set<VmId> Silent;
  for (const ReaderVm &Vm : All.Vms)
    if (Vm.Following && Silent.empty())
      Silent.insert(Vm.Ctx.self());
  for (unsigned Step = 0; Step < 100; ++Step) {
    All.advance(milliseconds(50), true, Silent);
    LONGS_EQUAL(Before, All.followerCount());
  }
}
