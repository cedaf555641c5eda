#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "cases.h"

// review-case NAME RECORD: runs one case and writes its record. Exits with 1 if
// a rule was broken, with 0 if all held, with 2 if the case could not run.

namespace review {
namespace {

World* the_world = nullptr;

}  // namespace

World& TheWorld() {
  return *the_world;
}

}  // namespace review

int main(int argc, char** argv) {
  using Case = void (*)(bool);
  const std::map<std::string, Case> cases{
      {"restart_under_id", review::RestartUnderId},
      {"stop_during_cancel", review::StopDuringCancel},
      {"many_occurrences", review::ManyOccurrences},
      {"start_without_config", review::StartWithoutConfig},
      {"kill_during_timed_job", review::KillDuringTimedJob},
      {"stop_during_timed_job", review::StopDuringTimedJob},
      {"rejected_during_submit", review::RejectedDuringSubmit},
      {"outage_with_lapse", review::OutageWithLapse},
      {"stray_get", review::StrayGet},
      {"late_upkeep", review::LateUpkeep}};
  if (argc != 3 || !cases.contains(argv[1]) ||
      access("target/kch-fleet", X_OK) != 0) {
    std::cerr << "usage: review-case NAME RECORD, in the repository, after "
                 "its build\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  // Children end with this process (PR_SET_PDEATHSIG).
  signal(SIGALRM, [](int) { _exit(2); });
  alarm(115);
  const char* const value = std::getenv("TROUBLE");
  const bool trouble = value == nullptr || std::string(value) != "0";
  int status = 0;
  try {
    review::World world;
    review::the_world = &world;
    try {
      cases.at(argv[1])(trouble);
      status = world.breaches().empty() ? 0 : 1;
    } catch (const review::SetupFailed& error) {
      world.Note(std::string("the case could not run: ") + error.what());
      std::cerr << error.what() << "\n";
      status = 2;
    }
    for (const std::string& line : world.breaches()) {
      std::cout << line << "\n";
    }
    world.Note("exit " + std::to_string(status));
    world.WriteRecord(argv[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  std::cout << (status == 0 ? "held" : status == 1 ? "broken" : "not run")
            << "\n";
  return status;
}
