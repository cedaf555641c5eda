#ifndef ROUTE_POLICY_H_
#define ROUTE_POLICY_H_

#include <variant>

namespace kch::route {

/*! @brief Most free slots, ties by zone spread, then at random. */
struct MostFreeSlots {};
/*! @brief Any target with a free slot; a baseline for measurements. */
struct RandomChoice {};
/*! @brief The freer of two random targets; a baseline for measurements. */
struct PowerOfTwoChoices {};

/*! @brief How a target is selected among those that may be used. */
using SelectionPolicy =
    std::variant<MostFreeSlots, RandomChoice, PowerOfTwoChoices>;

/*! @brief Settings of a TargetSet. */
struct TargetOptions {
  SelectionPolicy policy = MostFreeSlots{};
  bool ejection_enabled = true;  // off only to measure what ejection gains
};

}  // namespace kch::route

#endif  // ROUTE_POLICY_H_
