#include "standin/StandIn.h"

#include "bergamotstage/fleet/RulesHead.h"
#include "standin/PlatformService.h"

#include <grpcpp/grpcpp.h>

#include <exception>
#include <thread>

namespace bergamotstage::standin {
namespace {

constexpr auto TickInterval = std::chrono::milliseconds(1);

void tickGroups(const std::shared_ptr<SharedPlatform> &Shared,
                asio::steady_timer &Timer) {
  for (auto &[Database, Group] : Shared->Groups) {
    std::lock_guard<std::mutex> Guard(Group->Lock);
    Group->State.tick(readClock());
  }
  Timer.expires_after(TickInterval);
  Timer.async_wait([&Timer, Shared](std::error_code Error) {
    if (!Error)
      tickGroups(Shared, Timer);
  });
}

void storeInitialRules(Store &Stored, const std::string &Text) {
  if (Text.empty())
    return;
  InitialRules Initial = initialRules(Text);
  Stored.put(Initial.Object);
  Stored.write(Initial.Head);
}

void addGroups(const StandInSettings &Settings, SharedPlatform &Shared,
               asio::io_context &Io,
               std::vector<std::unique_ptr<TargetServer>> &Servers) {
  for (const StandInGroup &GroupSettings : Settings.Groups) {
    std::vector<TargetId> Names;
    for (const StandInTarget &Target : GroupSettings.Targets)
      Names.push_back(Target.Id);
    auto Group = std::make_shared<SharedGroup>(GroupSettings.Database, Names,
                                               readClock());
    for (Group::Member &Member : Group->State.members())
      Member.Lag = milliseconds(Settings.LagMilliseconds);
    Shared.Groups[GroupSettings.Database] = Group;
    for (const StandInTarget &Target : GroupSettings.Targets)
      Servers.push_back(
          std::make_unique<TargetServer>(Io, Group, Target.Id, Target.Port));
  }
}

} // namespace

tl::expected<void, std::string> runStandIn(const StandInSettings &Settings,
                                           const std::function<void()> &Wait) {
  auto Shared = std::make_shared<SharedPlatform>();
  Shared->Vms = Settings.Vms;
  storeInitialRules(Shared->Stored, Settings.RulesText);
  asio::io_context Io;
  std::vector<std::unique_ptr<TargetServer>> Servers;
  try {
    addGroups(Settings, *Shared, Io, Servers);
  } catch (const std::exception &Error) {
    return tl::make_unexpected(std::string(Error.what()));
  }
  asio::steady_timer Ticker(Io);
  tickGroups(Shared, Ticker);
  PlatformService Platform(Shared);
  FaultService Faults(Shared);
  grpc::ServerBuilder Builder;
  Builder.AddListeningPort(Settings.ListenAddress,
                           grpc::InsecureServerCredentials());
  Builder.RegisterService(&Platform);
  Builder.RegisterService(&Faults);
  std::unique_ptr<grpc::Server> Server = Builder.BuildAndStart();
  if (!Server)
    return tl::make_unexpected("cannot listen on " + Settings.ListenAddress);
  std::thread IoThread([&Io] { Io.run(); });
  Wait();
  Server->Shutdown(std::chrono::system_clock::now());
  Io.stop();
  IoThread.join();
  return {};
}

} // namespace bergamotstage::standin
