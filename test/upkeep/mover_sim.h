#ifndef TEST_UPKEEP_MOVER_SIM_H_
#define TEST_UPKEEP_MOVER_SIM_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "test/jobs/fleet_sim.h"
#include "upkeep/upkeep.h"

namespace kch::upkeep::test {

// Scheduler, forecast and mover together, in virtual time. Machines of the pool
// "standby" are powered off.
class MoverSim {
 public:
  using States = std::map<PoolId, FleetForecast::PoolState>;
  using Demands = std::map<PoolId, PoolDemand>;
  static constexpr jobs::Resources kMachineSize{8000, 100'000, 0};
  static constexpr std::int64_t kTickMs = 25;

  MoverSim();

  void AddPool(const std::string& name, bool standby);
  // Labels beside the kind of all machines.
  void AddMachine(const std::string& name,
                  const PoolId& pool,
                  const std::set<std::string>& labels = {});
  // Advances the time by a tick.
  void Tick();
  void Run(std::int64_t ms);
  // Another process owns the fleet from now on.
  void Takeover();
  // The VM of a machine is gone for good.
  void LoseVm(const std::string& machine);

  jobs::test::FleetSim sim;
  MachineList machines;
  // Changes the demand before the mover gets it.
  std::function<void(const States&, Demands&)> adjust;
  std::size_t move_count = 0;
  std::int64_t pool_ms = 0;  // of machines outside of the standby pool

 private:
  void Move(const OrderMove& order);

  Mover mover{MoveLimits{}};
  FleetForecast forecast{MoveLimits{}.move_duration, this->sim.now};
  std::vector<std::pair<Time, OrderMove>> arrivals;
  int vm_count = 0;
};

}  // namespace kch::upkeep::test

#endif  // TEST_UPKEEP_MOVER_SIM_H_
