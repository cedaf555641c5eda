#include "share/fair_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace kch::share {
namespace {

// Smaller weights would exceed the useful precision of virtual time.
constexpr double kMinWeight = 1e-3;

// Weight of the newest run time in the moving mean. About 20 tasks determine
// the mean: it follows a change of load within seconds, and one outlier does
// not dominate it.
constexpr double kRunTimeWeight = 0.05;

// Lower bound of the mean run time that Pop assumes, in seconds, as before any
// run time is known. Without it one team would get every slot that is free at
// one instant.
constexpr double kMinRunSeconds = 1e-3;

}  // namespace

void FairQueue::MeanRunTime::Add(double sample) {
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

// The clock advances only while tasks wait. Use of slots that no other team
// waits for is not charged and must not lower a team's priority later.
double FairQueue::ContendedClock(Time now) const {
  if (this->items.empty() || now <= this->clock_at) {
    return this->clock_seconds;
  }
  return this->clock_seconds + ToSeconds(now - this->clock_at);
}

void FairQueue::AdvanceClock(Time now) {
  this->clock_seconds = this->ContendedClock(now);
  this->clock_at = std::max(this->clock_at, now);
}

double FairQueue::VirtualTime(const Team& team, double clock) const {
  const double slots = static_cast<double>(team.running) +
                       (team.waiting > 0 ? team.external_slots : 0);
  return team.virtual_time + slots * (clock - team.charged_at) / team.weight;
}

void FairQueue::ChargeUsage(Team& team, Time now) {
  const double clock = this->ContendedClock(now);
  team.virtual_time = this->VirtualTime(team, clock);
  team.charged_at = clock;
  if (now > team.usage_updated_at) {
    team.slot_seconds += static_cast<double>(team.running) *
                         ToSeconds(now - team.usage_updated_at);
    team.usage_updated_at = now;
  }
}

double FairQueue::SystemVirtualTime(double clock) const {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& team : this->teams) {
    if (team->waiting > 0) {
      least = std::min(least, this->VirtualTime(*team, clock));
    }
  }
  return least == std::numeric_limits<double>::infinity()
             ? this->system_virtual_time
             : std::max(this->system_virtual_time, least);
}

double FairQueue::IdleBurst(const Team& team) {
  return kIdleBurstSlotSeconds / team.weight;
}

double FairQueue::MeanRunSeconds(const Team& team, Time now) const {
  if (team.run_time.samples > 0) {
    return team.run_time.seconds;
  }
  // The mean age of the running tasks is the estimate until one has ended.
  if (team.running > 0) {
    return ToSeconds(now.time_since_epoch()) -
           team.start_seconds_sum / static_cast<double>(team.running);
  }
  return this->run_time.seconds;
}

void FairQueue::SetTeamWeight(const TeamId& team, double weight, Time now) {
  Team& entry = *this->teams[this->TeamIndex(team)];
  this->ChargeUsage(entry, now);
  entry.weight = std::max(weight, kMinWeight);
}

void FairQueue::SetExternalSlots(const TeamId& team, double slots, Time now) {
  Team& entry = *this->teams[this->TeamIndex(team)];
  this->ChargeUsage(entry, now);
  entry.external_slots = std::max(slots, 0.0);
}

bool FairQueue::Push(QueuedTask queued, Time now) {
  if (this->items.contains(queued.task) || this->tasks.contains(queued.task)) {
    return false;
  }
  this->AdvanceClock(now);
  const std::size_t index = this->TeamIndex(queued.team);
  Team& team = *this->teams[index];
  this->ChargeUsage(team, now);
  if (team.waiting == 0) {
    this->system_virtual_time = this->SystemVirtualTime(this->clock_seconds);
    team.virtual_time = std::max(team.virtual_time,
                                 this->system_virtual_time - IdleBurst(team));
  }
  team.waiting += 1;
  this->sequence += 1;
  const TaskId task = queued.task;
  Item& item = this->items[task];
  item.queued = std::move(queued);
  item.team = index;
  const TimeKey deadline{item.queued.deadline, this->sequence};
  const TimeKey age{item.queued.enqueued, this->sequence};
  item.lane =
      team.lanes.try_emplace({!item.queued.urgent, item.queued.profile}).first;
  item.in_lane = item.lane->second.emplace(deadline, &item).first;
  item.in_deadlines = this->deadlines.emplace(deadline, &item).first;
  item.in_age = (item.queued.urgent ? team.age_urgent : team.age_normal)
                    .emplace(age, &item)
                    .first;
  return true;
}

QueuedTask FairQueue::Remove(Item* item, Time now) {
  this->AdvanceClock(now);
  Team& team = *this->teams[item->team];
  this->ChargeUsage(team, now);
  team.waiting -= 1;
  if (team.waiting == 0) {
    team.blocked_lag.reset();
  }
  item->lane->second.erase(item->in_lane);
  if (item->lane->second.empty()) {
    team.lanes.erase(item->lane);
  }
  this->deadlines.erase(item->in_deadlines);
  (item->queued.urgent ? team.age_urgent : team.age_normal).erase(item->in_age);
  QueuedTask queued = std::move(item->queued);
  this->items.erase(queued.task);
  return queued;
}

// Merges the lanes of a team in order of their deadlines. A lane holds the
// tasks of one profile, so that a blocked profile is skipped in one step.
FairQueue::Item* FairQueue::BestEligible(const Team& team,
                                         Time now,
                                         const Eligible& eligible) {
  using Cursor = std::pair<TimeOrder::const_iterator, const TimeOrder*>;
  const TimeKey expired{now, std::numeric_limits<std::uint64_t>::max()};
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
      switch (eligible(item->queued)) {
        case Eligibility::kEligible:
          return item;
        case Eligibility::kTaskBlocked:
          ++best->first;
          if (best->first == best->second->end()) {
            cursors.erase(best);
          }
          break;
        case Eligibility::kProfileBlocked:
          blocked.push_back(item->queued.profile);
          cursors.erase(best);
          break;
        case Eligibility::kTeamBlocked:
          return nullptr;
      }
    }
  }
  return nullptr;
}

// A team that may not start any task, because of its upper limit or its zone,
// accumulates no credit for the slots that others use meanwhile: its lag behind
// the served team is limited to the lag when the block was first detected.
void FairQueue::LimitLag(Team& team, double served, double clock) const {
  const double lag = served - this->VirtualTime(team, clock);
  if (!team.blocked_lag || lag <= *team.blocked_lag) {
    team.blocked_lag = std::max(lag, IdleBurst(team));
    return;
  }
  team.virtual_time = served - *team.blocked_lag;
  team.charged_at = clock;
}

FairQueue::Item* FairQueue::SelectReserved(Time now, const Eligible& eligible) {
  for (std::size_t i = 0; i < this->reservations.size(); ++i) {
    const Reservation& reservation = this->reservations[i];
    if (!reservation.slot_freed) {
      continue;
    }
    if (Item* item =
            BestEligible(*this->teams[reservation.to], now, eligible)) {
      this->EraseReservation(i);
      return item;
    }
  }
  return nullptr;
}

std::optional<QueuedTask> FairQueue::Pop(Time now, const Eligible& eligible) {
  this->PurgeReservations(now);
  if (Item* item = this->SelectReserved(now, eligible)) {
    return this->Remove(item, now);
  }
  this->AdvanceClock(now);
  const double clock = this->clock_seconds;
  struct Candidate {
    double projected_time;  // virtual time after the running and the next task
    double load;            // running tasks per weight
    Team* team;
    bool operator<(const Candidate& other) const {
      return std::tie(this->projected_time, this->load) >
             std::tie(other.projected_time, other.load);
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
  this->system_virtual_time = std::max(this->system_virtual_time, least);
  std::make_heap(heap.begin(), heap.end());
  std::vector<Team*> blocked;
  while (!heap.empty()) {
    std::pop_heap(heap.begin(), heap.end());
    Team& team = *heap.back().team;
    heap.pop_back();
    Item* item = BestEligible(team, now, eligible);
    if (item == nullptr) {
      blocked.push_back(&team);
      continue;
    }
    const double served = this->VirtualTime(team, clock);
    for (Team* other : blocked) {
      this->LimitLag(*other, served, clock);
    }
    // Teams that remain in the heap have caught up with the served one, so
    // a past block no longer limits their lag.
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
  this->ChargeUsage(entry, now);
  entry.running += 1;
  entry.start_seconds_sum += ToSeconds(now.time_since_epoch());
  Task& record = this->tasks[task];
  record.team = index;
  record.started = now;
  if (preemptible) {
    this->sequence += 1;
    record.preemptible =
        entry.preemptible.emplace(TimeKey{now, this->sequence}, task).first;
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
  this->ChargeUsage(team, now);
  team.running -= 1;
  team.start_seconds_sum -= ToSeconds(record.started.time_since_epoch());
  if (team.running == 0) {
    team.start_seconds_sum = 0;  // discards accumulated rounding errors
  }
  if (record.preemptible) {
    team.preemptible.erase(*record.preemptible);
  }
  if (record.stopping) {
    for (Reservation& reservation : this->reservations) {
      if (reservation.task == task && !reservation.slot_freed) {
        reservation.slot_freed = true;
        reservation.expires_at = now + kPreemptionGracePeriod;
        team.stopping -= 1;
      }
    }
  } else {
    // The run time of a checkpointed task is not that of a complete run.
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

// Weighted max-min fair allocation of slots: what a team does not demand of its
// share is divided among the other teams by weight. `extra` is the index of a
// team whose demand is counted one task higher. The index after the last one
// represents a team that is not in the queue.
std::vector<double> FairQueue::Entitlements(
    std::int64_t slots,
    std::optional<std::size_t> extra) const {
  struct Unsatisfied {
    std::size_t index;
    double weight;
    double demand;
  };
  std::vector<double> entitled(this->teams.size() + 1, 0.0);
  std::vector<Unsatisfied> unsatisfied;
  double weights = 0;
  for (std::size_t i = 0; i <= this->teams.size(); ++i) {
    const Team* team = i < this->teams.size() ? this->teams[i].get() : nullptr;
    const std::int64_t demand =
        (team != nullptr ? team->waiting + team->running : 0) +
        (extra == i ? 1 : 0);
    if (demand > 0) {
      const double weight = team != nullptr ? team->weight : 1.0;
      unsatisfied.push_back({i, weight, static_cast<double>(demand)});
      weights += weight;
    }
  }
  auto remaining = static_cast<double>(slots);
  while (!unsatisfied.empty()) {
    const double per_weight = remaining / weights;
    const auto satisfied = std::partition(
        unsatisfied.begin(), unsatisfied.end(), [&](const Unsatisfied& team) {
          return team.demand > per_weight * team.weight;
        });
    if (satisfied == unsatisfied.end()) {
      for (const Unsatisfied& team : unsatisfied) {
        entitled[team.index] = per_weight * team.weight;
      }
      break;
    }
    for (auto team = satisfied; team != unsatisfied.end(); ++team) {
      entitled[team->index] = team->demand;
      remaining -= team->demand;
      weights -= team->weight;
    }
    unsatisfied.erase(satisfied, unsatisfied.end());
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
  // beyond it, only the slots that its own tasks free.
  const double next = std::clamp(entitled - running, 0.0, position);
  const double seconds = next * pool / static_cast<double>(slots) +
                         (position - next) * own / std::max(entitled, 1e-9);
  if (seconds >= ToSeconds(kMaxExpectedWait)) {
    return kMaxExpectedWait;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

void FairQueue::EraseReservation(std::size_t position) {
  const Reservation& reservation = this->reservations[position];
  this->teams[reservation.to]->reserved_slots -= 1;
  if (!reservation.slot_freed) {
    this->teams[reservation.from]->stopping -= 1;
  }
  this->reservations.erase(this->reservations.begin() +
                           static_cast<std::ptrdiff_t>(position));
}

// Removes reservations that have expired because a worker ignored the
// checkpoint, and those of teams that have no waiting task any more.
void FairQueue::PurgeReservations(Time now) {
  for (std::size_t i = this->reservations.size(); i-- > 0;) {
    const Reservation& reservation = this->reservations[i];
    if (reservation.expires_at <= now ||
        this->teams[reservation.to]->waiting == 0) {
      this->EraseReservation(i);
    }
  }
}

std::optional<Preemption> FairQueue::PickPreemption(Time now,
                                                    std::int64_t slots,
                                                    const Eligible& eligible) {
  this->PurgeReservations(now);
  if (this->items.empty() || this->running() < slots) {
    return std::nullopt;
  }
  this->AdvanceClock(now);
  const std::vector<double> entitled = this->Entitlements(slots, std::nullopt);
  const auto held_slots = [&](const Team& team) {
    return static_cast<double>(team.running - team.stopping +
                               team.reserved_slots) +
           team.external_slots;
  };
  struct Underserved {
    std::size_t index;
    bool urgent;
    Time since;
  };
  std::vector<Underserved> underserved;
  for (std::size_t i = 0; i < this->teams.size(); ++i) {
    Team& team = *this->teams[i];
    // A gap of less than one slot results from rounding shares to whole slots;
    // short tasks open and close such gaps continually.
    const double gap = entitled[i] - held_slots(team);
    if (team.waiting == 0 || gap <= 0 || (gap < 1 && held_slots(team) >= 1)) {
      team.satisfied_at = now;
      continue;
    }
    const auto since = [&](const TimeOrder& age) {
      return std::max(age.begin()->first.first, team.satisfied_at);
    };
    if (!team.age_urgent.empty() &&
        since(team.age_urgent) + kUrgentPreemptionDelay <= now) {
      underserved.push_back({i, true, since(team.age_urgent)});
    } else if (!team.age_normal.empty() &&
               since(team.age_normal) + kPreemptionDelay <= now) {
      underserved.push_back({i, false, since(team.age_normal)});
    }
  }
  std::sort(underserved.begin(), underserved.end(),
            [](const Underserved& a, const Underserved& b) {
              return a.urgent != b.urgent ? a.urgent : a.since < b.since;
            });
  for (const Underserved& waiter : underserved) {
    const Team& to = *this->teams[waiter.index];
    if (eligible && BestEligible(to, now, eligible) == nullptr) {
      continue;
    }
    const double deficit = entitled[waiter.index] - held_slots(to);
    const double to_time = this->VirtualTime(to, this->clock_seconds);
    const double turn =
        waiter.urgent ? kUrgentTurnLeadSlotSeconds : kTurnLeadSlotSeconds;
    std::pair<double, double> furthest{0, 0};  // excess, virtual time
    std::optional<std::size_t> from;
    for (std::size_t i = 0; i < this->teams.size(); ++i) {
      const Team& team = *this->teams[i];
      const double excess = held_slots(team) - entitled[i];
      if (i == waiter.index || excess <= 0 || team.preemptible.empty()) {
        continue;
      }
      const double time = this->VirtualTime(team, this->clock_seconds);
      // Moving one slot brings both teams closer to their shares only if
      // excess and deficit add up to more than one slot; with less, the teams
      // would preempt each other back and forth. Teams entitled to a fraction
      // of a slot alternate, and the minimum lead spaces the preemptions.
      const bool closer = excess + deficit > 1 + 1e-9;
      const bool turns =
          held_slots(to) < 1 && (time - to_time) * team.weight >= turn;
      if ((closer || turns) && std::pair{excess, time} > furthest) {
        furthest = {excess, time};
        from = i;
      }
    }
    if (!from) {
      continue;
    }
    // The task started last loses the least work if its checkpoint fails.
    Team& victim = *this->teams[*from];
    const auto chosen = std::prev(victim.preemptible.end());
    Task& task = this->tasks.at(chosen->second);
    const Preemption preemption{chosen->second, victim.id, to.id};
    task.stopping = true;
    task.preemptible.reset();
    victim.preemptible.erase(chosen);
    victim.stopping += 1;
    this->teams[waiter.index]->reserved_slots += 1;
    this->reservations.push_back({preemption.task, *from, waiter.index,
                                  now + kPreemptionGracePeriod, false});
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
  if (now > entry.usage_updated_at) {
    counters.slot_seconds += static_cast<double>(entry.running) *
                             ToSeconds(now - entry.usage_updated_at);
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
