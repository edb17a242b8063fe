#include "bergamotstage/account/KeyCheck.h"
#include "bergamotstage/core/Parse.h"
#include "cli/Commands.h"

#include <openssl/rand.h>

#include <iostream>
#include <memory>

namespace bergamotstage::cli {
namespace {

std::string randomHex(std::size_t Bytes) {
  std::string Raw(Bytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(Raw.data()),
             static_cast<int>(Bytes));
  return toHex(Raw);
}

} // namespace

void addKeys(CLI::App &App, int &Code) {
  constexpr std::size_t SaltBytes = 8;
  constexpr std::size_t KeyBytes = 20;
  auto Account = std::make_shared<std::string>();
  auto Id = std::make_shared<std::string>();
  auto Author = std::make_shared<std::string>();
  CLI::App *Keys = App.add_subcommand("keys", "Keys of client accounts.");
  Keys->require_subcommand(1);
  CLI::App *Line = Keys->add_subcommand(
      "line", "Make a key and print it with its rule line.");
  Line->add_option("--account", *Account, "Client account.")->required();
  Line->add_option("--id", *Id, "Name of the key.")->required();
  Line->add_option("--author", *Author, "Who asked for it.")->required();
  Line->callback([=, &Code] {
    std::string Key = randomHex(KeyBytes);
    std::string Salt = randomHex(SaltBytes);
    std::cout << Key << "\n"
              << "key " << *Account << " " << *Id << " salt=" << Salt
              << " digest=" << keyDigest(Salt, Key).value_or("") << " # "
              << *Author << "\n";
    Code = ExitSuccess;
  });
}

} // namespace bergamotstage::cli
