#ifndef BERGAMOTSTAGE_EXAMPLES_SUPPORT_GOLDENSESSION_H
#define BERGAMOTSTAGE_EXAMPLES_SUPPORT_GOLDENSESSION_H

#include "standin/Deployments.h"

#include <iostream>
#include <string>

namespace bergamotstage::examples {

/// @brief A caller that prints its statements, results and routing decisions.
class GoldenSession {
public:
  /// @param Label printed before each statement
  GoldenSession(standin::LoopbackFleet &Fleet, std::string Label,
                const std::string &Vm, CallerOpened Opening)
      : m_Fleet(Fleet), m_Label(std::move(Label)) {
    Opening.Settings["bergamotstage.explain"] = "on";
    m_Caller = &Fleet.connect(VmId(Vm), std::move(Opening));
    Fleet.runUntil(Fleet.now() + milliseconds(2));
    std::cout << m_Label << " connects to " << Vm << ": "
              << (m_Caller->Admitted ? "admitted" : "refused") << "\n";
  }

  /// @brief Runs one statement and prints its result.
  void run(const std::string &Text) {
    bool Answered = false;
    Instant SentAt = m_Fleet.now();
    m_Caller->OnAnswer = [&](const AnswerStatement &Answer, const auto &Rows) {
      Answered = true;
      print(Text, Answer, Rows, m_Fleet.now() - SentAt);
    };
    m_Fleet.send(*m_Caller, Text);
    while (!Answered && !m_Caller->Closed &&
           m_Fleet.now() - SentAt < seconds(20))
      m_Fleet.runUntil(m_Fleet.now() + milliseconds(1));
    if (!Answered)
      std::cout << m_Label << " > " << Text << "\n    connection closed\n";
  }

  const std::string &token() const { return m_Caller->Token; }
  bool succeeded() const { return m_Succeeded; }

private:
  void print(const std::string &Text, const AnswerStatement &Answer,
             const std::vector<std::vector<std::string>> &Rows,
             Duration Elapsed) {
    m_Succeeded = !Answer.Error;
    std::cout << m_Label << " > " << Text << "\n    ";
    if (Answer.Error)
      std::cout << Answer.Error->SqlState << " " << Answer.Error->Message
                << " (" << runStateName(Answer.Error->State) << ")";
    else
      std::cout << Answer.Tag;
    std::cout << " after " << toMilliseconds(Elapsed) << " ms\n";
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
  std::string m_Label;
  standin::LoopbackCaller *m_Caller = nullptr;
  bool m_Succeeded = false;
};

/// @brief Isolates a target from all VMs, the platform and its group.
inline void isolateTarget(standin::LoopbackFleet &Fleet,
                          const std::string &Database,
                          const std::string &Target) {
  Fleet.group(DatabaseId(Database)).find(TargetId(Target))->Cut = true;
  std::string Isolated = "target:" + Target;
  Fleet.Blocked = [Isolated](const std::string &From, const std::string &To) {
    return From == Isolated || To == Isolated;
  };
  std::cout << "-- " << Target << " is cut off\n";
}

} // namespace bergamotstage::examples

#endif // BERGAMOTSTAGE_EXAMPLES_SUPPORT_GOLDENSESSION_H
