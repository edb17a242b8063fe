// Sailing crews check in during a failover, an enrolment is repeated with the
// same request id at another proxy, and an invalid key is refused.
#include "support/GoldenSession.h"

using namespace bergamotstage;
using namespace bergamotstage::examples;

int main() {
  standin::Deployment Site = standin::bengalDeployment();
  standin::LoopbackFleet Fleet(Site.Delays, 2);
  standin::startDeployment(Fleet, Site, milliseconds(50),
                           "policy queue fair # Sailing school board\n");
  GoldenSession Jetty(Fleet, "instructor", "vm-2",
                      standin::callerOpening("jetty-1", "sail-1"));
  Jetty.run("INSERT INTO checkins VALUES ('crew-1', 'out')");
  isolateTarget(Fleet, "sail-1", "sail-1-1");
  for (int Crew = 2; Crew <= 3; ++Crew) {
    std::string Text = "INSERT INTO checkins VALUES ('crew-" +
                       std::to_string(Crew) + "', 'out')";
    Jetty.run(Text);
    while (!Jetty.succeeded()) {
      Fleet.runUntil(Fleet.now() + seconds(1));
      Jetty.run(Text);
    }
  }
  Jetty.run("SELECT * FROM checkins");
  for (const char *Vm : {"vm-3", "vm-7"}) {
    CallerOpened Opening = standin::callerOpening("desk", "sail-2");
    Opening.Settings["bergamotstage.request_id"] = "enrol-41";
    GoldenSession Desk(Fleet, "desk", Vm, Opening);
    Desk.run("INSERT INTO enrolments VALUES ('child-41', 'optimist')");
  }
  GoldenSession Wrong(Fleet, "former instructor", "vm-4", [] {
    CallerOpened Opening = standin::callerOpening("jetty-2", "sail-1");
    Opening.Key = "withdrawn last week";
    return Opening;
  }());
}
