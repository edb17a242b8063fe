#ifndef BERGAMOTSTAGE_CLI_OPERATORCLIENT_H
#define BERGAMOTSTAGE_CLI_OPERATORCLIENT_H

#include <tl/expected.hpp>

#include <map>
#include <string>

namespace bergamotstage::cli {

/// @brief What a VM answered an operator.
struct OperatorAnswer {
  bool Succeeded = false;
  std::string Body;
};

/// @brief Asks a running VM.
/// @param Address of the VM's peers, `IP:PORT`
/// @return its answer, or why there is none
tl::expected<OperatorAnswer, std::string>
askVm(const std::string &Address, const std::string &Verb,
      const std::map<std::string, std::string> &Arguments);

/// @brief Sets a fault of a stand-in platform.
/// @return whether the stand-in knows it, or why there is no answer
tl::expected<bool, std::string> setFault(const std::string &Address,
                                         const std::string &Kind,
                                         const std::string &Name, bool On,
                                         unsigned Milliseconds);

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_OPERATORCLIENT_H
