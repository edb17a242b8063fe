#ifndef BERGAMOTSTAGE_CLI_DEMOSTEPS_H
#define BERGAMOTSTAGE_CLI_DEMOSTEPS_H

#include "cli/DemoClient.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace bergamotstage::cli {

/// @brief Addresses of the processes in the demonstration.
struct DemoOptions {
  std::string ProxyA;
  std::string ProxyB;
  std::string Platform;
  std::string VmA; ///< Peer address of the VM that runs proxy A.
  std::string RulesFile;
};

/// @brief Runs the demonstration against two proxies through libpq.
///
/// Each step prints its result and, for statements, the chosen target, the rule
/// line and the author of the rule.
class DemoSteps {
public:
  explicit DemoSteps(DemoOptions Options) : m_Options(std::move(Options)) {}

  /// @brief Runs all steps.
  /// @return the number of failed checks
  int run();

private:
  ClientLogin login(const std::string &Address, const std::string &Account,
                    const std::string &Route) const;
  std::optional<DemoClient> connect(const ClientLogin &Login,
                                    const std::string &Step);
  void report(bool Passed, const std::string &Step, const std::string &Detail);
  bool waitUntilServing();
  void refuseWrongKey();
  std::string writeThroughA();
  void roamToB(const std::string &Token);
  void readAgedTimetable();
  void repeatRequest();
  void withdrawKey();
  void freezePrimary();
  std::string rulesWithout(const std::string &Account) const;

  DemoOptions m_Options;
  int m_Failures = 0;
};

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_DEMOSTEPS_H
