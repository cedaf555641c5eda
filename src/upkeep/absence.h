#ifndef UPKEEP_ABSENCE_H_
#define UPKEEP_ABSENCE_H_

#include <chrono>
#include <optional>

#include "base/base.h"

namespace kch::upkeep {

/*! @brief Whether a machine has left the fleet, by the lists that leave it out.
 * One list does not tell: its pages are read one after the other and are no
 * snapshot. */
class Absence {
 public:
  /*! @brief A machine has left when the lists of this long leave it out. */
  static constexpr Duration kTime = std::chrono::milliseconds(1000);

  /*! @brief Handles a list whose reading began at `read_at`; the same list may
   * be handled several times. */
  void OnList(bool listed, Time read_at);
  [[nodiscard]] bool has_left() const { return this->left; }

 private:
  std::optional<Time> since;  // start of the first of these lists
  bool left = false;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_ABSENCE_H_
