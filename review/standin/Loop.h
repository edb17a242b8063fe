// A small poll loop with timers, for the stand-ins of the review's scripts.
#ifndef REVIEW_STANDIN_LOOP_H
#define REVIEW_STANDIN_LOOP_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// @brief Milliseconds since the start of the scenario.
inline double nowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

class Loop;

/// @brief A TCP connection with buffered output.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  std::function<void(const std::string &)> OnData;
  std::function<void(const std::string &Reason)> OnEnd;

  Connection(Loop &Owner, int Socket) : m_Loop(Owner), m_Socket(Socket) {}
  ~Connection() { close(); }

  void send(const std::string &Bytes) {
    if (m_Socket < 0)
      return;
    m_Output += Bytes;
    flush();
  }
  bool isOpen() const { return m_Socket >= 0; }
  /// @brief Closes without calling OnEnd.
  void close();

private:
  friend class Loop;
  void flush() {
    while (!m_Output.empty()) {
      ssize_t Count =
          ::send(m_Socket, m_Output.data(), m_Output.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return;
      m_Output.erase(0, static_cast<std::size_t>(Count));
    }
  }
  void end(const std::string &Reason) {
    auto Self = shared_from_this();
    auto Callback = std::move(OnEnd);
    close();
    if (Callback)
      Callback(Reason);
  }
  void read() {
    auto Self = shared_from_this();
    char Buffer[65536];
    while (m_Socket >= 0) {
      ssize_t Count = ::recv(m_Socket, Buffer, sizeof(Buffer), 0);
      if (Count > 0) {
        if (OnData)
          OnData(std::string(Buffer, static_cast<std::size_t>(Count)));
        continue;
      }
      if (Count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      return end(Count == 0 ? "closed by the peer" : "reset");
    }
  }

  Loop &m_Loop;
  int m_Socket;
  std::string m_Output;
};

using ConnectionPtr = std::shared_ptr<Connection>;

class Loop {
public:
  using Task = std::function<void()>;

  Loop() = default;
  ~Loop() {
    for (const auto &[Socket, Entry] : m_Listeners)
      ::close(Socket);
    for (const auto &[Socket, Entry] : std::exchange(m_Connections, {}))
      Entry->close();
  }
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  void after(double Ms, Task Callback) {
    m_Timers.emplace(nowMs() + Ms, std::move(Callback));
  }

  /// @brief Listens; port 0 takes a free one. Returns the port, or 0.
  int listen(const std::string &Ip, int Port,
             std::function<void(ConnectionPtr)> OnAccept) {
    int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    int One = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
    sockaddr_in Address = endpoint(Ip, Port);
    if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
            0 ||
        ::listen(Socket, 256) != 0) {
      ::close(Socket);
      return 0;
    }
    socklen_t Size = sizeof(Address);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    int Bound = ntohs(Address.sin_port);
    m_Listeners[Socket] = {std::move(OnAccept), Ip + ":" + std::to_string(Bound)};
    return Bound;
  }

  void stopListening(const std::string &Address) {
    for (auto Next = m_Listeners.begin(); Next != m_Listeners.end();)
      if (Next->second.second == Address) {
        ::close(Next->first);
        Next = m_Listeners.erase(Next);
      } else {
        ++Next;
      }
  }

  ConnectionPtr connect(const std::string &Ip, int Port) {
    int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Address = endpoint(Ip, Port);
    ::connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    return adopt(Socket);
  }

  void stop() { m_Stopped = true; }

  void run() {
    while (!m_Stopped) {
      runTimers();
      if (m_Stopped)
        return;
      std::vector<pollfd> Polled;
      for (const auto &[Socket, Entry] : m_Listeners)
        Polled.push_back({Socket, POLLIN, 0});
      std::size_t Listeners = Polled.size();
      std::vector<ConnectionPtr> Open;
      for (const auto &[Socket, Entry] : m_Connections) {
        short Events = POLLIN;
        if (!Entry->m_Output.empty())
          Events |= POLLOUT;
        Polled.push_back({Socket, Events, 0});
        Open.push_back(Entry);
      }
      double Wait = m_Timers.empty() ? 50 : m_Timers.begin()->first - nowMs();
      int Timeout = Wait < 0 ? 0 : Wait > 50 ? 50 : static_cast<int>(Wait + 0.5);
      ::poll(Polled.data(), Polled.size(), Timeout);
      for (std::size_t Index = 0; Index < Listeners; ++Index)
        if (Polled[Index].revents != 0)
          accept(Polled[Index].fd);
      for (std::size_t Index = 0; Index < Open.size(); ++Index) {
        short Events = Polled[Listeners + Index].revents;
        if (Open[Index]->m_Socket < 0 || Events == 0)
          continue;
        if ((Events & POLLOUT) != 0)
          Open[Index]->flush();
        if ((Events & (POLLIN | POLLERR | POLLHUP)) != 0)
          Open[Index]->read();
      }
    }
  }

private:
  friend class Connection;

  static sockaddr_in endpoint(const std::string &Ip, int Port) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    return Address;
  }
  ConnectionPtr adopt(int Socket) {
    int One = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    auto Created = std::make_shared<Connection>(*this, Socket);
    m_Connections[Socket] = Created;
    return Created;
  }
  void accept(int Listener) {
    while (true) {
      auto Found = m_Listeners.find(Listener);
      if (Found == m_Listeners.end())
        return;
      int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK);
      if (Socket < 0)
        return;
      Found->second.first(adopt(Socket));
    }
  }
  void runTimers() {
    while (!m_Timers.empty() && m_Timers.begin()->first <= nowMs()) {
      Task Next = std::move(m_Timers.begin()->second);
      m_Timers.erase(m_Timers.begin());
      Next();
      if (m_Stopped)
        return;
    }
  }

  std::multimap<double, Task> m_Timers;
  std::map<int,
           std::pair<std::function<void(ConnectionPtr)>, std::string>>
      m_Listeners;
  std::map<int, ConnectionPtr> m_Connections;
  bool m_Stopped = false;
};

inline void Connection::close() {
  if (m_Socket < 0)
    return;
  ::close(m_Socket);
  m_Loop.m_Connections.erase(std::exchange(m_Socket, -1));
}

/// @brief Splits input at CR LF.
class Lines {
public:
  std::vector<std::string> add(const std::string &Bytes) {
    m_Rest += Bytes;
    std::vector<std::string> Found;
    std::size_t End = 0;
    while ((End = m_Rest.find("\r\n")) != std::string::npos) {
      Found.push_back(m_Rest.substr(0, End));
      m_Rest.erase(0, End + 2);
    }
    return Found;
  }

private:
  std::string m_Rest;
};

/// @brief Removes and returns the first word.
inline std::string takeWord(std::string &Text) {
  std::size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text = Blank == std::string::npos ? std::string() : Text.substr(Blank + 1);
  return Word;
}

} // namespace review

#endif // REVIEW_STANDIN_LOOP_H
