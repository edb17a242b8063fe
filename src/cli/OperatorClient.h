#ifndef BERGAMOTSTAGE_CLI_OPERATORCLIENT_H
#define BERGAMOTSTAGE_CLI_OPERATORCLIENT_H

#include <tl/expected.hpp>

#include <map>
#include <string>

namespace bergamotstage::cli {

/// @brief Answer of a VM to an operator request.
struct OperatorAnswer {
  bool Succeeded = false;
  std::string Body;
};

/// @brief Sends an operator request to a running VM.
/// @param Address the VM's peer address, `IP:PORT`
/// @return the answer, or the error of the call
tl::expected<OperatorAnswer, std::string>
requestFromVm(const std::string &Address, const std::string &Verb,
              const std::map<std::string, std::string> &Arguments);

/// @brief Starts or ends a fault of a stand-in platform.
/// @param Name the target or VM that the fault applies to, if it needs one
/// @return whether the fault and name are known, or the error of the call
tl::expected<bool, std::string> setFault(const std::string &Address,
                                         const std::string &Kind,
                                         const std::string &Name, bool On,
                                         unsigned Milliseconds);

} // namespace bergamotstage::cli

#endif // BERGAMOTSTAGE_CLI_OPERATORCLIENT_H
