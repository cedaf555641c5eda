#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "test/process/callers.h"

namespace kch::test {
namespace {

using load::Outcome;
using nlohmann::json;

// Health of a target as the pool's scheduler sees it.
json VmStatus(Fleet& fleet, std::size_t target) {
  const json status = fleet.Report(fleet.Scheduler(), "status");
  for (const json& vm : status["pools"][0]["vms"]) {
    if (vm["vm"] == "vm-" + std::to_string(target + 1)) {
      return vm;
    }
  }
  return {};
}

// Guards against a worker that fails quickly, is therefore always free, and
// draws in all work.
BOOST_AUTO_TEST_CASE(FailingWorkerIsEjected) {
  Fleet fleet({});
  fleet.FaultTarget(0, {{"fail", -1}});
  Callers callers(fleet);
  callers.Start({.team = "blue"});
  callers.Start({.team = "red"});
  fleet.WaitFor("the ejection", [&] {
    return VmStatus(fleet, 0).value("health", "") == "ejected";
  });
  const std::size_t failed = callers.Count(Outcome::kFailed);
  const std::size_t done = callers.Count(Outcome::kDone);
  callers.WaitForDone(100);
  const std::size_t more_failed = callers.Count(Outcome::kFailed) - failed;
  const std::size_t more_done = callers.Count(Outcome::kDone) - done;
  // The requests that were under way at the ejection, and the probes.
  BOOST_TEST(more_failed <= more_done / 10,
             more_failed << " failed beside " << more_done);

  fleet.FaultTarget(0, {{"clear", true}});
  fleet.WaitFor("the return of the target", [&] {
    return VmStatus(fleet, 0).value("health", "") == "serving";
  });
  callers.Stop();
  callers.Check();
}

// Guards against truncated or mismatched answers that pass for answers, and
// against callers who wait forever for a connection that died silently.
BOOST_AUTO_TEST_CASE(DamagedConnectionsGiveNoFalseAnswers) {
  Fleet fleet({.task_lease_ms = 2000, .longest_lease_ms = 3000});
  Callers callers(fleet);
  callers.Start({.team = "blue", .unrepeatable_percent = 30});
  callers.Start({.team = "red", .unrepeatable_percent = 30});
  callers.WaitForDone(10);
  fleet.FaultTarget(0, {{"half", -1}});
  fleet.FaultTarget(1, {{"freeze", true}, {"silent", true}});
  fleet.FaultTarget(2, {{"freeze", true}});
  callers.WaitForDone(100);
  fleet.FaultTarget(3, {{"freeze", true}});
  callers.WaitForDone(100);
  callers.Stop();
  callers.Check();

  const std::vector<Event> events = fleet.Events();
  const auto ends = [&](std::size_t target) {
    return std::ranges::count_if(events, [&](const Event& event) {
      return event.target == target && !event.start;
    });
  };
  BOOST_TEST(ends(0) > 0);  // the fault was met
}

}  // namespace
}  // namespace kch::test
