#include "runtime/StartupOptions.h"

#include <string_view>

namespace bergamotstage::runtime {
namespace {

constexpr std::string_view SettingPrefix = "bergamotstage.";

/// @brief Length of `-c` and of `--` before a setting.
constexpr std::size_t OptionPrefixBytes = 2;

bool isProxySetting(std::string_view Name) {
  return Name.substr(0, SettingPrefix.size()) == SettingPrefix;
}

/// @brief Extracts the next word of an `options` string; a backslash escapes
/// the next character.
std::string extractWord(std::string_view &Remaining) {
  std::string Word;
  std::size_t Start = Remaining.find_first_not_of(' ');
  Remaining.remove_prefix(Start == std::string_view::npos ? Remaining.size()
                                                          : Start);
  while (!Remaining.empty() && Remaining.front() != ' ') {
    if (Remaining.front() == '\\' && Remaining.size() > 1)
      Remaining.remove_prefix(1);
    Word += Remaining.front();
    Remaining.remove_prefix(1);
  }
  return Word;
}

void readOptions(std::string_view Remaining,
                 std::map<std::string, std::string> &Settings) {
  while (!Remaining.empty()) {
    std::string Word = extractWord(Remaining);
    bool Prefixed = Word.rfind("-c", 0) == 0 || Word.rfind("--", 0) == 0;
    if (Prefixed)
      Word.erase(0, OptionPrefixBytes);
    std::size_t Equals = Word.find('=');
    if (isProxySetting(Word) && Equals != std::string::npos)
      Settings[Word.substr(0, Equals)] = Word.substr(Equals + 1);
  }
}

} // namespace

CallerOpened parseStartup(CallerId Caller, const wire::Startup &Message) {
  auto Parameter = [&](const char *Name) {
    auto Found = Message.Parameters.find(Name);
    return Found == Message.Parameters.end() ? std::string() : Found->second;
  };
  CallerOpened Opening;
  Opening.Caller = Caller;
  Opening.Account = AccountId(Parameter("user"));
  std::string Database = Parameter("database");
  Opening.Route = RouteId(Database.empty() ? Parameter("user") : Database);
  readOptions(Parameter("options"), Opening.Settings);
  for (const auto &[Name, Value] : Message.Parameters)
    if (isProxySetting(Name))
      Opening.Settings[Name] = Value;
  return Opening;
}

} // namespace bergamotstage::runtime
