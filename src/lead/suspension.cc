#include "lead/suspension.h"

#include <utility>

namespace kch::lead {

bool SuspensionDetector::Observe(Time now, std::int64_t boot_ms) {
  const auto before = std::exchange(this->last, Observation{now, boot_ms});
  return before && std::chrono::milliseconds(boot_ms - before->boot_ms) >
                       now - before->at + kMinSuspension;
}

}  // namespace kch::lead
