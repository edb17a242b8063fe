#include "soak/EvacuationCheck.h"
#include "soak/PriorityShares.h"

#include <CppUTest/TestHarness.h>

using namespace bergamotstage;
using namespace bergamotstage::soak;

namespace {

const DataCentreId East("east");
const TargetId Target("target");

Instant at(int Milliseconds) {
  return Instant(seconds(100) + milliseconds(Milliseconds));
}

} // namespace

TEST_GROUP(EvacuationCheck) { EvacuationCheck Check{seconds(5), 2}; };

// Guards against a soak that passes whatever arrives.
TEST(EvacuationCheck, ReportsStatementsAfterTheBound) {
  Check.begin(East, at(0));
  Check.onStatement(0, Target, East, "r1", at(5000));
  LONGS_EQUAL(0, Check.violations().size());
  Check.onStatement(0, Target, East, "r2", at(5001));
  LONGS_EQUAL(1, Check.violations().size());
  CHECK_TRUE(Check.lastStatement(East) == Duration(milliseconds(5001)));
  Check.end(East);
  Check.onStatement(0, Target, East, "r3", at(9000));
  LONGS_EQUAL(1, Check.violations().size());
}

// Guards against blaming a VM that could not know of the row, and against
// excusing the others or excusing it for ever.
TEST(EvacuationCheck, TheBoundOfAVmCountsFromItsContact) {
  Check.begin(East, at(0));
  Check.loseContact(0, at(2000));
  Check.onStatement(0, Target, East, "r1", at(10900));
  LONGS_EQUAL(0, Check.violations().size());
  Check.onStatement(0, Target, East, "r2", at(10901));
  Check.onStatement(1, Target, East, "r3", at(5001));
  LONGS_EQUAL(2, Check.violations().size());
}

TEST_GROUP(PriorityShares) {
  PriorityShares Shares;
  void add(unsigned Priority, unsigned Begun, unsigned Served) {
    for (unsigned Index = 0; Index < Begun; ++Index)
      Shares.count(Priority, false);
    for (unsigned Index = 0; Index < Served; ++Index)
      Shares.count(Priority, true);
  }
};

// Guards against a soak that accepts urgent operations served worse.
TEST(PriorityShares, ReportsAnUrgentPriorityServedWorse) {
  add(0, 1000, 300);
  add(1, 1000, 310);
  LONGS_EQUAL(0, Shares.violations().size());
  add(2, 1000, 450);
  LONGS_EQUAL(2, Shares.violations().size());
}

// Guards against a failure by chance with few operations.
TEST(PriorityShares, TheMarginGrowsWithFewOperations) {
  add(0, 20, 6);
  add(1, 20, 9);
  LONGS_EQUAL(0, Shares.violations().size());
}
