#include "upkeep/absence.h"

namespace kch::upkeep {

void Absence::OnList(bool listed, Time read_at) {
  if (listed) {
    *this = {};
    return;
  }
  if (!this->since) {
    this->since = read_at;
  }
  this->left = read_at - *this->since >= kTime;
}

}  // namespace kch::upkeep
