#include "runtime/TextFile.h"

#include <fstream>
#include <iterator>

namespace bergamotstage::runtime {

tl::expected<std::string, std::string> readTextFile(const std::string &Name) {
  std::ifstream In(Name, std::ios::binary);
  if (!In)
    return tl::make_unexpected("cannot read " + Name);
  return std::string(std::istreambuf_iterator<char>(In), {});
}

} // namespace bergamotstage::runtime
