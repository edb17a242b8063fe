#ifndef BERGAMOTSTAGE_EXAMPLES_SUPPORT_GOLDENSESSION_H
#define BERGAMOTSTAGE_EXAMPLES_SUPPORT_GOLDENSESSION_H

#include "standin/Deployments.h"

#include <iostream>
#include <string>

namespace bergamotstage::examples {

/// @brief One caller whose statements, answers and decisions are printed.
class GoldenSession {
public:
  /// @param Who printed before each line
  GoldenSession(standin::LoopbackFleet &Fleet, std::string Who,
                const std::string &Vm, CallerOpened Opening)
      : m_Fleet(Fleet), m_Who(std::move(Who)) {
    Opening.Settings["bergamotstage.explain"] = "on";
    m_Caller = &Fleet.connect(VmId(Vm), std::move(Opening));
    Fleet.runUntil(Fleet.now() + milliseconds(2));
    std::cout << m_Who << " connects to " << Vm << ": "
              << (m_Caller->Admitted ? "admitted" : "refused") << "\n";
  }

  /// @brief Runs one statement and prints how it ended.
  void run(const std::string &Text) {
    bool Done = false;
    Instant Sent = m_Fleet.now();
    m_Caller->OnAnswer = [&](const AnswerStatement &Answer, const auto &Rows) {
      Done = true;
      print(Text, Answer, Rows, m_Fleet.now() - Sent);
    };
    m_Fleet.send(*m_Caller, Text);
    while (!Done && !m_Caller->Closed && m_Fleet.now() - Sent < seconds(20))
      m_Fleet.runUntil(m_Fleet.now() + milliseconds(1));
    if (!Done)
      std::cout << m_Who << " > " << Text << "\n    connection closed\n";
  }

  const std::string &token() const { return m_Caller->Token; }
  bool succeeded() const { return m_Succeeded; }

private:
  void print(const std::string &Text, const AnswerStatement &Answer,
             const std::vector<std::vector<std::string>> &Rows,
             Duration Took) {
    m_Succeeded = !Answer.Error;
    std::cout << m_Who << " > " << Text << "\n    ";
    if (Answer.Error)
      std::cout << Answer.Error->SqlState << " " << Answer.Error->Message
                << " (" << runStateName(Answer.Error->State) << ")";
    else
      std::cout << Answer.Tag;
    std::cout << " after " << toMilliseconds(Took) << " ms\n";
    for (const auto &Row : Rows) {
      std::cout << "   ";
      for (const std::string &Cell : Row)
        std::cout << " " << Cell;
      std::cout << "\n";
    }
    if (!Answer.Notice.empty())
      std::cout << "    " << Answer.Notice << "\n";
  }

  standin::LoopbackFleet &m_Fleet;
  std::string m_Who;
  standin::LoopbackCaller *m_Caller = nullptr;
  bool m_Succeeded = false;
};

/// @brief Cuts a target off from all VMs, the platform and its group.
inline void cutOff(standin::LoopbackFleet &Fleet, const std::string &Database,
                   const std::string &Target) {
  Fleet.group(DatabaseId(Database)).find(TargetId(Target))->Cut = true;
  std::string Party = "target:" + Target;
  Fleet.Blocked = [Party](const std::string &From, const std::string &To) {
    return From == Party || To == Party;
  };
  std::cout << "-- " << Target << " is cut off\n";
}

} // namespace bergamotstage::examples

#endif // BERGAMOTSTAGE_EXAMPLES_SUPPORT_GOLDENSESSION_H
