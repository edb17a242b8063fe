#include "bench/Bench.h"
#include "cli/Commands.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace bergamotstage::cli {
namespace {

void printRow(const bench::BenchRow &Row) {
  std::printf("%-28s %-52s %14.3f %s\n", Row.Figure.c_str(),
              Row.Variant.c_str(), Row.Value, Row.Unit.c_str());
}

nlohmann::json toJson(const bench::BenchRow &Row) {
  return {{"figure", Row.Figure},
          {"variant", Row.Variant},
          {"value", Row.Value},
          {"unit", Row.Unit}};
}

bool isBenchCase(const std::string &Name) {
  const auto &Cases = bench::benchCases();
  return std::any_of(
      Cases.begin(), Cases.end(),
      [&Name](const bench::BenchCase &Case) { return Name == Case.Name; });
}

std::string benchCaseNames() {
  std::string Names;
  for (const bench::BenchCase &Case : bench::benchCases())
    Names += (Names.empty() ? "" : " ") + std::string(Case.Name);
  return Names;
}

int runBench(const std::vector<std::string> &Names,
             const std::string &JsonFile) {
  for (const std::string &Name : Names)
    if (!isBenchCase(Name)) {
      std::cerr << "bench: no benchmark is named \"" << Name
                << "\"; known: " << benchCaseNames() << "\n";
      return ExitUsage;
    }
  nlohmann::json Figures = nlohmann::json::array();
  for (const bench::BenchCase &Case : bench::benchCases()) {
    bool Selected = Names.empty();
    for (const std::string &Name : Names)
      Selected = Selected || Name == Case.Name;
    if (!Selected)
      continue;
    for (const bench::BenchRow &Row : Case.Run()) {
      printRow(Row);
      Figures.push_back(toJson(Row));
    }
    std::fflush(stdout);
  }
  if (JsonFile.empty())
    return ExitSuccess;
  std::ofstream Out(JsonFile);
  Out << Figures.dump(2) << "\n";
  return Out ? ExitSuccess : ExitFailure;
}

} // namespace

void addBench(CLI::App &App, int &Code) {
  auto Names = std::make_shared<std::vector<std::string>>();
  auto JsonFile = std::make_shared<std::string>();
  CLI::App *Command =
      App.add_subcommand("bench", "Run benchmarks and print their results.");
  Command->add_option("names", *Names,
                      "Benchmarks to run; all if none is named.");
  Command->add_option("--json", *JsonFile,
                      "Write the figures to this file as JSON.");
  Command->callback(
      [Names, JsonFile, &Code] { Code = runBench(*Names, *JsonFile); });
}

} // namespace bergamotstage::cli
