#include "ContextTime.h"
#include "bergamotstage/pooling/ConfigExchange.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace bergamotstage;
using namespace bergamotstage::pooling;

namespace {

const VmId Near("near");
const VmId Far("far");
const VmId Large("large");

MemberState member(const VmId &Name, const std::string &DataCentre,
                   double Cores) {
  return {
      Name, DataCentreId(DataCentre), "10.0.0.1:1", Incarnation(1), true, false,
      Cores};
}

ReceivedConfig received(std::uint64_t Version) {
  SiteConfig Config;
  Config.Version = Version;
  return {std::make_shared<const SiteConfig>(Config),
          std::string(3000, 'x') + std::to_string(Version), "store", 3000};
}

/// @brief The exchange of one small VM; a large one and another small one are
/// in its data centre, a third in another.
struct Exchange {
  Context Ctx{VmId("self"), DataCentreId("east"), 1};
  RankedMembers Members{member(VmId("self"), "east", 0.1)};
  std::vector<std::pair<VmId, ConfigRequest>> Requests;
  std::vector<std::pair<VmId, ConfigText>> Replies;
  std::vector<std::string> Applied;
  unsigned Malformed = 0;
  unsigned StoreReads = 0;
  ConfigExchange Configs{Ctx, hooks()};

  explicit Exchange(std::uint64_t Version = 1) {
    Ctx.setNow(Instant(seconds(100)));
    Members.upsert(member(Near, "east", 0.1));
    Members.upsert(member(Large, "east", 0.5));
    Members.upsert(member(Far, "west", 0.5));
    Ctx.setLogHook([this](const WriteLog &Entry) {
      Malformed += Entry.EventName == "config_malformed" ? 1 : 0;
    });
    Configs.accept(received(Version));
  }

  ConfigExchange::Hooks hooks() {
    ConfigExchange::Hooks Callbacks;
    Callbacks.SendRequest = [this](const VmId &To, FleetMessage &&Message) {
      Requests.emplace_back(To, std::get<ConfigRequest>(Message));
    };
    Callbacks.SendReply = [this](const VmId &To, FleetMessage &&Message) {
      Replies.emplace_back(To, std::get<ConfigText>(Message));
    };
    Callbacks.Members = [this]() -> const RankedMembers & { return Members; };
    Callbacks.ReadStore = [this] { ++StoreReads; };
    Callbacks.Apply = [this](const VmId &, const std::string &Text,
                             std::size_t) { Applied.push_back(Text); };
    return Callbacks;
  }

  void run(Duration Span) { advanceTime(Ctx, Span); }

  /// @brief Takes a newer configuration, as PoolNode does.
  void update(std::uint64_t Version) {
    if (Configs.accept(received(Version)))
      Configs.sendToWaiting();
  }
};

/// @brief Passes the last request of one VM to another, and the reply back.
void transfer(Exchange &From, Exchange &To) {
  From.Configs.onRequest(VmId("receiver"), To.Requests.back().second);
  To.Configs.onText(VmId("sender"), From.Replies.back().second);
}

} // namespace

TEST_GROUP(ConfigExchange){};

TEST(ConfigExchange, ManyReportsCauseOneRequest) {
  Exchange Vm;
  for (int Report = 0; Report < 50; ++Report)
    Vm.Configs.onPeerVersion(Near, 2);
  Vm.run(milliseconds(390));
  LONGS_EQUAL(1, Vm.Requests.size());
  LONGS_EQUAL(0, Vm.StoreReads);
}

TEST(ConfigExchange, ASilentVmIsReplacedByTheStore) {
  Exchange Vm;
  Vm.Configs.onPeerVersion(Near, 2);
  Vm.run(milliseconds(410));
  LONGS_EQUAL(1, Vm.StoreReads);
  Vm.run(milliseconds(410));
  Vm.Configs.onPeerVersion(Near, 2);
  LONGS_EQUAL(2, Vm.Requests.size());
}

TEST(ConfigExchange, ChangesFromOutsideComeThroughTheLargestVm) {
  Exchange Vm;
  Vm.Configs.onPeerVersion(Far, 2);
  LONGS_EQUAL(0, Vm.Requests.size());
  Vm.run(milliseconds(100));
  LONGS_EQUAL(1, Vm.Requests.size());
  CHECK_TRUE(Vm.Requests.back().first == Large);
  Vm.run(milliseconds(400));
  CHECK_TRUE(Vm.Requests.back().first == Far);
  LONGS_EQUAL(0, Vm.StoreReads);
  Vm.run(milliseconds(400));
  LONGS_EQUAL(1, Vm.StoreReads);
}

TEST(ConfigExchange, AnOlderVmHelpsIfTheOneWithTheNewestVersionIsGone) {
  Exchange Vm;
  Vm.Configs.onPeerVersion(Far, 5);
  Vm.run(seconds(2));
  Vm.Configs.onPeerVersion(Near, 4);
  CHECK_TRUE(Vm.Requests.back().first == Near);
}

TEST(ConfigExchange, TheNextVersionIsFetchedAtOnce) {
  Exchange Vm;
  Vm.Configs.onPeerVersion(Near, 2);
  Vm.Configs.onPeerVersion(Near, 3);
  LONGS_EQUAL(1, Vm.Requests.size());
  Vm.update(2);
  LONGS_EQUAL(2, Vm.Requests.size());
  LONGS_EQUAL(2, Vm.Requests.back().second.Version);
  Vm.update(3);
  Vm.run(seconds(2));
  LONGS_EQUAL(2, Vm.Requests.size());
  LONGS_EQUAL(0, Vm.StoreReads);
}

TEST(ConfigExchange, ADifferenceIsRestored) {
  Exchange Source;
  Exchange Vm;
  Source.update(2);
  Vm.Configs.onPeerVersion(Near, 2);
  transfer(Source, Vm);
  CHECK_TRUE(Source.Replies.back().second.Base != TextDigest());
  CHECK_TRUE(Vm.Applied.back() == received(2).Text);
}

TEST(ConfigExchange, AnUnknownBaseIsAnsweredWithTheWholeText) {
  Exchange Source;
  Exchange Vm(2);
  for (std::uint64_t Version = 3; Version < 10; ++Version)
    Source.update(Version);
  Vm.Configs.onPeerVersion(Near, 9);
  transfer(Source, Vm);
  CHECK_TRUE(Source.Replies.back().second.Base == TextDigest());
  CHECK_TRUE(Vm.Applied.back() == received(9).Text);
}

TEST(ConfigExchange, ADifferenceThatDoesNotFitIsRequestedInFull) {
  Exchange Vm;
  Vm.Configs.onText(Near, {2, TextDigest(99), "?"});
  LONGS_EQUAL(1, Vm.Malformed);
  CHECK_TRUE(Vm.Requests.back().first == Near);
  CHECK_TRUE(Vm.Requests.back().second.Base == TextDigest());
}

TEST(ConfigExchange, AMalformedTextIsLoggedAndNotRequestedAgain) {
  Exchange Vm;
  Vm.Configs.onText(Near, {2, TextDigest(), "not compressed"});
  LONGS_EQUAL(1, Vm.Malformed);
  LONGS_EQUAL(0, Vm.Requests.size());
  LONGS_EQUAL(0, Vm.Applied.size());
}

TEST(ConfigExchange, ARequestWaitsForANewerConfiguration) {
  Exchange Vm;
  Vm.Configs.onRequest(Near, {1, TextDigest()});
  LONGS_EQUAL(0, Vm.Replies.size());
  Vm.run(seconds(1));
  Vm.update(2);
  LONGS_EQUAL(1, Vm.Replies.size());
  Vm.update(3);
  LONGS_EQUAL(1, Vm.Replies.size());
}

TEST(ConfigExchange, ARequestThatWaitedTooLongIsForgotten) {
  Exchange Vm;
  Vm.Configs.onRequest(Near, {1, TextDigest()});
  Vm.run(seconds(3));
  Vm.update(2);
  LONGS_EQUAL(0, Vm.Replies.size());
}

TEST(ConfigExchange, CopiesThatComeForNothingAreCounted) {
  Exchange Source;
  Exchange Vm(2);
  Source.update(2);
  Source.Configs.onRequest(Near, {1, TextDigest()});
  Vm.Configs.onText(Near, Source.Replies.back().second);
  LONGS_EQUAL(1, Vm.Configs.counts().Outdated);
  LONGS_EQUAL(0, Vm.Applied.size());
}
