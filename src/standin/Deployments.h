#ifndef BERGAMOTSTAGE_STANDIN_DEPLOYMENTS_H
#define BERGAMOTSTAGE_STANDIN_DEPLOYMENTS_H

#include "standin/LoopbackFleet.h"

#include <string>
#include <vector>

namespace bergamotstage::standin {

/// @brief Names, sizes and network delays of one deployment.
struct Deployment {
  std::vector<std::string> DataCentres; ///< Three, all of one region.
  std::string Region;
  std::vector<std::string> Databases; ///< One target in each data centre.
  unsigned Slots = 1;
  unsigned Connections = 1;
  std::vector<std::string> Accounts; ///< Each with the key "key-<account>".
  double Rate = 0;                   ///< Statements per second and account.
  double Burst = 0;                  ///< Statements, each account.
  LoopbackDelays Delays;
};

/// @brief Deployment of the allotment cooperative of Hanoi.
Deployment hanoiDeployment();

/// @brief Deployment of the sailing school board on the Hooghly.
Deployment bengalDeployment();

/// @brief Returns the rules text of a deployment: for each database a keyed
/// route of its name and an open route "<database>-public", max-age 10 s.
std::string deploymentRules(const Deployment &Site);

/// @brief Starts the groups, the rules and nine VMs ("vm-1" to "vm-9", three
/// in each data centre) and runs until the VMs serve.
/// @param ExtraRules lines to add to the rules of the deployment
void startDeployment(LoopbackFleet &Fleet, const Deployment &Site, Duration Lag,
                     const std::string &ExtraRules = "");

/// @brief Makes every running VM known to every other running VM.
void introduceAllVms(LoopbackFleet &Fleet);

/// @brief Returns the connection parameters of a caller of an account.
CallerOpened callerOpening(const std::string &Account,
                           const std::string &Route);

} // namespace bergamotstage::standin

#endif // BERGAMOTSTAGE_STANDIN_DEPLOYMENTS_H
