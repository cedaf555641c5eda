#include "net/line_budget.h"

#include <algorithm>
#include <utility>

namespace kch::net {
namespace {

constexpr auto kReportInterval = std::chrono::seconds(1);
// Kinds beyond this number have no lines of their own, which bounds the state
// and the rate if kinds are made up at run time.
constexpr std::size_t kMaxKinds = 128;

}  // namespace

void LineBudget::Bucket::Fill(double per_s, double burst, Time now) {
  this->lines =
      std::min(burst, this->lines + ToSeconds(now - this->filled_at) * per_s);
  this->filled_at = now;
}

bool LineBudget::Bucket::Take() {
  if (this->lines < 1) {
    return false;
  }
  this->lines -= 1;
  return true;
}

LineBudget::LineBudget(const Limits& limits)
    : limits(limits), shared{.lines = limits.shared_burst, .filled_at = {}} {}

bool LineBudget::Take(std::string_view kind, Time now) {
  this->shared.Fill(this->limits.shared_per_s, this->limits.shared_burst, now);
  auto bucket = this->own.find(kind);
  if (bucket == this->own.end() && this->own.size() < kMaxKinds) {
    bucket = this->own
                 .emplace(kind, Bucket{.lines = this->limits.own_burst,
                                       .filled_at = now})
                 .first;
  }
  if (bucket != this->own.end()) {
    bucket->second.Fill(this->limits.own_per_s, this->limits.own_burst, now);
    if (bucket->second.Take()) {
      return true;
    }
  }
  if (this->shared.Take()) {
    return true;
  }
  ++this->left_out;
  return false;
}

std::uint64_t LineBudget::Report(Time now) {
  if (this->left_out == 0 || now - this->reported_at < kReportInterval) {
    return 0;
  }
  this->reported_at = now;
  return std::exchange(this->left_out, 0);
}

}  // namespace kch::net
