// Several callers read offers, a clerk reconnects to another VM with the
// session token, and the primary fails before the next write.
#include "support/GoldenSession.h"

using namespace bergamotstage;
using namespace bergamotstage::examples;

int main() {
  standin::Deployment Site = standin::hanoiDeployment();
  standin::LoopbackFleet Fleet(Site.Delays, 1);
  standin::startDeployment(
      Fleet, Site, milliseconds(200),
      "policy reads nearest-covered wait=50ms # Ward chairmen\n");
  GoldenSession Clerk(Fleet, "clerk", "vm-1",
                      standin::callerOpening("ward-1", "waitlist-1"));
  Clerk.run("INSERT INTO offers VALUES ('plot-7', 'family-3')");
  Clerk.run("SELECT value FROM offers WHERE key = 'plot-7'");
  for (int Ward = 2; Ward <= 4; ++Ward) {
    GoldenSession Chairman(
        Fleet, "chairman " + std::to_string(Ward), "vm-" + std::to_string(Ward),
        standin::callerOpening("ward-" + std::to_string(Ward), "waitlist-1"));
    Chairman.run("SELECT * FROM offers");
  }
  CallerOpened Roamed = standin::callerOpening("ward-1", "waitlist-1");
  Roamed.Settings["bergamotstage.session"] = Clerk.token();
  GoldenSession Roaming(Fleet, "clerk, roaming", "vm-9", Roamed);
  Roaming.run("SELECT value FROM offers WHERE key = 'plot-7'");
  isolateTarget(Fleet, "waitlist-1", "waitlist-1-1");
  Roaming.run("UPDATE offers SET value = 'accepted' WHERE key = 'plot-7'");
  while (!Roaming.succeeded()) {
    Fleet.runUntil(Fleet.now() + seconds(1));
    Roaming.run("UPDATE offers SET value = 'accepted' WHERE key = 'plot-7'");
  }
  Roaming.run("SELECT value FROM offers WHERE key = 'plot-7'");
  GoldenSession Public(Fleet, "resident", "vm-5",
                       standin::callerOpening("anyone", "waitlist-1-public"));
  Public.run("SELECT * FROM offers");
}
