#include "bergamotstage/core/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace bergamotstage::detail {

void reportBrokenInvariant(const char *Description, const char *File,
                           int Line) {
  std::fprintf(stderr, "broken invariant: %s (%s:%d)\n", Description, File,
               Line);
  std::abort();
}

} // namespace bergamotstage::detail
