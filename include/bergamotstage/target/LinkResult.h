#ifndef BERGAMOTSTAGE_TARGET_LINKRESULT_H
#define BERGAMOTSTAGE_TARGET_LINKRESULT_H

#include "bergamotstage/node/Event.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace bergamotstage {

/// @brief Error of a statement whose link failed before the answer.
struct LinkLost {
  std::string Reason;
  bool NeverSent = false;    ///< The statement certainly did not run.
  std::uint64_t Chunks = 0;  ///< Chunks of the answer passed to the caller.
  bool Inconclusive = false; ///< No evidence of a target fault.
};

/// @brief Answer to a statement on a link, or the loss of the link.
using LinkResult = tl::expected<LinkAnswered, LinkLost>;
using LinkResultCallback = std::function<void(const LinkResult &)>;

} // namespace bergamotstage

#endif // BERGAMOTSTAGE_TARGET_LINKRESULT_H
