#include "runtime/TextFile.h"

#include <fstream>
#include <ios>
#include <iterator>

namespace bergamotstage::runtime {

tl::expected<std::string, std::string> readTextFile(const std::string &Name) {
  std::ifstream In(Name, std::ios::binary);
  if (!In)
    return tl::make_unexpected("cannot read " + Name);
  try {
    return std::string(std::istreambuf_iterator<char>(In), {});
  } catch (const std::ios_base::failure &) {
    // The first read of a directory fails, while it can be opened.
    return tl::make_unexpected("cannot read " + Name);
  }
}

} // namespace bergamotstage::runtime
