#ifndef UPKEEP_PLANNER_H_
#define UPKEEP_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "upkeep/absence.h"
#include "upkeep/effect.h"
#include "upkeep/ordered_vms.h"

namespace kch::upkeep {

/*! @brief Limits of upkeep; the first two come from the settings. */
struct Limits {
  // Time within which orders of a predecessor are carried out or refused.
  Duration handover_period = std::chrono::milliseconds(3000);
  // An order of a predecessor without an answer may be carried out within this
  // time, unless a successor orders the machine before.
  Duration late_order_time = std::chrono::seconds(30);
  // Time that a machine is unavailable during its upkeep.
  Duration upkeep_duration = std::chrono::milliseconds(2000);
  // Typical time to drain a machine.
  Duration drain_duration = std::chrono::milliseconds(2500);
  // A wave is urgent when the time left is less than the time needed for the
  // remaining machines times this factor. Machines are then taken from busy
  // pools too.
  double urgency_factor = 1.7;
  // In an urgent wave, a machine that still runs tasks is ordered after
  // draining for this long, unless its VM is unresponsive or has long-running
  // tasks.
  Duration max_drain_duration = std::chrono::milliseconds(3000);
  // Highest utilization of a pool after giving up a machine, unless the wave is
  // urgent.
  double max_pool_utilization = 0.55;
  // Intervals between reads of the machine list while machines are draining or
  // unavailable, and otherwise.
  Duration active_read_interval = std::chrono::milliseconds(500);
  Duration idle_read_interval = std::chrono::milliseconds(2000);
  Duration order_retry_interval = std::chrono::milliseconds(400);
  // Delay after an order that was refused, doubled with each further refusal.
  Duration refusal_delay = std::chrono::milliseconds(2000);
  Duration max_refusal_delay = std::chrono::milliseconds(32000);
};

/*! @brief A request of the operators to maintain machines within `duration`, at
 * most `max_unavailable` of them at once. */
struct WaveOrder {
  WaveId id;
  // Revision of the store at which the operators created it; 0: unknown.
  std::uint64_t created = 0;
  std::set<MachineId> machines;
  std::int32_t max_unavailable = 1;
  Duration duration{};

  bool operator==(const WaveOrder&) const = default;
};

/*! @brief Wave as the operators wrote it last, and when this process first
 * observed it so. */
struct ObservedWave {
  WaveOrder order;
  Time since;
  std::uint64_t revision = 0;  // of the operators' record

  /*! @brief Handles a record of the wave. One that asks for the same again, as
   * each listing of the store returns it, does not change its time. */
  void Observe(const WaveOrder& newest, std::uint64_t at_revision, Time now);
};

/*! @brief Plans upkeep waves: drains and orders a limited number of machines at
 * a time, preferably from pools with free capacity. */
class Planner {
 public:
  /*! @brief Takes no machine out of service before `start`: an order of a
   * predecessor may still arrive, and its machine would not be counted as
   * unavailable. */
  Planner(const Limits& limits, Time start);

  /*! @brief Adds or replaces a wave; its duration starts when this process
   * first observed it with this content, possibly before it became the owner.
   * Machines that are not named any longer are released, and a completed
   * wave is under way again if it names further ones. */
  void SetWave(const ObservedWave& observed, Time now);
  /*! @brief Drops a wave and resumes placement on its draining VMs. Machines
   * that may be down are kept until the list shows that they are not. */
  void RemoveWave(const WaveId& wave, Time now);
  /*! @brief Marks machines as done whose upkeep a predecessor has recorded as
   * started, unless the wave was created again since. May be called before
   * SetWave. */
  void SetStarted(const WaveId& wave, const StartedMachines& started);
  /*! @brief Machines that a predecessor may have ordered, with their VMs. They
   * count as unavailable and are ordered before others of their waves, since an
   * order without an answer may be carried out within the late order time. An
   * own order of the machine fences it. */
  void SetPredecessorOrders(const OrderedMachines& machines, Time now);
  /*! @brief Handles the result of a ReadMachines. */
  void OnMachineList(const std::vector<Machine>& machines, Time now);
  /*! @brief A ReadMachines failed; the list is read again after the active read
   * interval. */
  void OnMachineListFailed(Time now);
  /*! @brief Handles the platform's answer to an OrderUpkeep.
   *
   * - kDone: the machine is saved as started; the next list tells whether its
   *   VM has ended or had its upkeep before.
   * - kBusy, kRateLimited: the machine drains on and is ordered again.
   * - kNotInWave, kNoMachine: its VM is uncordoned, and the machine is due
   *   again after a delay, as long as it is listed and its wave names it.
   * - kUnknown: the order is repeated until it is answered; meanwhile the
   *   machine counts as unavailable.
   * - kFenced: emits Superseded. */
  void OnOrderAnswer(const MachineId& machine,
                     const WaveId& wave,
                     OrderAnswer answer,
                     Time now);
  /*! @brief Handles the result of a SaveWave; a failed write is repeated with
   * the present state. */
  void OnWaveSaved(const WaveId& wave, bool stored, Time now);
  /*! @brief Advances all waves; called periodically. */
  void Tick(Time now, const VmLoadLookup& load_of);
  /*! @brief The machine list as last read. */
  [[nodiscard]] const MachineList& machines() const { return this->list; }
  /*! @brief Machines that are due, draining, ordered or unavailable. */
  [[nodiscard]] std::set<MachineId> claimed() const;
  /*! @brief When the reading of that list began. */
  [[nodiscard]] Time list_read_at() const { return this->read_at; }
  /*! @brief Schedules the next read of the list within the active read
   * interval; called while the Mover moves machines. */
  void RequestEarlyRead(Time now);
  /*! @brief Returns the effects gathered so far and empties the list. */
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
    VmId vm;  // VM that is taken out of service
    Time since;
    Time retry_at;            // no order is sent or repeated before
    bool order_sent = false;  // the answer to an order is pending
    bool unanswered = false;  // an order may have been carried out
    int refusals = 0;         // orders that were refused
    // The wave does not wait for a machine that has left, unless it returns.
    Absence absence;
  };
  struct Wave {
    WaveOrder order;
    Time since;
    std::uint64_t revision = 0;  // of the operators' record
    std::map<MachineId, WaveItem> items;
    bool recorded = false;              // the first SaveWave was emitted
    bool save_pending = false;          // the last SaveWave is unanswered
    bool has_unsaved = false;           // the state has changed since
    std::optional<Time> save_again_at;  // the last SaveWave failed
    bool completed = false;
    std::set<MachineId> started;
  };

  struct PredecessorOrder {
    VmId vm;
    Time until;  // the order is not carried out after
  };
  // Machines of a wave in use of its limit.
  struct Unavailable {
    std::int64_t taken = 0;        // draining, ordered or down
    std::int64_t may_go_down = 0;  // through an order of a predecessor
  };

  const Machine* FindMachine(const MachineId& id) const;
  [[nodiscard]] const PredecessorOrder* FindPredecessorOrder(
      const MachineId& id,
      Time now) const;
  [[nodiscard]] Unavailable CountUnavailable(const Wave& wave, Time now) const;
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
  void OnRefusal(Wave& wave, const MachineId& id, Time now);
  void ObservePresence(const Wave& wave, const MachineId& id, WaveItem& item);
  /*! @brief Whether all machines that the wave names and that have not left
   * are done or down. */
  [[nodiscard]] static bool IsFinished(const Wave& wave);
  void Reopen(Wave& wave);
  /*! @brief Saves the present state, after the write that is under way. */
  void Save(Wave& wave);
  void EmitLogEvent(
      std::string_view event,
      std::vector<std::pair<std::string_view, std::string>> fields);

  Limits limits;
  Time start;
  std::map<WaveId, Wave> waves;
  MachineList list;
  bool has_list = false;
  bool read_pending = false;
  bool read_failed = false;  // the last read; the next one waits its interval
  Time read_started;
  Time read_at;  // start of the read that returned the list
  Time next_read;
  OrderedVms ordered_vms;
  std::map<MachineId, PredecessorOrder> predecessor_orders;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_PLANNER_H_
