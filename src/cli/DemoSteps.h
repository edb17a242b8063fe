#ifndef BERGAMOTSTAGE_CLI_DEMOSTEPS_H
#define BERGAMOTSTAGE_CLI_DEMOSTEPS_H

#include "cli/DemoClient.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace bergamotstage::cli {

/// @brief Where the parties of the demonstration listen.
struct DemoOptions {
  std::string ProxyA;
  std::string ProxyB;
  std::string Platform;
  std::string VmA; ///< Operators' address of the VM behind proxy A.
  std::string RulesFile;
};

/// @brief The steps of the demonstration, on sockets, with libpq.
///
/// Each step prints what happened, and for statements the target chosen with
/// the rule line and its author.
class DemoSteps {
public:
  explicit DemoSteps(DemoOptions Options) : m_Options(std::move(Options)) {}

  /// @brief Runs all steps.
  /// @return how many of them failed
  int run();

private:
  ClientLogin login(const std::string &Address, const std::string &Account,
                    const std::string &Route) const;
  std::optional<DemoClient> connect(const ClientLogin &Login,
                                    const std::string &Step);
  void check(bool Holds, const std::string &Step, const std::string &Detail);
  bool waitUntilServing();
  void refuseWrongKey();
  std::string writeThroughA();
  void roamToB(const std::string &Token);
  void readAgedTimetable();
  void repeatRequest();
  void withdrawKey();
  void cutPrimary();
  std::string rulesWithout(const std::string &KeyOf) const;

  DemoOptions m_Options;
  int m_Failures = 0;
};

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_DEMOSTEPS_H
