#include "jobs/placement.h"

#include <algorithm>
#include <utility>

namespace kch::jobs {
namespace {

// How often a part fits into a whole, at most `most` times.
std::int64_t Fits(std::int64_t part, std::int64_t whole, std::int64_t most) {
  return part <= 0 ? most : std::min(most, whole / part);
}

}  // namespace

std::int64_t PlacementRule::PlacesOn(const Resources& room,
                                     const std::set<std::string>& labels,
                                     std::int64_t most,
                                     std::int32_t beside) const {
  if (!this->label.empty() && !labels.contains(this->label)) {
    return 0;
  }
  if (this->max_per_vm > 0) {
    most = std::min<std::int64_t>(most, this->max_per_vm - beside);
  }
  for (const auto& [part, whole] :
       {std::pair(this->task.cpu_m, room.cpu_m),
        std::pair(this->task.memory_mb, room.memory_mb),
        std::pair(this->task.gpus, room.gpus)}) {
    most = Fits(part, whole, most);
  }
  return std::max<std::int64_t>(0, most);
}

}  // namespace kch::jobs
