#include "upkeep/turn_order.h"

#include <algorithm>
#include <utility>

namespace kch::upkeep {
namespace {

using jobs::Resources;

// A turn ends when less than this share of its peak arrives.
constexpr double kEndShare = 0.25;
// Another one begins when more than this share of the last peak arrives.
constexpr double kBeginShare = 0.5;
// A few large jobs at once look like a rise for as long as the rate of arrivals
// remembers them, which is less than this.
constexpr auto kMinTurn = std::chrono::milliseconds(1500);
// Turns out of order after which a pool is not forecast any more.
constexpr int kMaxOutOfOrder = 2;
// Shares of a turn's length by which the next one may be late before it is no
// longer expected.
constexpr double kMaxLateness = 0.5;

Resources Scale(const Resources& amounts, double share) {
  const auto scale = [share](std::int64_t amount) {
    return static_cast<std::int64_t>(share * static_cast<double>(amount));
  };
  return {scale(amounts.cpu_m), scale(amounts.memory_mb), scale(amounts.gpus)};
}

// Amounts that a threshold does not limit, such as memory of tasks that need
// hardly any, do not count.
bool Exceeds(const Resources& work, const Resources& threshold) {
  return work.cpu_m > threshold.cpu_m || work.memory_mb > threshold.memory_mb;
}

}  // namespace

TurnOrder::Pool* TurnOrder::LatestBefore(const PoolId& id) {
  Pool* latest = nullptr;
  for (auto& [other_id, other] : this->pools) {
    if (other_id != id && other.turns > 0 &&
        (latest == nullptr || other.begun > latest->begun)) {
      latest = &other;
    }
  }
  return latest;
}

void TurnOrder::Begin(const PoolId& id, Pool& pool, Time now) {
  if (Pool* previous = this->LatestBefore(id)) {
    // The end of a turn shows later than the beginning of the next one.
    const Duration length = now - previous->begun;
    if (previous->running || length < previous->length) {
      previous->length = length;
    }
  }
  if (pool.turns > 0) {
    const std::optional<Time> next = this->NextTurn(id);
    if (!next || now < *next - this->lead) {
      ++pool.out_of_order;
    }
    // Pools without a turn since this pool's last one are not in the rotation.
    for (auto& [other_id, other] : this->pools) {
      other.in_rotation = other.turns > 0 && other.begun >= pool.begun;
    }
  }
  pool.running = true;
  pool.in_rotation = true;
  ++pool.turns;
  pool.begun = now;
  pool.peak = {};
}

void TurnOrder::Observe(const std::map<PoolId, Resources>& arriving,
                        const Resources& threshold,
                        Time now) {
  for (const auto& [id, work] : arriving) {
    Pool& pool = this->pools[id];
    if (!pool.running) {
      if (!Exceeds(work, threshold) ||
          !Exceeds(work, Scale(pool.peak, kBeginShare))) {
        pool.rising_since.reset();
      } else if (!pool.rising_since) {
        pool.rising_since = now;
      } else if (now - *pool.rising_since >= kMinTurn) {
        this->Begin(id, pool, *std::exchange(pool.rising_since, std::nullopt));
      }
    }
    if (!pool.running) {
      continue;
    }
    pool.peak = {std::max(pool.peak.cpu_m, work.cpu_m),
                 std::max(pool.peak.memory_mb, work.memory_mb),
                 std::max(pool.peak.gpus, work.gpus)};
    if (!Exceeds(work, Scale(pool.peak, kEndShare))) {
      pool.running = false;
      pool.length = pool.length == Duration{}
                        ? now - pool.begun
                        : std::min<Duration>(pool.length, now - pool.begun);
    }
  }
}

std::optional<Time> TurnOrder::NextTurn(const PoolId& id) const {
  const Pool& pool = this->pools.at(id);
  const Pool* latest = nullptr;
  for (const auto& [other_id, other] : this->pools) {
    // A load that has gone on since before takes no part either.
    if (other_id == id || !other.in_rotation ||
        (other.running && other.begun < pool.begun)) {
      continue;
    }
    if (other.turns == 0 || other.begun < pool.begun) {
      return std::nullopt;
    }
    if (latest == nullptr || other.begun > latest->begun) {
      latest = &other;
    }
  }
  if (latest == nullptr) {
    return std::nullopt;
  }
  return latest->begun +
         (latest->length == Duration{} ? pool.length : latest->length);
}

TurnState TurnOrder::StateOf(const PoolId& id, Time now) const {
  const auto found = this->pools.find(id);
  if (found == this->pools.end()) {
    return TurnState::kUnknown;
  }
  const Pool& pool = found->second;
  if (pool.running) {
    return TurnState::kRunning;
  }
  if (pool.turns == 0 || pool.out_of_order >= kMaxOutOfOrder) {
    return TurnState::kUnknown;
  }
  const std::optional<Time> next = this->NextTurn(id);
  if (!next || now < *next - this->lead) {
    return TurnState::kAway;
  }
  const auto lateness =
      std::chrono::duration_cast<Duration>(kMaxLateness * pool.length);
  return now <= *next + lateness ? TurnState::kDue : TurnState::kUnknown;
}

Resources TurnOrder::LastPeak(const PoolId& id) const {
  const auto found = this->pools.find(id);
  return found == this->pools.end() ? Resources{} : found->second.peak;
}

}  // namespace kch::upkeep
