#include "SmallFleet.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace bergamotstage;
using namespace bergamotstage::pooling;
using namespace bergamotstage::standin;

namespace {

/// @brief A caller whose route moves between groups with slow replicas.
struct MovingRoute {
  SmallFleet Small;

  explicit MovingRoute(unsigned Groups) : Small(3, seconds(60), Groups) {
    Small.Config.Routes["own-0"].MaxStaleness = seconds(60);
    Small.connect("own-0");
    // The positions that these reads prove are young enough for replicas.
    for (unsigned Group = Groups; Group > 0; --Group) {
      moveTo(Group - 1);
      LONGS_EQUAL(0, visibleToRead());
    }
  }

  void moveTo(unsigned Group) {
    Small.Config.Routes["own-0"].Group =
        DatabaseId("group-" + std::to_string(Group));
    Small.reconfigure();
  }

  void write() {
    CHECK_FALSE(
        Small.sendAndWait(Verb::Write, milliseconds(60)).Error.has_value());
  }

  /// @brief Runs a read and returns the commits that were visible to it.
  std::size_t visibleToRead() {
    CHECK_FALSE(
        Small.sendAndWait(Verb::Read, milliseconds(100)).Error.has_value());
    return Small.Runs.back().Visible;
  }
};

} // namespace

TEST_GROUP(Routes){};

TEST(Routes, AReadSeesTheSessionsWriteAfterItsRouteMovedAwayAndBack) {
  // Guards against a session that forgot its commit in one group as soon as it
  // committed in another one.
  MovingRoute Route(2);
  Route.write();
  Route.moveTo(1);
  Route.write();
  Route.moveTo(0);
  LONGS_EQUAL(1, Route.visibleToRead());
}

TEST(Routes, AReadSeesTheSessionsWritesInThreeGroups) {
  MovingRoute Route(3);
  for (unsigned Group : {0U, 1U, 2U}) {
    Route.moveTo(Group);
    Route.write();
  }
  for (unsigned Group : {0U, 1U, 2U, 0U}) {
    Route.moveTo(Group);
    LONGS_EQUAL(1, Route.visibleToRead());
  }
}

TEST(Routes, ATransactionSeesTheSessionsWriteAfterItsRouteMovedAwayAndBack) {
  MovingRoute Route(2);
  Route.write();
  Route.moveTo(1);
  Route.write();
  Route.moveTo(0);
  Route.Small.sendAndWait(Verb::BeginReadOnly, milliseconds(20));
  LONGS_EQUAL(1, Route.visibleToRead());
}
