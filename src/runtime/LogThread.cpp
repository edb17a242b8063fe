#include "runtime/LogThread.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <utility>

namespace bergamotstage::runtime {
namespace {

constexpr std::size_t QueueCapacity = 16384;
constexpr Duration IdleInterval = milliseconds(200);

bool needsQuotes(const std::string &Value) {
  return Value.empty() ||
         Value.find_first_of(" \t\r\n\"=\\") != std::string::npos;
}

std::string quoteValue(const std::string &Value) {
  if (!needsQuotes(Value))
    return Value;
  std::string Out = "\"";
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Out += '\\';
    Out += Character == '\n' || Character == '\r' ? ' ' : Character;
  }
  return Out + "\"";
}

log4cxx::LevelPtr levelOf(const std::string &Name) {
  return log4cxx::Level::toLevel(Name == "warning" ? "warn" : Name,
                                 log4cxx::Level::getInfo());
}

log4cxx::LevelPtr levelOf(WriteLog::Level Severity) {
  switch (Severity) {
  case WriteLog::Level::Debug:
    return log4cxx::Level::getDebug();
  case WriteLog::Level::Info:
    return log4cxx::Level::getInfo();
  case WriteLog::Level::Warning:
    return log4cxx::Level::getWarn();
  case WriteLog::Level::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

} // namespace

std::string formatLogLine(const WriteLog &Entry) {
  std::string Line = "event=" + quoteValue(Entry.EventName);
  for (const auto &[Name, Value] : Entry.Pairs)
    Line += " " + Name + "=" + quoteValue(Value);
  return Line;
}

LogThread::LogThread(const std::string &Level) : m_Queue(QueueCapacity) {
  auto Layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n"));
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemOut());
  auto Root = log4cxx::Logger::getRootLogger();
  Root->removeAllAppenders();
  Root->addAppender(Appender);
  Root->setLevel(levelOf(Level));
}

LogThread::~LogThread() { stop(); }

void LogThread::start() {
  m_Thread = std::thread([this] { run(); });
}

void LogThread::stop() {
  if (!m_Thread.joinable())
    return;
  m_Stopped.store(true);
  m_WakeEvent.notify();
  m_Thread.join();
}

void LogThread::push(WriteLog &&Entry) {
  bool Urgent = Entry.Severity != WriteLog::Level::Debug;
  if (!m_Queue.push(std::move(Entry)))
    ++m_Dropped;
  else if (Urgent)
    m_WakeEvent.notify();
}

void LogThread::run() {
  while (!m_Stopped.load()) {
    drain();
    m_WakeEvent.waitUntil(steadyNow() + IdleInterval);
  }
  drain();
}

void LogThread::drain() {
  auto Logger = log4cxx::Logger::getRootLogger();
  WriteLog Next;
  while (m_Queue.pop(Next)) {
    auto Level = levelOf(Next.Severity);
    if (Logger->isEnabledFor(Level))
      Logger->log(Level, formatLogLine(Next), LOG4CXX_LOCATION);
  }
  std::uint64_t Dropped = m_Dropped.exchange(0);
  if (Dropped > 0)
    Logger->log(log4cxx::Level::getWarn(),
                "event=log_lines_dropped count=" + std::to_string(Dropped),
                LOG4CXX_LOCATION);
}

} // namespace bergamotstage::runtime
