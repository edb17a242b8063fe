#include "cli/Files.h"

#include <fstream>
#include <iterator>

namespace bergamotstage::cli {

tl::expected<std::string, std::string> readFile(const std::string &Name) {
  std::ifstream In(Name, std::ios::binary);
  if (!In)
    return tl::make_unexpected("cannot read " + Name);
  return std::string(std::istreambuf_iterator<char>(In), {});
}

} // namespace bergamotstage::cli
