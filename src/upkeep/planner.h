#ifndef UPKEEP_PLANNER_H_
#define UPKEEP_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "upkeep/effect.h"

namespace kch::upkeep {

/*! @brief Bounds of upkeep; the first two come from the settings. */
struct Limits {
  // A predecessor's orders are carried out or refused within this time.
  Duration handover_period = std::chrono::milliseconds(3000);
  // Time that a machine is away.
  Duration upkeep_duration = std::chrono::milliseconds(2000);
  // Time that draining a machine takes as a rule.
  Duration drain_duration = std::chrono::milliseconds(2500);
  // With less time left than this many times what the rest of a wave needs,
  // machines are taken from busy pools too.
  double urgency_factor = 1.7;
  // A machine whose tasks do not end is taken after this time under pressure.
  Duration max_drain_duration = std::chrono::milliseconds(3000);
  // Use that a pool may reach by giving up a machine, without pressure.
  double max_pool_utilization = 0.55;
  // Reads of the machine list while machines are away, and otherwise.
  Duration active_read_interval = std::chrono::milliseconds(500);
  Duration idle_read_interval = std::chrono::milliseconds(2000);
  Duration order_retry_interval = std::chrono::milliseconds(400);
};

/*! @brief The operators' request to maintain machines. */
struct WaveOrder {
  WaveId id;
  std::set<MachineId> machines;
  std::int32_t max_unavailable = 1;
  Duration duration{};
};

/*! @brief Takes the machines of waves out of service, few at a time, when their
 * pools can spare them. */
class Planner {
 public:
  /*! @brief Takes no machine out before `start`: a predecessor's order may
   * still arrive, and its machine would be missed in the count. */
  Planner(const Limits& limits, Time start);

  /*! @brief A wave as requested; `since` is when it was first seen. */
  void SetWave(const WaveOrder& order, Time since);
  void RemoveWave(const WaveId& wave);
  /*! @brief Machines that have begun, from the record of a predecessor. */
  void SetStarted(const WaveId& wave, const std::set<MachineId>& started);
  void OnMachineList(const std::vector<Machine>& machines, Time now);
  /*! @brief The list could not be read. */
  void OnMachineListFailed(Time now);
  void OnOrderAnswer(const MachineId& machine,
                     const WaveId& wave,
                     OrderAnswer answer,
                     Time now);
  void Tick(Time now, const VmLoadLookup& load_of);
  /*! @brief The list as last read. */
  [[nodiscard]] const MachineList& machines() const { return this->list; }
  /*! @brief Machines that are due, draining or away. */
  [[nodiscard]] std::set<MachineId> claimed() const;
  /*! @brief Reads the list often, while machines move. */
  void RequestEarlyRead(Time now);
  [[nodiscard]] std::vector<Effect> TakeEffects();

 private:
  enum class Stage : std::uint8_t {
    kDue,
    kDraining,
    kOrdered,
    kUnavailable,
    kDone
  };
  struct WaveItem {
    Stage stage = Stage::kDue;
    VmId vm;  // the incarnation that is taken out
    Time since;
    Time retry_at;
    bool order_sent = false;
  };
  struct Wave {
    WaveOrder order;
    Time since;
    std::map<MachineId, WaveItem> items;
    bool recorded = false;
    bool completed = false;
    std::set<MachineId> started;
  };

  const Machine* FindMachine(const MachineId& id) const;
  void TickWave(Wave& wave, Time now, const VmLoadLookup& load_of);
  void AdvanceItem(Wave& wave,
                   const MachineId& id,
                   WaveItem& item,
                   bool urgent,
                   Time now,
                   const VmLoadLookup& load_of);
  void AdmitMachines(Wave& wave,
                     bool urgent,
                     Time now,
                     const VmLoadLookup& load_of);
  [[nodiscard]] bool IsUrgent(const Wave& wave, Time now) const;
  void EmitLogEvent(
      std::string_view event,
      std::vector<std::pair<std::string_view, std::string>> fields);

  Limits limits;
  Time start;
  std::map<WaveId, Wave> waves;
  MachineList list;
  bool has_list = false;
  bool read_pending = false;
  Time read_started;
  Time list_read_at;  // when the reading of the list began
  Time next_read;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_PLANNER_H_
