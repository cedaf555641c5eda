#ifndef ROUTE_POLICY_H_
#define ROUTE_POLICY_H_

#include <variant>

namespace kch::route {

/*! @brief Selects the target with the most free slots; ties go to the zone with
 * the fewest running tasks, then to a random target. */
struct MostFreeSlots {};
/*! @brief Selects a random target with a free slot; a baseline for benchmarks.
 */
struct RandomChoice {};
/*! @brief Selects the target with more free slots of two random ones; a
 * baseline for benchmarks. */
struct PowerOfTwoChoices {};

/*! @brief Policy that selects one of the candidate targets. */
using SelectionPolicy =
    std::variant<MostFreeSlots, RandomChoice, PowerOfTwoChoices>;

/*! @brief Settings of a TargetSet. */
struct TargetOptions {
  SelectionPolicy policy = MostFreeSlots{};
  bool ejection_enabled = true;  // false only in benchmarks of ejection
};

}  // namespace kch::route

#endif  // ROUTE_POLICY_H_
