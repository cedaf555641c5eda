#ifndef UPKEEP_PLANNER_H_
#define UPKEEP_PLANNER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"
#include "jobs/model.h"

namespace kch::upkeep {

using jobs::MachineId;
using jobs::WaveId;

/*! @brief Bounds of upkeep; the first two come from the settings. */
struct Limits {
  // Two instances must not order one machine within this time.
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

/*! @brief What a machine does according to the platform's list. */
enum class MachineState : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/*! @brief A machine of the platform's list. */
struct Machine {
  MachineId id;
  PoolId pool;
  MachineState state = MachineState::kUp;
  VmId vm;  // its present incarnation; empty if it runs none
  ZoneId zone;
  jobs::Resources capacity;
};

/*! @brief The operators' request to maintain machines. */
struct WaveOrder {
  WaveId id;
  std::set<MachineId> machines;
  std::int32_t most_away = 1;
  Duration length{};
};

/*! @brief What runs on a VM, and how full its pool is. */
struct VmLoad {
  std::size_t runs = 0;
  std::size_t endless = 0;      // of these: tasks that others depend on
  bool answers = true;
  double pool_use_without = 0;  // used and wanted over capacity, without it
};

/*! @brief How the platform answered an order. */
enum class OrderAnswer : std::uint8_t {
  kDone,
  kFenced,
  kBusy,       // the machine is not up, or leaving
  kNotInWave,  // the wave does not name the machine
  kNoMachine,
  kLater,      // too many calls; not done
  kUnknown,    // no answer; it may still be carried out
};

struct ReadMachines {};
/*! @brief No new tasks on a VM, or again. */
struct SetCordon {
  VmId vm;
  bool on = true;
};
/*! @brief Moves tasks that never end off a VM as far as budgets allow. */
struct Evict {
  VmId vm;
};
struct OrderUpkeep {
  MachineId machine;
  WaveId wave;
};
/*! @brief A VM ends by an order; everything on it has ended. */
struct VmEnded {
  VmId vm;
};
/*! @brief Stores which machines of a wave have begun. */
struct SaveWave {
  WaveId wave;
  std::set<MachineId> begun;
  bool completed = false;
};
struct Note {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};
struct Superseded {};

using Effect = std::variant<ReadMachines,
                            SetCordon,
                            Evict,
                            OrderUpkeep,
                            VmEnded,
                            SaveWave,
                            Note,
                            Superseded>;

/*! @brief Takes the machines of waves out of service, few at a time, when their
 * pools can spare them. */
class Planner {
 public:
  using LoadOf = std::function<std::optional<VmLoad>(const VmId&)>;

  /*! @brief Orders nothing before `start`. */
  Planner(const Limits& limits, Time start);

  /*! @brief A wave as requested; `since` is when it was first seen. */
  void SetWave(const WaveOrder& order, Time since);
  void RemoveWave(const WaveId& wave);
  /*! @brief Machines that have begun, from the record of a predecessor. */
  void SetBegun(const WaveId& wave, const std::set<MachineId>& begun);
  void OnMachines(const std::vector<Machine>& list, Time now);
  /*! @brief The list could not be read. */
  void OnNoMachines(Time now);
  void OnOrder(const MachineId& machine,
               const WaveId& wave,
               OrderAnswer answer,
               Time now);
  void Tick(Time now, const LoadOf& load_of);
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
  std::map<MachineId, Machine> machines;
  bool listed = false;
  bool reading = false;
  Time next_read;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

template <>
struct kch::NameTable<kch::upkeep::OrderAnswer> {
  static constexpr std::array<
      std::pair<kch::upkeep::OrderAnswer, std::string_view>,
      7>
      kEntries{{{kch::upkeep::OrderAnswer::kDone, "done"},
                {kch::upkeep::OrderAnswer::kFenced, "fenced"},
                {kch::upkeep::OrderAnswer::kBusy, "busy"},
                {kch::upkeep::OrderAnswer::kNotInWave, "not_in_wave"},
                {kch::upkeep::OrderAnswer::kNoMachine, "no_machine"},
                {kch::upkeep::OrderAnswer::kLater, "later"},
                {kch::upkeep::OrderAnswer::kUnknown, "unknown"}}};
};

#endif  // UPKEEP_PLANNER_H_
