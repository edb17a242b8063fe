#include "bergamotstage/placement/Evacuations.h"
#include "runtime/site/StoreTables.h"
#include "soak/PlatformText.h"
#include "soak/StoreStandIn.h"

#include <asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using namespace bergamotstage;
using runtime::StoreTables;

namespace {

const DataCentreId East("east");
const DataCentreId West("west");
const pooling::StoreReaders::Following Follow{true, milliseconds(20),
                                              milliseconds(20)};
const pooling::StoreReaders::Following Rest{false, milliseconds(20),
                                            milliseconds(20)};

/// @brief A VM's tables at a stand-in of the store.
class TablesBench {
public:
  TablesBench()
      : Store(m_Io, 1, 1),
        Tables(m_Io, Store.address(0), {East, West}, hooks()) {
    Tables.setFollowing(Follow);
    Tables.start();
    run();
  }

  /// @brief Runs until the calls of the tables have been answered.
  void run() {
    m_Io.run_for(milliseconds(100));
    m_Io.restart();
  }

  void checkEvacuated(const std::set<DataCentreId> &Expected) {
    CHECK_TRUE(m_Known.list().DataCentres == Expected);
  }

private:
  StoreTables::Hooks hooks() {
    StoreTables::Hooks Hooks;
    Hooks.Config = [](const pooling::ReceivedConfig &) {};
    Hooks.Evacuations = [this](const placement::EvacuationList &List) {
      m_Known.apply(List, Instant(seconds(1)));
    };
    Hooks.Evacuation = [this](const DataCentreId &DataCentre, bool Evacuated,
                              std::uint64_t Version) {
      m_Known.applyChange(DataCentre, Evacuated, Version, Instant(seconds(1)));
    };
    Hooks.Targets = [this](const std::vector<pooling::TargetEntry> &All) {
      Listed.clear();
      for (const pooling::TargetEntry &Entry : All)
        Listed.insert(Entry.Id);
    };
    Hooks.Target = [this](const pooling::TargetEntry &Entry) {
      Listed.insert(Entry.Id);
    };
    Hooks.TargetRemoved = [this](const TargetId &Id) { Listed.erase(Id); };
    Hooks.Answered = [] {};
    Hooks.Log = [this](WriteLog &&Entry) {
      if (Entry.EventName == "target_entry_skipped")
        ++Skipped;
    };
    return Hooks;
  }

  asio::io_context m_Io;
  placement::Evacuations m_Known;

public:
  soak::StoreStandIn Store;
  std::set<TargetId> Listed;
  unsigned Skipped = 0; ///< Entries that were logged as skipped.
  StoreTables Tables;
};

std::string soundEntry(const std::string &Address) {
  return soak::targetEntry("svc", Address, "3");
}

} // namespace

TEST_GROUP(StoreTables){};

// Guards against a lost row: the feed lists rows by key, and a row with a lower
// version than one before it was taken for an older change.
TEST(StoreTables, RowsOfOneAnswerApplyInTheOrderOfTheirVersions) {
  TablesBench Bench;
  Bench.Tables.setFollowing(Rest);
  Bench.Store.put("op", "evacuate/nowhere", "");
  Bench.run();
  Bench.Store.put("op", "evacuate/west", "");
  Bench.Store.put("op", "evacuate/east", "");
  Bench.Tables.setFollowing(Follow);
  Bench.run();
  Bench.checkEvacuated({East, West, DataCentreId("nowhere")});
}

// Guards against an evacuation that never ends: a read of the table shows no
// removals, and a later row made the removal in the feed look older.
TEST(StoreTables, ARefreshTakesBackWhatWasRemoved) {
  TablesBench Bench;
  Bench.Store.put("op", "evacuate/east", "");
  Bench.run();
  Bench.checkEvacuated({East});
  Bench.Tables.setFollowing(Rest);
  Bench.Store.put("op", "unrelated", "");
  Bench.run();
  Bench.Store.remove("op", "evacuate/east");
  Bench.Store.put("op", "evacuate/west", "");
  Bench.Tables.refreshConfig();
  Bench.run();
  Bench.checkEvacuated({West});
  Bench.Tables.setFollowing(Follow);
  Bench.run();
  Bench.checkEvacuated({West});
}

// Guards against statements to a target that does not exist: an entry with an
// unusable address or capacity was listed.
TEST(StoreTables, OddEntriesNameNoTarget) {
  TablesBench Bench;
  Bench.Store.put("servers", "sound", soundEntry("10.0.0.1:80"));
  unsigned Number = 0;
  for (const std::string &Odd : soak::oddTargetEntries("svc"))
    Bench.Store.put("servers", "odd-" + std::to_string(++Number), Odd);
  Bench.run();
  CHECK_TRUE(Bench.Listed == std::set<TargetId>{TargetId("sound")});
  LONGS_EQUAL(Number, Bench.Skipped);
  Bench.Store.put("servers", "later", soundEntry("10.0.0.2:80"));
  Bench.run();
  LONGS_EQUAL(2, Bench.Listed.size());
}

// Guards against a target that stays in use after another writer has replaced
// its entry, although a VM that reads the whole table does not know it.
TEST(StoreTables, AnOddEntryReplacesTheTargetsOwn) {
  TablesBench Bench;
  for (const std::string &Odd : soak::oddTargetEntries("svc")) {
    Bench.Store.put("servers", "a", soundEntry("10.0.0.1:80"));
    Bench.run();
    LONGS_EQUAL(1, Bench.Listed.size());
    Bench.Store.put("servers", "a", Odd);
    Bench.run();
    LONGS_EQUAL(0, Bench.Listed.size());
  }
}
