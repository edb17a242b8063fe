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

/// @brief A stand-in for the platform's store and its promotion call. Each VM
/// has its own address, so that faults and row values can differ per VM.
class StoreStandIn {
public:
  enum class Mode : std::uint8_t { Up, Busy, Silent, LoseReplies };
  /// @brief Promotes a target; returns false if it is refused.
  using PromoteHook = std::function<bool(const std::string &Service,
                                         const std::string &Target)>;
  /// @brief Returns the value of a row of the table "servers" as one VM sees
  /// it.
  using ViewHook = std::function<std::string(
      unsigned Vm, const std::string &Key, const std::string &Value)>;

  StoreStandIn(asio::io_context &Io, unsigned Vms, std::uint64_t Seed);

  void onPromote(PromoteHook Hook) { m_Promote = std::move(Hook); }
  void onView(ViewHook Hook) { m_View = std::move(Hook); }
  std::string address(unsigned Vm) const;
  void setMode(unsigned Vm, Mode NewMode) {
    m_Ports.at(Vm).CurrentMode = NewMode;
  }
  /// @brief Writes a row without a precondition.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  /// @brief Removes a row without a precondition.
  void remove(const std::string &Table, const std::string &Key);

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  struct Port {
    std::unique_ptr<asio::ip::tcp::acceptor> Acceptor;
    Mode CurrentMode = Mode::Up;
  };
  struct Request {
    std::string Method;
    std::string Path;
    std::string Body;
    std::map<std::string, std::string> Headers;
    std::map<std::string, std::string> Query;
  };
  struct Connection;
  struct LongPoll {
    std::weak_ptr<Connection> Peer;
    std::uint64_t Id = 0;
    std::string Table;
    std::uint64_t After = 0; ///< Later versions end the wait.
  };

  void accept(unsigned Vm);
  void handleRequest(const std::shared_ptr<Connection> &Peer,
                     const Request &Call);
  void reply(const std::shared_ptr<Connection> &Peer, unsigned Status,
             const std::string &Body);
  void readTable(const std::shared_ptr<Connection> &Peer, const Request &Call);
  void poll(const std::shared_ptr<Connection> &Peer, const Request &Call);
  void write(const std::shared_ptr<Connection> &Peer, const Request &Call);
  void promote(const std::shared_ptr<Connection> &Peer, const Request &Call);
  std::string render(unsigned Vm, const std::string &Table,
                     const std::function<bool(const std::string &, const Row &)>
                         &Filter) const;
  void completePolls(const std::string &Table);

  asio::io_context &m_Io;
  std::mt19937_64 m_Random;
  std::vector<Port> m_Ports;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 1;
  std::vector<LongPoll> m_Polls;
  std::map<std::string, std::uint64_t> m_FencingTokens;
  std::uint64_t m_LastPoll = 0;
  PromoteHook m_Promote;
  ViewHook m_View;
};

} // namespace bergamotstage::soak

#endif // BERGAMOTSTAGE_SOAK_STORESTANDIN_H
