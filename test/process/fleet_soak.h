#ifndef TEST_PROCESS_FLEET_SOAK_H_
#define TEST_PROCESS_FLEET_SOAK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "test/process/platform_fleet.h"

namespace kch::test {

/*! @brief Random faults, in series and overlapping, against whole processes of
 * kch-fleet. The stand-in checks each start; after the faults every accepted
 * job must end and every endless task must run. */
class FleetSoak {
 public:
  using Action = std::function<void(FleetSoak&, std::size_t instance)>;
  /*! @brief What a soak runs and which faults it draws from, each as often as
   * it is listed. */
  struct Profile {
    std::size_t instances = 4;
    fake::FleetPlatform::Options platform;
    std::vector<std::string> flags;  // of the instances
    std::vector<Action> actions;
    std::int64_t phase_ms = 14'000;   // time in which faults begin
    int endless_interval = 8;         // every such job is endless
    std::vector<std::string> queues;  // of all jobs; none: those of VmModel
    std::int64_t lapse_ms = 0;        // of VMs, from the end of their leases
  };

  /*! @brief Cuts, pauses, restarts, lost calls and outages; every third seed
   * has a fleet whose owner uses relays. */
  [[nodiscard]] static Profile OverlappingFaults(std::uint64_t seed);
  /*! @brief Hand-overs beside VMs that some processes do not reach or that do
   * not answer, with cancelled jobs, waves, evacuations and configurations. */
  [[nodiscard]] static Profile HandOvers(std::uint64_t seed);

  /*! @brief Earlier owners that own the fleet again while lasting runs of their
   * first term go on, beside configurations that move and remove queues. */
  [[nodiscard]] static Profile ReturningOwners(std::uint64_t seed);

  FleetSoak(std::uint64_t seed, Profile profile);
  void Run();
  void Check();

  void PauseAny(std::size_t instance);
  void PauseOwner(std::size_t instance);
  void CutOff(std::size_t instance);
  void Mute(std::size_t instance);
  void EndProcess(std::size_t instance);
  void EndOwner(std::size_t instance);
  void DisturbCalls(std::size_t instance);
  void TakeStoreDown(std::size_t instance);
  void RestartVm(std::size_t instance);
  void DisturbWrites(std::size_t instance);
  void HandIn(std::size_t instance);
  void SilenceVm(std::size_t instance);
  void CutVms(std::size_t instance);
  void EvacuateZone(std::size_t instance);
  void RequestWave(std::size_t instance);
  void CancelJob(std::size_t instance);
  void ChangeConfig(std::size_t instance) const;
  void StormConfigs(std::size_t instance);
  void ReturnOwner(std::size_t instance);
  void DropRegistration(std::size_t instance);
  void DropHistory(std::size_t instance) const;
  void DisturbMachines(std::size_t instance);

 private:
  struct Fault {
    std::int64_t until_ms = 0;
    std::function<void()> end;
  };

  int Draw(int low, int high);
  std::size_t RandomInstance();
  std::string RandomVm();
  /*! @brief Calls `end` after a time, or at the end of all faults. */
  void AddFault(std::int64_t length_ms, std::function<void()> end);
  void EndDueFaults(std::int64_t now_ms);
  void Pause(std::size_t instance, std::int64_t length_ms);
  void CutOffFor(std::size_t instance, std::int64_t length_ms);
  void KeepFromOwning(std::size_t instance, std::int64_t length_ms);
  void MoveOrRemoveQueue();
  /*! @brief Begins a fault that lasts until the last of those under its name
   * ends. */
  void Hold(const std::string& name,
            std::int64_t length_ms,
            const std::function<void(bool)>& set);
  void HoldRule(std::int64_t length_ms, const fake::FaultRule& rule);
  void Disturb(const std::string& prefix, std::int64_t length_ms);
  void RegisterVm(const std::string& vm) const;

  Profile profile;
  PlatformFleet fleet;
  std::mt19937_64 random;
  std::vector<Fault> faults;
  std::map<std::string, int> held;  // faults under way, by name
  std::set<std::size_t> paused;
  std::vector<jobs::JobSpec> accepted;
  std::vector<jobs::JobSpec> refused;     // must not run
  std::vector<jobs::JobSpec> unaccepted;  // without an answer
  int last_job = 0;
  int last_wave = 0;
};

}  // namespace kch::test

#endif  // TEST_PROCESS_FLEET_SOAK_H_
