#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>

#include "review/standin-2/cases.h"

// harness CASE FOLDER PROGRAM: plays a case, writes FOLDER/record.txt. Exits
// with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int main(int argc, char** argv) {
  using review::Setting;
  const std::map<std::string, std::function<int(Setting&)>> cases{
      {"ends", review::PlayEnds},
      {"claim", review::PlayClaim},
      {"eject", review::PlayEject},
      {"late", review::PlayLate},
  };
  if (argc != 4 || !cases.contains(argv[1])) {
    std::cerr << "usage: harness CASE FOLDER PROGRAM\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const std::string folder = argv[2];
  char pattern[] = "/tmp/review-2-XXXXXX";
  const char* logs = mkdtemp(pattern);
  if (logs == nullptr) {
    return 2;
  }
  int result = 2;
  try {
    review::Record record(folder + "/record.txt");
    Setting setting{.program = argv[3],
                    .logs = logs,
                    .trouble = trouble == nullptr || std::string(trouble) != "0",
                    .record = record};
    result = cases.at(argv[1])(setting);
    record.Line("result: exit " + std::to_string(result));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    result = 2;
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(logs);
  } else {
    std::cerr << "logs in " << logs << "\n";
  }
  std::cout << "exit " << result << std::endl;
  std::_Exit(result);
}
