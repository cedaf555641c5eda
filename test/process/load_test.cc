#include <sys/wait.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>

#include "test/process/callers.h"

namespace kch::test {
namespace {

using nlohmann::json;

// Guards against wrong outcomes under overload: kch-load compares each answer
// with what the workers did.
BOOST_AUTO_TEST_CASE(LoadAboveCapacityReconciles) {
  Fleet fleet({.targets = 3, .task_lease_ms = 2000});
  fleet.FaultTarget(0, {{"fail", 60}});
  fleet.FaultTarget(1, {{"half", 20}});
  std::string entries;
  std::string workers;
  for (std::size_t i = 0; i < 3; ++i) {
    const std::string comma = i == 0 ? "" : ",";
    entries += comma + fleet.entry_address(i);
    workers += comma + fleet.control_address(i);
  }
  // 24 slots of 200 ms make 120 requests per second.
  const std::string output = (fleet.folder() / "load.out").string();
  const pid_t pid = Spawn(
      {BinaryPath("kch-load"), "--entries=" + entries, "--workers=" + workers,
       "--keys=blue=blue.secret,red=red.secret", "--queues=work", "--rate=200",
       "--run-ms=200", "--duration-ms=6000", "--deadline-ms=1500",
       "--unrepeatable-percent=40", "--timeout-ms=40000", "--seed=7"},
      output);
  int status = 0;
  try {
    // A restart in the middle loses tasks, whose outcome nobody can know.
    fleet.WaitFor("work on the target to restart", [&] {
      const std::vector<Event> events = fleet.Events();
      return std::ranges::count_if(events, [](const Event& event) {
               return event.start && event.target == 2;
             }) >= 30;
    });
    fleet.FaultTarget(2, {{"crash_ms", 300}});
    fleet.WaitFor("the end of kch-load",
                  [&] { return waitpid(pid, &status, WNOHANG) == pid; });
  } catch (...) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    throw;
  }
  const json report = json::parse(std::ifstream(output));
  BOOST_TEST_MESSAGE(report.dump(1));
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
  BOOST_TEST(report["ok"].get<bool>());
  BOOST_TEST(report["reconciled"].get<bool>());
  for (const std::string outcome : {"done", "failed", "not_run", "unknown"}) {
    BOOST_TEST(report["outcomes"][outcome].get<int>() > 0, "no " << outcome);
  }
}

}  // namespace
}  // namespace kch::test
