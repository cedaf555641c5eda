#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <random>

namespace kch {

/*! @brief Generator passed to every decision that draws; seeded by its owner.
 */
using Random = std::mt19937_64;

}  // namespace kch

#endif  // BASE_RANDOM_H_
