#ifndef BERGAMOTSTAGE_SOAK_STORESTANDIN_H
#define BERGAMOTSTAGE_SOAK_STORESTANDIN_H

#include "runtime/site/ByteStream.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bergamotstage::soak {

/// @brief A stand-in of the platform's store and of its call that promotes.
///
/// Each VM has an address of its own, so that it can be turned away alone and
/// be shown addresses of its own.
class StoreStandIn {
public:
  enum class Mode : std::uint8_t { Up, Busy, Silent, LosesAnswers };
  /// @brief Carries a promotion out; false: refused.
  using PromoteHook = std::function<bool(const std::string &Service,
                                         const std::string &Target)>;
  /// @brief The value of a row as one VM sees it.
  using ViewHook = std::function<std::string(
      unsigned Vm, const std::string &Key, const std::string &Value)>;

  StoreStandIn(asio::io_context &Io, unsigned Vms, std::uint64_t Seed);

  void onPromote(PromoteHook Hook) { m_Promote = std::move(Hook); }
  void onView(ViewHook Hook) { m_View = std::move(Hook); }
  std::string address(unsigned Vm) const;
  void setMode(unsigned Vm, Mode Chosen) { m_Doors.at(Vm).Chosen = Chosen; }
  /// @brief Writes a row as the operator or a target does.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  struct Door {
    std::unique_ptr<asio::ip::tcp::acceptor> Acceptor;
    Mode Chosen = Mode::Up;
  };
  struct Request {
    std::string Method;
    std::string Path;
    std::string Body;
    std::map<std::string, std::string> Headers;
    std::map<std::string, std::string> Query;
  };
  struct Connection;
  struct Waiting {
    std::weak_ptr<Connection> From;
    std::uint64_t Number = 0;
    std::string Table;
    std::uint64_t After = 0;
  };

  void accept(unsigned Vm);
  void answer(const std::shared_ptr<Connection> &To, const Request &Asked);
  void reply(const std::shared_ptr<Connection> &To, unsigned Status,
             const std::string &Body);
  void readTable(const std::shared_ptr<Connection> &To, const Request &Asked);
  void follow(const std::shared_ptr<Connection> &To, const Request &Asked);
  void write(const std::shared_ptr<Connection> &To, const Request &Asked);
  void promote(const std::shared_ptr<Connection> &To, const Request &Asked);
  std::string render(unsigned Vm, const std::string &Table,
                     const std::function<bool(const std::string &, const Row &)>
                         &Wanted) const;
  void wakeFollowers(const std::string &Table);

  asio::io_context &m_Io;
  std::mt19937_64 m_Random;
  std::vector<Door> m_Doors;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 1;
  std::vector<Waiting> m_Waiting;
  std::map<std::string, std::uint64_t> m_Fences;
  std::uint64_t m_LastWait = 0;
  PromoteHook m_Promote;
  ViewHook m_View;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_STORESTANDIN_H
