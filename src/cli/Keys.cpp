#include "bergamotstage/account/KeyCheck.h"
#include "bergamotstage/core/Parse.h"
#include "bergamotstage/rules/RuleLine.h"
#include "cli/Commands.h"
#include "cli/Edit.h"

#include <openssl/rand.h>
#include <tl/expected.hpp>

#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

namespace bergamotstage::cli {
namespace {

/// @brief Returns random bytes, or nothing if OpenSSL has no entropy.
std::optional<std::string> randomBytes(std::size_t Bytes) {
  std::string Raw(Bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Raw.data()),
                 static_cast<int>(Bytes)) != 1)
    return std::nullopt;
  return Raw;
}

struct KeyOptions {
  std::string Vm;
  std::string Account;
  std::string Id;
  std::string Author;
  std::string EditId;
};

/// @brief A new key and the rule line that allows it.
struct IssuedKey {
  std::string Key;
  std::string Line;
};

tl::expected<IssuedKey, std::string> makeKey(const KeyOptions &Options) {
  constexpr std::size_t SaltBytes = 8;
  constexpr std::size_t KeyBytes = 20;
  auto RawKey = randomBytes(KeyBytes);
  auto RawSalt = randomBytes(SaltBytes);
  if (!RawKey || !RawSalt)
    return tl::make_unexpected("key " + Options.Id + " of account " +
                               Options.Account +
                               ": no random bytes are available");
  std::string Key = toHex(*RawKey);
  std::string Salt = toHex(*RawSalt);
  auto Digest = keyDigest(Salt, Key);
  if (!Digest)
    return tl::make_unexpected("key " + Options.Id + " of account " +
                               Options.Account +
                               ": its digest was not computed");
  return IssuedKey{Key, "key " + Options.Account + " " + Options.Id +
                            " salt=" + Salt + " digest=" + *Digest + " # " +
                            Options.Author + "\n"};
}

/// @brief Removes the line of a key; returns nothing if there is no such line.
std::optional<std::string> removeKeyLine(const std::string &Text,
                                         const KeyOptions &Options) {
  std::istringstream In(Text);
  std::string Remaining;
  std::string Line;
  bool Removed = false;
  for (unsigned Number = 1; std::getline(In, Line); ++Number) {
    auto Rule = parseRuleLine(Number, Line);
    bool Match = Rule && Rule->Kind == "key" && Rule->Arguments.size() == 2 &&
                 Rule->Arguments[0] == Options.Account &&
                 Rule->Arguments[1] == Options.Id;
    Removed = Removed || Match;
    if (!Match)
      Remaining += Line + "\n";
  }
  if (!Removed)
    return std::nullopt;
  return Remaining;
}

int issueKey(const KeyOptions &Options) {
  auto Rules = readRules(Options.Vm);
  if (!Rules) {
    std::cerr << Rules.error() << "\n";
    return ExitFailure;
  }
  auto Issued = makeKey(Options);
  if (!Issued) {
    std::cerr << Issued.error() << "\n";
    return ExitFailure;
  }
  bool EndsWithNewline = Rules->Text.empty() || Rules->Text.back() == '\n';
  std::string Text = Rules->Text + (EndsWithNewline ? "" : "\n") + Issued->Line;
  // Printed first, as the edit can take effect even if its answer is lost.
  std::cout << Issued->Key << "\n" << std::flush;
  return applyEdit(Options.Vm, {Rules->Revision, "", Text});
}

int withdrawKey(const KeyOptions &Options) {
  auto Rules = readRules(Options.Vm);
  if (!Rules) {
    std::cerr << Rules.error() << "\n";
    return ExitFailure;
  }
  auto Text = removeKeyLine(Rules->Text, Options);
  if (!Text) {
    std::cerr << "refused: revision " << Rules->Revision << " has no key "
              << Options.Id << " of account " << Options.Account << "\n";
    return ExitInvalid;
  }
  return applyEdit(Options.Vm, {Rules->Revision, Options.EditId, *Text});
}

CLI::App *addKeyCommand(CLI::App &Keys, const std::string &Name,
                        const std::string &Purpose, KeyOptions &Options) {
  CLI::App *Command = Keys.add_subcommand(Name, Purpose);
  Command->add_option("--account", Options.Account, "Client account.")
      ->required();
  Command->add_option("--id", Options.Id, "Id of the key.")->required();
  return Command;
}

void addVmOption(CLI::App &Command, KeyOptions &Options) {
  Command.add_option("--vm", Options.Vm, "Peer address of any VM.")->required();
}

void addAuthorOption(CLI::App &Command, KeyOptions &Options) {
  Command.add_option("--author", Options.Author, "Author of the rule.")
      ->required();
}

} // namespace

void addKeys(CLI::App &App, int &Code) {
  auto Options = std::make_shared<KeyOptions>();
  CLI::App *Keys =
      App.add_subcommand("keys", "Manage keys of client accounts.");
  Keys->require_subcommand(1);
  Keys->footer("Example:\n  bergamotstage keys issue --vm 127.0.0.1:7101 "
               "--account ward-1 --id desk-2 --author 'Ward 1 office'");
  CLI::App *Line = addKeyCommand(
      *Keys, "line", "Create a key and print it with its rule line.", *Options);
  addAuthorOption(*Line, *Options);
  Line->callback([Options, &Code] {
    auto Issued = makeKey(*Options);
    Code = Issued ? ExitSuccess : ExitFailure;
    if (Issued)
      std::cout << Issued->Key << "\n" << Issued->Line;
    else
      std::cerr << Issued.error() << "\n";
  });
  CLI::App *Issue = addKeyCommand(
      *Keys, "issue", "Create a key, apply its rule and print the key.",
      *Options);
  addAuthorOption(*Issue, *Options);
  addVmOption(*Issue, *Options);
  Issue->callback([Options, &Code] { Code = issueKey(*Options); });
  CLI::App *Withdraw =
      addKeyCommand(*Keys, "withdraw", "Remove the rule of a key.", *Options);
  addVmOption(*Withdraw, *Options);
  Withdraw->add_option("--edit-id", Options->EditId,
                       "Edit id of an earlier attempt whose answer was lost.");
  Withdraw->callback([Options, &Code] { Code = withdrawKey(*Options); });
}

} // namespace bergamotstage::cli
