#include "runtime/Settings.h"

#include "runtime/Address.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <set>
#include <utility>

namespace bergamotstage::runtime {
namespace {

using Json = nlohmann::json;

/// @brief Reads members of one JSON object and collects all errors.
class MemberReader {
public:
  MemberReader(const Json &Object, std::string Path,
               std::vector<SettingsError> &Errors)
      : m_Object(Object), m_Path(std::move(Path)), m_Errors(Errors) {
    if (!m_Object.is_object())
      m_Errors.push_back({m_Path, "must be an object"});
  }

  void text(const char *Name, std::string &Out, bool Required) {
    const Json *Found = find(Name, Required);
    if (Found == nullptr)
      return;
    if (!Found->is_string())
      return addError(Name, "must be a string");
    Out = Found->get<std::string>();
    if (Required && Out.empty())
      addError(Name, "must not be empty");
  }

  void address(const char *Name, std::string &Out) {
    text(Name, Out, true);
    if (!Out.empty() && !parseEndpoint(Out))
      addError(Name,
               "must be an IP address and a port, such as 127.0.0.1:6432");
  }

  void choice(const char *Name, std::string &Out,
              const std::set<std::string> &Allowed) {
    text(Name, Out, false);
    if (Allowed.count(Out) == 0)
      addError(Name, "is not one of the allowed values");
  }

  void count(const char *Name, unsigned &Out, unsigned Min, unsigned Max) {
    const Json *Found = find(Name, false);
    if (Found == nullptr)
      return;
    bool InRange = Found->is_number_unsigned() &&
                   Found->get<std::uint64_t>() >= Min &&
                   Found->get<std::uint64_t>() <= Max;
    if (!InRange)
      return addError(Name, "must be a whole number from " +
                                std::to_string(Min) + " to " +
                                std::to_string(Max));
    Out = Found->get<unsigned>();
  }

  void duration(const char *Name, Duration &Out, Duration Min, Duration Max) {
    const Json *Found = find(Name, false);
    if (Found == nullptr)
      return;
    if (!Found->is_string())
      return addError(Name, "must be a duration such as \"500ms\"");
    auto Parsed = parseDuration(Found->get<std::string>());
    if (!Parsed)
      return addError(Name, "must be a duration such as \"500ms\"");
    if (*Parsed < Min || *Parsed > Max)
      return addError(Name, "must be from " + formatMilliseconds(Min) +
                                "ms to " + formatMilliseconds(Max) + "ms");
    Out = *Parsed;
  }

  void object(const char *Name, bool Required,
              const std::function<void(MemberReader &)> &Read) {
    const Json *Found = find(Name, Required);
    if (Found == nullptr)
      return;
    MemberReader Inner(*Found, join(Name), m_Errors);
    Read(Inner);
    Inner.rejectUnknown();
  }

  /// @brief Adds an error for every member that was not read.
  void rejectUnknown() {
    if (!m_Object.is_object())
      return;
    for (const auto &[Name, Value] : m_Object.items())
      if (m_ReadNames.count(Name) == 0)
        addError(Name.c_str(), "is not a known setting");
  }

private:
  const Json *find(const char *Name, bool Required) {
    m_ReadNames.insert(Name);
    if (!m_Object.is_object())
      return nullptr;
    auto Found = m_Object.find(Name);
    if (Found != m_Object.end())
      return &*Found;
    if (Required)
      addError(Name, "is missing");
    return nullptr;
  }

  void addError(const char *Name, std::string Reason) {
    m_Errors.push_back({join(Name), std::move(Reason)});
  }

  std::string join(const char *Name) const {
    return m_Path.empty() ? Name : m_Path + "." + Name;
  }

  const Json &m_Object;
  std::string m_Path;
  std::vector<SettingsError> &m_Errors;
  std::set<std::string> m_ReadNames;
};

void readTimeouts(MemberReader &Members, NodeSettings &Out) {
  Members.duration("statement", Out.StatementTimeout, milliseconds(10),
                   seconds(3600));
  Members.duration("confirm", Out.ConfirmTimeout, milliseconds(10),
                   seconds(60));
  Members.duration("platform", Out.PlatformTimeout, milliseconds(10),
                   seconds(60));
  Members.duration("drain", Out.DrainTimeout, milliseconds(10), seconds(3600));
}

void readIntervals(MemberReader &Members, NodeSettings &Out) {
  Members.duration("rules", Out.RulesPollInterval, milliseconds(100),
                   seconds(60));
  Members.duration("groups", Out.GroupsPollInterval, milliseconds(10),
                   seconds(60));
}

void readLimits(MemberReader &Members, CallerLimits &Out) {
  constexpr unsigned MaxCallerConnections = 1000000;
  Members.count("connections", Out.MaxConnections, 1, MaxCallerConnections);
  Members.duration("login", Out.Login, milliseconds(100), seconds(600));
  Members.duration("idle", Out.Idle, seconds(1), seconds(604800));
  Members.duration("idle_in_transaction", Out.IdleInTransaction,
                   milliseconds(100), seconds(3600));
  Members.duration("write_stall", Out.WriteStall, milliseconds(100),
                   seconds(600));
}

void readCallerTls(MemberReader &Members, Settings &Out) {
  std::string Mode = "required";
  Members.choice("mode", Mode, {"allowed", "required"});
  Out.CallerTls = Mode == "allowed" ? TlsMode::Allowed : TlsMode::Required;
  Members.text("certificate", Out.CallerFiles.Certificate, true);
  Members.text("key", Out.CallerFiles.Key, true);
}

void readMutualTls(MemberReader &Members, std::optional<TlsFiles> &Out) {
  TlsFiles Files;
  Members.text("certificate", Files.Certificate, true);
  Members.text("key", Files.Key, true);
  Members.text("authority", Files.Authority, true);
  Out = std::move(Files);
}

} // namespace

tl::expected<Settings, std::vector<SettingsError>>
parseSettings(const std::string &Text) {
  std::vector<SettingsError> Errors;
  Json Root = Json::parse(Text, nullptr, false);
  if (Root.is_discarded()) {
    Errors.push_back({"", "is not JSON"});
    return tl::make_unexpected(std::move(Errors));
  }
  Settings Out;
  std::string Vm;
  std::string DataCentre;
  MemberReader Members(Root, "", Errors);
  Members.text("vm", Vm, true);
  Members.text("data_centre", DataCentre, true);
  Members.address("listen", Out.ListenAddress);
  Members.address("peer_address", Out.Node.PeerAddress);
  Members.address("platform", Out.PlatformAddress);
  Members.text("token_secret", Out.Node.TokenSecret, true);
  Members.text("target_user", Out.Target.User, true);
  Members.text("target_password", Out.Target.Password, false);
  Members.choice("log_level", Out.LogLevel,
                 {"debug", "info", "warning", "error"});
  Members.count("max_callers", Out.Node.MaxCallers, 1, 1000000);
  Members.object("timeouts", false,
                 [&](MemberReader &Inner) { readTimeouts(Inner, Out.Node); });
  Members.object("limits", false,
                 [&](MemberReader &Inner) { readLimits(Inner, Out.Limits); });
  Members.object("caller_tls", false,
                 [&](MemberReader &Inner) { readCallerTls(Inner, Out); });
  Members.object("peer_tls", false, [&](MemberReader &Inner) {
    readMutualTls(Inner, Out.PeerTls);
  });
  Members.object("platform_tls", false, [&](MemberReader &Inner) {
    readMutualTls(Inner, Out.PlatformTls);
  });
  Members.object("intervals", false,
                 [&](MemberReader &Inner) { readIntervals(Inner, Out.Node); });
  Members.rejectUnknown();
  Out.Node.Vm = VmId(Vm);
  Out.Node.DataCentre = DataCentreId(DataCentre);
  if (!Errors.empty())
    return tl::make_unexpected(std::move(Errors));
  return Out;
}

} // namespace bergamotstage::runtime
