#ifndef UPKEEP_TURN_ORDER_H_
#define UPKEEP_TURN_ORDER_H_

#include <map>
#include <optional>

#include "base/base.h"
#include "jobs/model.h"

namespace kch::upkeep {

/*! @brief What is known of a pool's next turn. */
enum class TurnState : std::uint8_t {
  kUnknown,  // no turn has been observed, or the order did not hold
  kRunning,
  kAway,  // others come first
  kDue,   // it comes next, in less time than machines take to arrive
};

/*! @brief Finds the order in which pools have their turns.
 *
 * Answers queues whose demand peaks one after the other, in rotation: between
 * two turns of a pool, its machines are of more use elsewhere or powered off,
 * and they take longer to come back than the next turn takes to fill the pool.
 * A pool comes next if its last turn is the earliest of all; one that began out
 * of order twice is not forecast any more. */
class TurnOrder {
 public:
  /*! @brief `lead` is how long before a turn its machines have to be ordered.
   */
  explicit TurnOrder(Duration lead) : lead(lead) {}

  /*! @brief Takes in the work that arrives at each pool. Work above `threshold`
   * makes a turn. Called periodically with the same pools. */
  void Observe(const std::map<PoolId, jobs::Resources>& arriving,
               const jobs::Resources& threshold,
               Time now);
  [[nodiscard]] TurnState StateOf(const PoolId& pool, Time now) const;
  /*! @brief Most work that arrived during the last turn of a pool. */
  [[nodiscard]] jobs::Resources LastPeak(const PoolId& pool) const;

 private:
  struct Pool {
    bool running = false;
    // More work arrives than before since then, not yet for long enough.
    std::optional<Time> rising_since;
    int turns = 0;  // begun
    int out_of_order = 0;
    Time begun;         // of the last turn
    Duration length{};  // of a turn, until the next pool's begins
    jobs::Resources peak;
    bool in_rotation = true;  // has had a turn, or may still have its first one
  };

  void Begin(const PoolId& id, Pool& pool, Time now);
  /*! @brief The other pool whose turn began last. */
  Pool* LatestBefore(const PoolId& id);
  /*! @brief When a pool's next turn is expected; nothing if others come first.
   */
  [[nodiscard]] std::optional<Time> NextTurn(const PoolId& id) const;

  Duration lead;
  std::map<PoolId, Pool> pools;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_TURN_ORDER_H_
