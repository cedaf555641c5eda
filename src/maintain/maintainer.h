#ifndef MAINTAIN_MAINTAINER_H_
#define MAINTAIN_MAINTAINER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/random.h"
#include "base/store.h"
#include "base/time.h"
#include "maintain/advance.h"
#include "maintain/budget.h"
#include "maintain/moves.h"
#include "maintain/observations.h"
#include "maintain/record.h"
#include "maintain/sizes.h"

namespace kch::maintain {

/*! @brief Members that are live or not proven stopped. */
struct MembersObserved {
  std::vector<InstanceId> instances;
  Time requested_at;
};

/*! @brief An entry's report about one pool. */
struct EntryReport {
  InstanceId instance;
  PoolId pool;
  EntryPoolReport pool_report;
};

/*! @brief A worker's report about its tasks. */
struct WorkerReport {
  VmId vm;
  std::string boot;
  std::vector<TaskReport> tasks;
  Time requested_at;
};

/*! @brief The platform's VM list. */
struct PlatformList {
  std::map<VmId, PlatformVm> vms;
  Time requested_at;
};

/*! @brief State of a platform operation, from the reply to a call or a read. */
struct OperationObserved {
  std::string operation;
  std::optional<OperationState> state;  // absent: the reply is ambiguous
};

/*! @brief Demand on a pool in slots, valid until the next event for the pool.
 */
struct DemandObserved {
  PoolId pool;
  double slots = 0;
};

/*! @brief Kinds of operator orders. */
enum class OrderKind : std::uint8_t {
  kDrain,
  kReturn,
  kReboot,
  kMove,
  kRollout
};

/*! @brief An operator's order. */
struct Order {
  std::string id;  // chosen by the caller; named in the OrderResult
  OrderKind kind = OrderKind::kReboot;
  PoolId pool;
  VmId vm;    // not for roll-outs
  PoolId to;  // moves only
  std::string reason;
};

/*! @brief Periodic event that carries the wall clock. */
struct Tick {
  std::int64_t wall_s = 0;  // wall clock, seconds since the Unix epoch
};

/*! @brief Inputs of a Maintainer. */
using Event = std::variant<Tick,
                           StoreReply,
                           MembersObserved,
                           EntryReport,
                           WorkerReport,
                           PlatformList,
                           OperationObserved,
                           DemandObserved,
                           Order>;

/*! @brief Success once an order is in the record, or the reason why it was
 * refused. */
struct OrderResult {
  std::string id;
  Result<void> result;
};

/*! @brief Outputs of a Maintainer. */
using Effect =
    std::variant<StoreOp, PlatformCall, ReadOperation, WorkerCall, OrderResult>;

/*! @brief Settings of one pool. */
struct PoolSettings {
  Budget budget;
  std::uint32_t min_vms = 1;
  std::uint32_t max_vms = 0;  // 0: no limit
};

/*! @brief Settings of a Maintainer. */
struct Settings {
  std::map<PoolId, PoolSettings> pools;
  PoolId spare;        // spare pool; empty: none
  bool resize = true;  // whether to plan pool sizes
  SizePolicy sizes;
  Limits limits;
  // Mean interval between reads of a record; each is jittered by up to 50 %.
  Duration read_interval = std::chrono::seconds(1);
  // Minimum interval between repeats of a call.
  Duration call_interval = std::chrono::seconds(1);
};

/*! @brief Decides on the maintenance of all pools. Any number of instances may
 * run at once; the store's CAS serializes their writes. */
class Maintainer {
 public:
  Maintainer(Settings settings, Random random);

  /*! @brief Handles one event and returns the resulting effects. */
  [[nodiscard]] std::vector<Effect> Step(const Event& event, Time now);
  /*! @brief Replaces the settings, for instance after a new configuration. */
  void Configure(Settings settings);
  /*! @brief The records as last read or written. */
  [[nodiscard]] const Records& records() const { return this->cached; }
  /*! @brief The observations gathered so far. */
  [[nodiscard]] const Observations& observations() const {
    return this->gathered;
  }
  /*! @brief Number of CAS writes that failed because of a newer record. */
  [[nodiscard]] std::uint64_t conflicts() const { return this->cas_conflicts; }

 private:
  struct PoolContext {
    std::uint64_t version = 0;    // store version of the cached record
    std::optional<Time> read_at;  // of the cached record
    bool pending = false;         // a store operation is outstanding
    std::string written;          // value of the pending write
    std::vector<Order>
        written_orders;  // orders that the pending write confirms
    Time next_read;
    std::vector<Order> orders;  // not written yet
  };

  void OnReply(const StoreReply& reply, Time now, std::vector<Effect>& effects);
  void OnOperation(const OperationObserved& observed,
                   Time now,
                   std::vector<Effect>& effects);
  void OnTick(Time now, std::vector<Effect>& effects);
  void CacheRecord(const PoolId& pool, PoolRecord record, Time now);
  void Decide(const PoolId& pool,
              PoolContext& context,
              Time now,
              std::vector<Effect>& effects);
  bool ApplyOrders(PoolContext& context,
                   PoolRecord& record,
                   std::vector<Effect>& effects) const;
  bool ApplyMoves(PoolRecord& record) const;
  bool ApplyReservations(PoolRecord& record,
                         const PoolSettings& pool,
                         Time now) const;
  void EmitCalls(const NextActions& actions,
                 Time now,
                 std::vector<Effect>& effects);
  bool ApplySizes(PoolRecord& record) const;
  [[nodiscard]] Duration Jittered(Duration mean);
  bool MayCall(const std::string& key, Time now);
  void Prune();

  Settings settings;
  Random random;
  Records cached;
  std::map<PoolId, PoolContext> contexts;
  Observations gathered;
  std::map<PoolId, DemandWindow> demand;
  std::map<std::string, PoolId>
      operation_pools;  // pools by VmRow::operation of VMs not serving
  std::map<std::string, Time>
      last_calls;  // time of the last call by operation or task
  std::uint64_t cas_conflicts = 0;
};

}  // namespace kch::maintain

#endif  // MAINTAIN_MAINTAINER_H_
