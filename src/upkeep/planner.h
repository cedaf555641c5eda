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
  Duration handover = std::chrono::milliseconds(3000);
  // Time that a machine is away.
  Duration away = std::chrono::milliseconds(2000);
  // Time that draining a machine takes as a rule.
  Duration drain = std::chrono::milliseconds(2500);
  // With less time left than this many times what the rest of a wave needs,
  // machines are taken from busy pools too.
  double pressure = 1.7;
  // A machine whose tasks do not end is taken after this time under pressure.
  Duration longest_drain = std::chrono::milliseconds(3000);
  // Use that a pool may reach by giving up a machine, without pressure.
  double calm_use = 0.55;
  // Reads of the machine list while machines are away, and otherwise.
  Duration read_busy = std::chrono::milliseconds(500);
  Duration read_calm = std::chrono::milliseconds(2000);
  Duration order_retry = std::chrono::milliseconds(400);
};

/*! @brief The operators' request to maintain machines. */
struct WaveOrder {
  WaveId id;
  std::set<MachineId> machines;
  std::int32_t most_away = 1;
  Duration length{};
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
  void SetBegun(const WaveId& wave, const std::set<MachineId>& begun);
  void OnMachines(const std::vector<Machine>& machines, Time now);
  /*! @brief The list could not be read. */
  void OnNoMachines(Time now);
  void OnOrder(const MachineId& machine,
               const WaveId& wave,
               OrderAnswer answer,
               Time now);
  void Tick(Time now, const LoadOf& load_of);
  /*! @brief The list as last read. */
  [[nodiscard]] const MachineList& machines() const { return this->list; }
  /*! @brief Machines that are due, draining or away. */
  [[nodiscard]] std::set<MachineId> claimed() const;
  /*! @brief Reads the list often, while machines move. */
  void ReadSoon(Time now);
  [[nodiscard]] std::vector<Effect> Take();

 private:
  enum class Stage : std::uint8_t { kDue, kDraining, kOrdered, kAway, kDone };
  struct Item {
    Stage stage = Stage::kDue;
    VmId vm;  // the incarnation that is taken out
    Time since;
    Time retry_at;
    bool order_sent = false;
  };
  struct Wave {
    WaveOrder order;
    Time since;
    std::map<MachineId, Item> items;
    bool announced = false;
    bool completed = false;
    std::set<MachineId> begun;
  };

  const Machine* Find(const MachineId& id) const;
  void TickWave(Wave& wave, Time now, const LoadOf& load_of);
  void Advance(Wave& wave,
               const MachineId& id,
               Item& item,
               bool pressed,
               Time now,
               const LoadOf& load_of);
  void Admit(Wave& wave, bool pressed, Time now, const LoadOf& load_of);
  [[nodiscard]] bool Pressed(const Wave& wave, Time now) const;
  void NoteThat(std::string_view event,
                std::vector<std::pair<std::string_view, std::string>> fields);

  Limits limits;
  Time start;
  std::map<WaveId, Wave> waves;
  MachineList list;
  bool listed = false;
  bool reading = false;
  Time read_began;
  Time list_as_of;  // when the reading of the list began
  Time next_read;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_PLANNER_H_
