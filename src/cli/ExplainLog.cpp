#include "bergamotstage/explain/RequestTimeline.h"
#include "cli/Commands.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace bergamotstage::cli {
namespace {

struct ExplainLogOptions {
  std::string RequestId;
  std::vector<std::string> Files;
  unsigned BeforeSeconds = 10;
  unsigned AfterSeconds = 1;
};

void readLines(std::istream &In, const std::string &Source,
               std::vector<explain::LogLine> &Lines) {
  std::string Text;
  while (std::getline(In, Text))
    if (auto Line = explain::parseLogLine(Text, Source))
      Lines.push_back(std::move(*Line));
}

int explainLog(const ExplainLogOptions &Options) {
  std::vector<explain::LogLine> Lines;
  for (const std::string &File : Options.Files) {
    if (File == "-") {
      readLines(std::cin, "stdin", Lines);
      continue;
    }
    std::ifstream In(File);
    if (!In) {
      std::cerr << "cannot read " << File << "\n";
      return ExitFailure;
    }
    readLines(In, std::filesystem::path(File).stem().string(), Lines);
  }
  explain::TimelineWindow Window{std::chrono::seconds(Options.BeforeSeconds),
                                 std::chrono::seconds(Options.AfterSeconds)};
  auto Timeline = explain::buildTimeline(Lines, Options.RequestId, Window);
  std::cout << explain::timelineText(Timeline, Options.RequestId);
  return Timeline.RequestLines.empty() ? ExitFailure : ExitSuccess;
}

} // namespace

void addExplainLog(CLI::App &App, int &Code) {
  auto Options = std::make_shared<ExplainLogOptions>();
  CLI::App *Command = App.add_subcommand(
      "explain-log", "Join the logs of several VMs by the id of a request.");
  Command->add_option("request", Options->RequestId, "Id of the request.")
      ->required();
  Command
      ->add_option("files", Options->Files,
                   "Log files: one per VM, named after it, or one of all VMs; "
                   "- reads standard input.")
      ->required();
  Command->add_option("--before", Options->BeforeSeconds,
                      "Seconds to include before the request's first line.");
  Command->add_option("--after", Options->AfterSeconds,
                      "Seconds to include after the request's last line.");
  Command->callback([Options, &Code] { Code = explainLog(*Options); });
}

} // namespace bergamotstage::cli
