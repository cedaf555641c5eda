#include "share/fair_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace kch::share {
namespace {

// Smaller weights would make virtual time overflow its useful precision.
constexpr double kMinWeight = 1e-3;

// Weight of the newest run time; about 20 tasks decide the mean, so that it
// follows a change of load within seconds and one outlier does not dominate.
constexpr double kRunTimeWeight = 0.05;

// Charge assumed for a running task before any run time is known. Without it a
// team would get every slot that is free at one instant.
constexpr double kMinRunSeconds = 1e-3;

}  // namespace

void FairQueue::RunTime::Add(double sample) {
  this->samples += 1;
  const double weight =
      std::max(kRunTimeWeight, 1.0 / static_cast<double>(this->samples));
  this->seconds += (sample - this->seconds) * weight;
}

std::size_t FairQueue::TeamIndex(const TeamId& id) {
  const auto [found, added] =
      this->team_index.try_emplace(id, this->teams.size());
  if (added) {
    this->teams.push_back(std::make_unique<Team>());
    this->teams.back()->id = id;
  }
  return found->second;
}

// Only time with a backlog counts: use of slots that nobody else waits for is
// lent and must not lower a team's priority later.
double FairQueue::ContendedClock(Time now) const {
  if (this->items.empty() || now <= this->clock_at) {
    return this->clock_seconds;
  }
  return this->clock_seconds + ToSeconds(now - this->clock_at);
}

void FairQueue::TickClock(Time now) {
  this->clock_seconds = this->ContendedClock(now);
  this->clock_at = std::max(this->clock_at, now);
}

double FairQueue::VirtualTime(const Team& team, double clock) const {
  const double slots = static_cast<double>(team.running) +
                       (team.waiting > 0 ? team.external_slots : 0);
  return team.virtual_time + slots * (clock - team.charged_at) / team.weight;
}

void FairQueue::Settle(Team& team, Time now) {
  const double clock = this->ContendedClock(now);
  team.virtual_time = this->VirtualTime(team, clock);
  team.charged_at = clock;
  if (now > team.used_at) {
    team.slot_seconds +=
        static_cast<double>(team.running) * ToSeconds(now - team.used_at);
    team.used_at = now;
  }
}

double FairQueue::SystemTime(double clock) const {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& team : this->teams) {
    if (team->waiting > 0) {
      least = std::min(least, this->VirtualTime(*team, clock));
    }
  }
  return least == std::numeric_limits<double>::infinity()
             ? this->system_time
             : std::max(this->system_time, least);
}

double FairQueue::IdleBurst(const Team& team) {
  return kIdleBurstSlotSeconds / team.weight;
}

double FairQueue::MeanRunSeconds(const Team& team, Time now) const {
  if (team.run_time.samples > 0) {
    return team.run_time.seconds;
  }
  // The mean age of running tasks stands in until one of them has ended.
  if (team.running > 0) {
    return ToSeconds(now.time_since_epoch()) -
           team.started_sum / static_cast<double>(team.running);
  }
  return this->run_time.seconds;
}

void FairQueue::SetTeamWeight(const TeamId& team, double weight, Time now) {
  Team& entry = *this->teams[this->TeamIndex(team)];
  this->Settle(entry, now);
  entry.weight = std::max(weight, kMinWeight);
}

void FairQueue::SetExternalSlots(const TeamId& team, double slots, Time now) {
  Team& entry = *this->teams[this->TeamIndex(team)];
  this->Settle(entry, now);
  entry.external_slots = std::max(slots, 0.0);
}

bool FairQueue::Push(QueuedTask waiting, Time now) {
  if (this->items.contains(waiting.task) ||
      this->tasks.contains(waiting.task)) {
    return false;
  }
  this->TickClock(now);
  const std::size_t index = this->TeamIndex(waiting.team);
  Team& team = *this->teams[index];
  this->Settle(team, now);
  if (team.waiting == 0) {
    this->system_time = this->SystemTime(this->clock_seconds);
    team.virtual_time =
        std::max(team.virtual_time, this->system_time - IdleBurst(team));
  }
  team.waiting += 1;
  this->sequence += 1;
  const TaskId task = waiting.task;
  Item& item = this->items[task];
  item.waiting = std::move(waiting);
  item.team = index;
  const Stamp deadline{item.waiting.deadline, this->sequence};
  const Stamp age{item.waiting.enqueued, this->sequence};
  item.lane =
      team.lanes.try_emplace({!item.waiting.urgent, item.waiting.profile})
          .first;
  item.in_lane = item.lane->second.emplace(deadline, &item).first;
  item.in_deadlines = this->deadlines.emplace(deadline, &item).first;
  item.in_age = (item.waiting.urgent ? team.age_urgent : team.age_normal)
                    .emplace(age, &item)
                    .first;
  return true;
}

QueuedTask FairQueue::Remove(Item* item, Time now) {
  this->TickClock(now);
  Team& team = *this->teams[item->team];
  this->Settle(team, now);
  team.waiting -= 1;
  if (team.waiting == 0) {
    team.blocked_lag.reset();
  }
  item->lane->second.erase(item->in_lane);
  if (item->lane->second.empty()) {
    team.lanes.erase(item->lane);
  }
  this->deadlines.erase(item->in_deadlines);
  (item->waiting.urgent ? team.age_urgent : team.age_normal)
      .erase(item->in_age);
  QueuedTask waiting = std::move(item->waiting);
  this->items.erase(waiting.task);
  return waiting;
}

// Merges the team's lanes, so that a blocked profile is skipped in one step.
FairQueue::Item* FairQueue::Best(const Team& team,
                                 Time now,
                                 const Eligible& eligible) {
  using Cursor = std::pair<Order::const_iterator, const Order*>;
  const Stamp expired{now, std::numeric_limits<std::uint64_t>::max()};
  std::vector<Cursor> cursors;
  std::vector<ProfileId> blocked;
  auto lane = team.lanes.begin();
  while (lane != team.lanes.end()) {
    // Urgent lanes come first in the map; they are exhausted before others.
    const bool normal = lane->first.first;
    cursors.clear();
    for (; lane != team.lanes.end() && lane->first.first == normal; ++lane) {
      const auto first = lane->second.upper_bound(expired);
      if (first != lane->second.end() &&
          std::find(blocked.begin(), blocked.end(), lane->first.second) ==
              blocked.end()) {
        cursors.emplace_back(first, &lane->second);
      }
    }
    while (!cursors.empty()) {
      const auto best = std::min_element(
          cursors.begin(), cursors.end(), [](const Cursor& a, const Cursor& b) {
            return a.first->first < b.first->first;
          });
      Item* item = best->first->second;
      switch (eligible(item->waiting)) {
        case Eligibility::kEligible:
          return item;
        case Eligibility::kTaskBlocked:
          ++best->first;
          if (best->first == best->second->end()) {
            cursors.erase(best);
          }
          break;
        case Eligibility::kProfileBlocked:
          blocked.push_back(item->waiting.profile);
          cursors.erase(best);
          break;
        case Eligibility::kTeamBlocked:
          return nullptr;
      }
    }
  }
  return nullptr;
}

// A team that may not start anything (its upper limit, its zone) gains no
// claim on the slots that others use meanwhile: its lag behind the served team
// stays what it was when the block was first seen.
void FairQueue::LimitLag(Team& team, double served, double clock) const {
  const double lag = served - this->VirtualTime(team, clock);
  if (!team.blocked_lag || lag <= *team.blocked_lag) {
    team.blocked_lag = std::max(lag, IdleBurst(team));
    return;
  }
  team.virtual_time = served - *team.blocked_lag;
  team.charged_at = clock;
}

FairQueue::Item* FairQueue::TakePromised(Time now, const Eligible& eligible) {
  for (std::size_t i = 0; i < this->promises.size(); ++i) {
    const Promise& promise = this->promises[i];
    if (!promise.ended) {
      continue;
    }
    if (Item* item = Best(*this->teams[promise.to], now, eligible)) {
      this->ErasePromise(i);
      return item;
    }
  }
  return nullptr;
}

std::optional<QueuedTask> FairQueue::Pop(Time now, const Eligible& eligible) {
  this->PurgePromises(now);
  if (Item* item = this->TakePromised(now, eligible)) {
    return this->Remove(item, now);
  }
  this->TickClock(now);
  const double clock = this->clock_seconds;
  struct Candidate {
    double key;   // virtual time once the running and the next task have ended
    double load;  // running tasks by weight
    Team* team;
    bool operator<(const Candidate& other) const {
      return std::tie(this->key, this->load) > std::tie(other.key, other.load);
    }
  };
  std::vector<Candidate> heap;
  heap.reserve(this->teams.size());
  double least = std::numeric_limits<double>::infinity();
  for (const auto& team : this->teams) {
    if (team->waiting == 0) {
      continue;
    }
    const double load = static_cast<double>(team->running) / team->weight;
    const double mean =
        std::max(this->MeanRunSeconds(*team, now), kMinRunSeconds);
    const double time = this->VirtualTime(*team, clock);
    least = std::min(least, time);
    heap.push_back({time + load * mean, load, team.get()});
  }
  if (heap.empty()) {
    return std::nullopt;
  }
  this->system_time = std::max(this->system_time, least);
  std::make_heap(heap.begin(), heap.end());
  std::vector<Team*> blocked;
  while (!heap.empty()) {
    std::pop_heap(heap.begin(), heap.end());
    Team& team = *heap.back().team;
    heap.pop_back();
    Item* item = Best(team, now, eligible);
    if (item == nullptr) {
      blocked.push_back(&team);
      continue;
    }
    const double served = this->VirtualTime(team, clock);
    for (Team* other : blocked) {
      this->LimitLag(*other, served, clock);
    }
    // These teams have caught up with the served one.
    for (const Candidate& candidate : heap) {
      candidate.team->blocked_lag.reset();
    }
    return this->Remove(item, now);
  }
  return std::nullopt;
}

bool FairQueue::Started(const TaskId& task,
                        const TeamId& team,
                        bool preemptible,
                        Time now) {
  if (this->tasks.contains(task)) {
    return false;
  }
  if (const auto item = this->items.find(task); item != this->items.end()) {
    this->Remove(&item->second, now);
  }
  const std::size_t index = this->TeamIndex(team);
  Team& entry = *this->teams[index];
  this->Settle(entry, now);
  entry.running += 1;
  entry.started_sum += ToSeconds(now.time_since_epoch());
  Task& record = this->tasks[task];
  record.team = index;
  record.started = now;
  if (preemptible) {
    this->sequence += 1;
    record.preemptible =
        entry.preemptible.emplace(Stamp{now, this->sequence}, task).first;
  }
  return true;
}

bool FairQueue::Ended(const TaskId& task, Time now) {
  const auto found = this->tasks.find(task);
  if (found == this->tasks.end()) {
    return false;
  }
  const Task& record = found->second;
  Team& team = *this->teams[record.team];
  this->Settle(team, now);
  team.running -= 1;
  team.started_sum -= ToSeconds(record.started.time_since_epoch());
  if (team.running == 0) {
    team.started_sum = 0;  // drops accumulated rounding
  }
  if (record.preemptible) {
    team.preemptible.erase(*record.preemptible);
  }
  if (record.stopping) {
    for (Promise& promise : this->promises) {
      if (promise.task == task && !promise.ended) {
        promise.ended = true;
        promise.until = now + kPreemptGrace;
        team.stopping -= 1;
      }
    }
  } else {
    // The time of a checkpointed task says nothing about a complete run.
    const double seconds = ToSeconds(now - record.started);
    team.run_time.Add(seconds);
    this->run_time.Add(seconds);
  }
  this->tasks.erase(found);
  return true;
}

std::optional<QueuedTask> FairQueue::Cancel(const TaskId& task, Time now) {
  const auto found = this->items.find(task);
  if (found == this->items.end()) {
    return std::nullopt;
  }
  return this->Remove(&found->second, now);
}

std::vector<QueuedTask> FairQueue::Expire(Time now) {
  std::vector<QueuedTask> expired;
  while (!this->deadlines.empty() &&
         this->deadlines.begin()->first.first <= now) {
    expired.push_back(this->Remove(this->deadlines.begin()->second, now));
  }
  return expired;
}

std::optional<Time> FairQueue::NextDeadline() const {
  if (this->deadlines.empty()) {
    return std::nullopt;
  }
  return this->deadlines.begin()->first.first;
}

// Max-min fair slots: a team that wants less than its part leaves the rest to
// the others by weight. `extra` counts one more task of that team; the index
// after the last stands for an unknown team.
std::vector<double> FairQueue::Entitlements(
    std::int64_t slots,
    std::optional<std::size_t> extra) const {
  struct Open {
    std::size_t index;
    double weight;
    double demand;
  };
  std::vector<double> entitled(this->teams.size() + 1, 0.0);
  std::vector<Open> open;
  double weights = 0;
  for (std::size_t i = 0; i <= this->teams.size(); ++i) {
    const Team* team = i < this->teams.size() ? this->teams[i].get() : nullptr;
    const std::int64_t demand =
        (team != nullptr ? team->waiting + team->running : 0) +
        (extra == i ? 1 : 0);
    if (demand > 0) {
      const double weight = team != nullptr ? team->weight : 1.0;
      open.push_back({i, weight, static_cast<double>(demand)});
      weights += weight;
    }
  }
  auto left = static_cast<double>(slots);
  while (!open.empty()) {
    const double per_weight = left / weights;
    const auto satisfied =
        std::partition(open.begin(), open.end(), [&](const Open& team) {
          return team.demand > per_weight * team.weight;
        });
    if (satisfied == open.end()) {
      for (const Open& team : open) {
        entitled[team.index] = per_weight * team.weight;
      }
      break;
    }
    for (auto team = satisfied; team != open.end(); ++team) {
      entitled[team->index] = team->demand;
      left -= team->demand;
      weights -= team->weight;
    }
    open.erase(satisfied, open.end());
  }
  return entitled;
}

Duration FairQueue::ExpectedWait(const TeamId& team,
                                 std::int64_t slots,
                                 Time now) const {
  if (slots <= 0) {
    return kMaxExpectedWait;
  }
  if (this->items.empty() && this->running() < slots) {
    return Duration::zero();
  }
  const auto found = this->team_index.find(team);
  const bool known = found != this->team_index.end();
  const std::size_t index = known ? found->second : this->teams.size();
  const double own = known ? this->MeanRunSeconds(*this->teams[index], now)
                           : this->run_time.seconds;
  const double pool = this->run_time.samples > 0 ? this->run_time.seconds : own;
  const double entitled = this->Entitlements(slots, index)[index];
  const double running =
      known ? static_cast<double>(this->teams[index]->running) : 0.0;
  const double position =
      known ? static_cast<double>(this->teams[index]->waiting) + 1 : 1.0;
  // Up to its entitlement the team gets the next slots that any team frees;
  // beyond that, only as many as its own tasks free.
  const double next = std::clamp(entitled - running, 0.0, position);
  const double seconds = next * pool / static_cast<double>(slots) +
                         (position - next) * own / std::max(entitled, 1e-9);
  if (seconds >= ToSeconds(kMaxExpectedWait)) {
    return kMaxExpectedWait;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

void FairQueue::ErasePromise(std::size_t position) {
  const Promise& promise = this->promises[position];
  this->teams[promise.to]->promised -= 1;
  if (!promise.ended) {
    this->teams[promise.from]->stopping -= 1;
  }
  this->promises.erase(this->promises.begin() +
                       static_cast<std::ptrdiff_t>(position));
}

// A worker may ignore a checkpoint, and the waiting team may have left.
void FairQueue::PurgePromises(Time now) {
  for (std::size_t i = this->promises.size(); i-- > 0;) {
    const Promise& promise = this->promises[i];
    if (promise.until <= now || this->teams[promise.to]->waiting == 0) {
      this->ErasePromise(i);
    }
  }
}

std::optional<Preemption> FairQueue::PickPreemption(Time now,
                                                    std::int64_t slots,
                                                    const Eligible& eligible) {
  this->PurgePromises(now);
  if (this->items.empty() || this->running() < slots) {
    return std::nullopt;
  }
  this->TickClock(now);
  const std::vector<double> entitled = this->Entitlements(slots, std::nullopt);
  const auto held = [&](const Team& team) {
    return static_cast<double>(team.running - team.stopping + team.promised) +
           team.external_slots;
  };
  struct Late {
    std::size_t index;
    bool urgent;
    Time since;
  };
  std::vector<Late> late;
  for (std::size_t i = 0; i < this->teams.size(); ++i) {
    Team& team = *this->teams[i];
    // A gap of less than a slot is the rounding of shares to whole slots, and
    // short tasks open and close it all the time.
    const double gap = entitled[i] - held(team);
    if (team.waiting == 0 || gap <= 0 || (gap < 1 && held(team) >= 1)) {
      team.satisfied_at = now;
      continue;
    }
    const auto since = [&](const Order& age) {
      return std::max(age.begin()->first.first, team.satisfied_at);
    };
    if (!team.age_urgent.empty() &&
        since(team.age_urgent) + kPreemptAfterUrgent <= now) {
      late.push_back({i, true, since(team.age_urgent)});
    } else if (!team.age_normal.empty() &&
               since(team.age_normal) + kPreemptAfter <= now) {
      late.push_back({i, false, since(team.age_normal)});
    }
  }
  std::sort(late.begin(), late.end(), [](const Late& a, const Late& b) {
    return a.urgent != b.urgent ? a.urgent : a.since < b.since;
  });
  for (const Late& waiter : late) {
    const Team& to = *this->teams[waiter.index];
    if (eligible && Best(to, now, eligible) == nullptr) {
      continue;
    }
    const double deficit = entitled[waiter.index] - held(to);
    const double to_time = this->VirtualTime(to, this->clock_seconds);
    const double turn =
        waiter.urgent ? kTurnUrgentSlotSeconds : kTurnSlotSeconds;
    std::pair<double, double> furthest{0, 0};  // excess, virtual time
    std::optional<std::size_t> from;
    for (std::size_t i = 0; i < this->teams.size(); ++i) {
      const Team& team = *this->teams[i];
      const double excess = held(team) - entitled[i];
      if (i == waiter.index || excess <= 0 || team.preemptible.empty()) {
        continue;
      }
      const double time = this->VirtualTime(team, this->clock_seconds);
      // A move of one slot brings both teams closer to their shares only if
      // they are more than one slot apart; a smaller gap would be preempted
      // back and forth. Teams entitled to a fraction of a slot take turns,
      // which the lead keeps apart.
      const bool closer = excess + deficit > 1 + 1e-9;
      const bool turns = held(to) < 1 && (time - to_time) * team.weight >= turn;
      if ((closer || turns) && std::pair{excess, time} > furthest) {
        furthest = {excess, time};
        from = i;
      }
    }
    if (!from) {
      continue;
    }
    // The latest start loses the least work if a checkpoint fails.
    Team& victim = *this->teams[*from];
    const auto chosen = std::prev(victim.preemptible.end());
    Task& task = this->tasks.at(chosen->second);
    const Preemption preemption{chosen->second, victim.id, to.id};
    task.stopping = true;
    task.preemptible.reset();
    victim.preemptible.erase(chosen);
    victim.stopping += 1;
    this->teams[waiter.index]->promised += 1;
    this->promises.push_back(
        {preemption.task, *from, waiter.index, now + kPreemptGrace, false});
    return preemption;
  }
  return std::nullopt;
}

TeamCounters FairQueue::Counters(const TeamId& team, Time now) const {
  TeamCounters counters;
  const auto found = this->team_index.find(team);
  if (found == this->team_index.end()) {
    return counters;
  }
  const Team& entry = *this->teams[found->second];
  counters.waiting = entry.waiting;
  counters.running = entry.running;
  counters.slot_seconds = entry.slot_seconds;
  if (now > entry.used_at) {
    counters.slot_seconds +=
        static_cast<double>(entry.running) * ToSeconds(now - entry.used_at);
  }
  double weights = 0;
  for (const auto& other : this->teams) {
    if (other.get() == &entry || other->waiting + other->running > 0) {
      weights += other->weight;
    }
  }
  counters.share = entry.weight / weights;
  return counters;
}

}  // namespace kch::share
