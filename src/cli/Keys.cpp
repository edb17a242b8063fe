#include "bergamotstage/account/KeyCheck.h"
#include "bergamotstage/core/Parse.h"
#include "bergamotstage/rules/RuleLine.h"
#include "cli/Commands.h"
#include "cli/Edit.h"

#include <openssl/rand.h>

#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

namespace bergamotstage::cli {
namespace {

std::string randomHex(std::size_t Bytes) {
  std::string Raw(Bytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char *>(Raw.data()),
             static_cast<int>(Bytes));
  return toHex(Raw);
}

struct KeyOptions {
  std::string Vm;
  std::string Account;
  std::string Id;
  std::string Author;
  std::string EditId;
};

/// @brief A new key and its line of the rules.
struct IssuedKey {
  std::string Key;
  std::string Line;
};

IssuedKey makeKey(const KeyOptions &Options) {
  constexpr std::size_t SaltBytes = 8;
  constexpr std::size_t KeyBytes = 20;
  std::string Key = randomHex(KeyBytes);
  std::string Salt = randomHex(SaltBytes);
  std::string Digest = keyDigest(Salt, Key).value_or("");
  return {Key, "key " + Options.Account + " " + Options.Id + " salt=" + Salt +
                   " digest=" + Digest + " # " + Options.Author + "\n"};
}

/// @brief The text without the line of a key, or nothing if it has none.
std::optional<std::string> withoutKey(const std::string &Text,
                                      const KeyOptions &Options) {
  std::istringstream In(Text);
  std::string Kept;
  std::string Line;
  bool Found = false;
  for (unsigned Number = 1; std::getline(In, Line); ++Number) {
    auto Rule = parseRuleLine(Number, Line);
    bool Match = Rule && Rule->Kind == "key" && Rule->Words.size() == 2 &&
                 Rule->Words[0] == Options.Account &&
                 Rule->Words[1] == Options.Id;
    Found = Found || Match;
    if (!Match)
      Kept += Line + "\n";
  }
  if (!Found)
    return std::nullopt;
  return Kept;
}

int issue(const KeyOptions &Options) {
  auto Rules = readRules(Options.Vm);
  if (!Rules) {
    std::cerr << Rules.error() << "\n";
    return ExitFailure;
  }
  IssuedKey Made = makeKey(Options);
  bool Ended = Rules->Text.empty() || Rules->Text.back() == '\n';
  std::string Text = Rules->Text + (Ended ? "" : "\n") + Made.Line;
  // Shown before the outcome, which may be lost after it took effect.
  std::cout << Made.Key << "\n" << std::flush;
  return applyEdit(Options.Vm, {Rules->Number, "", Text});
}

int withdraw(const KeyOptions &Options) {
  auto Rules = readRules(Options.Vm);
  if (!Rules) {
    std::cerr << Rules.error() << "\n";
    return ExitFailure;
  }
  auto Text = withoutKey(Rules->Text, Options);
  if (!Text) {
    std::cerr << "refused: revision " << Rules->Number << " has no such key\n";
    return ExitInvalid;
  }
  return applyEdit(Options.Vm, {Rules->Number, Options.EditId, *Text});
}

CLI::App *addKeyCommand(CLI::App &Keys, const std::string &Name,
                        const std::string &Purpose, KeyOptions &Options) {
  CLI::App *Command = Keys.add_subcommand(Name, Purpose);
  Command->add_option("--account", Options.Account, "Client account.")
      ->required();
  Command->add_option("--id", Options.Id, "Name of the key.")->required();
  return Command;
}

void addVm(CLI::App &Command, KeyOptions &Options) {
  Command.add_option("--vm", Options.Vm, "Peer address of any VM.")->required();
}

void addAuthor(CLI::App &Command, KeyOptions &Options) {
  Command.add_option("--author", Options.Author, "Who asked for it.")
      ->required();
}

} // namespace

void addKeys(CLI::App &App, int &Code) {
  auto Options = std::make_shared<KeyOptions>();
  CLI::App *Keys = App.add_subcommand("keys", "Keys of client accounts.");
  Keys->require_subcommand(1);
  Keys->footer("Example:\n  bergamotstage keys issue --vm 127.0.0.1:7101 "
               "--account ward-1 --id desk-2 --author 'Ward 1 office'");
  CLI::App *Line = addKeyCommand(
      *Keys, "line", "Make a key and print it with its rule line.", *Options);
  addAuthor(*Line, *Options);
  Line->callback([Options, &Code] {
    IssuedKey Made = makeKey(*Options);
    std::cout << Made.Key << "\n" << Made.Line;
    Code = ExitSuccess;
  });
  CLI::App *Issue = addKeyCommand(
      *Keys, "issue", "Make a key, put its rule in force, print it.", *Options);
  addAuthor(*Issue, *Options);
  addVm(*Issue, *Options);
  Issue->callback([Options, &Code] { Code = issue(*Options); });
  CLI::App *Withdraw = addKeyCommand(
      *Keys, "withdraw", "Take a key's rule out of force.", *Options);
  addVm(*Withdraw, *Options);
  Withdraw->add_option("--edit-id", Options->EditId,
                       "Repeat of an edit whose answer was lost.");
  Withdraw->callback([Options, &Code] { Code = withdraw(*Options); });
}

} // namespace bergamotstage::cli
