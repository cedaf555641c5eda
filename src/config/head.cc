#include "config/head.h"

#include "config/limits.h"

namespace kch::config {

std::string BaseKey(std::uint64_t revision) {
  return "config/base/" + std::to_string(revision);
}

bool HasRoomFor(const Head& head, const LoggedChange& change) {
  if (head.changes.size() >= kMaxHeadChanges) {
    return false;
  }
  Head extended = head;
  extended.changes.push_back(change);
  return Encode(extended).size() <= kMaxHeadBytes;
}

std::size_t CountToFold(const Head& head) {
  Head rest = head;
  while (!rest.changes.empty() && (rest.changes.size() > kRetainedHeadChanges ||
                                   Encode(rest).size() > kRetainedHeadBytes)) {
    rest.changes.erase(rest.changes.begin());
    ++rest.base_revision;
  }
  return head.changes.size() - rest.changes.size();
}

}  // namespace kch::config
