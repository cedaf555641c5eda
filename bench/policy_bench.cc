// Measures the scheduling policy with whole entries over the in-memory fakes of
// test/engine, in virtual time with a fixed seed. Baselines run beside it.
// Usage: bench_policy_bench [share|zone|load|urgent|config|cost]...
// Exits with 1 if an invariant was broken in any run.

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "test/engine/fleet.h"
#include "wire/wire.h"

namespace kch::engine::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr int kTeams = 6;
constexpr std::array<int, kTeams> kWeights{4, 4, 1, 1, 1, 1};
constexpr std::array<std::uint32_t, kTeams> kLimits{200, 200, 80, 80, 80, 80};
// Part of the demand that each team causes: the third asks for much more than
// its share.
constexpr std::array<double, kTeams> kDemand{0.3, 0.2, 0.3, 0.08, 0.07, 0.05};
constexpr Duration kStep = milliseconds(5);
constexpr Duration kPeak = seconds(4);
const std::vector<int> kPools{8, 10, 12, 10, 9};
constexpr int kSlots = 8;
constexpr double kQuantum = 0.25;  // slots, in the computation of fair shares
constexpr Duration kSample = milliseconds(50);
constexpr int kChanges = 200;
constexpr double kMeasured = 10;  // seconds

bool broken = false;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) * 1e-6;
}

double MsOf(Duration duration) {
  return static_cast<double>(duration.count()) * 1e-3;
}

std::string TeamName(int team) {
  return "t" + std::to_string(team);
}

struct Variant {
  const char* name;
  bool split = false;
  bool random = false;
  bool fifo = false;
};
constexpr std::array<Variant, 4> kVariants{
    {{.name = "kingcuphaven"},
     {.name = "split limits", .split = true},
     {.name = "random target", .random = true},
     {.name = "fifo queue", .fifo = true}}};

enum class Kind : std::uint8_t { kShort, kForecast, kNight };

std::string ProfileName(Kind kind, int pool) {
  const char* prefix = kind == Kind::kNight      ? "night"
                       : kind == Kind::kForecast ? "forecast"
                                                 : "short";
  return prefix + std::to_string(pool);
}

// One request as the program follows it.
struct Followed {
  enum class State : std::uint8_t { kWaiting, kRunning, kAnswered };
  int team = 0;
  int pool = 0;
  Kind kind = Kind::kShort;
  Time sent;
  Duration run{0};
  Time first_start = Time::max();
  State state = State::kWaiting;
  bool answered = false;
  bool stopped = false;  // checkpointed at least once
};

// A fleet with the configuration of a firm, its load and its record.
class Run {
 public:
  Run(std::vector<int> pools,
      int entries,
      const Variant& variant,
      bool cpu,
      std::uint32_t limit = 0)
      : pools(std::move(pools)), random(kSeed), limit(limit) {
    FleetOptions options;
    options.seed = kSeed;
    options.entries = entries;
    options.slots = kSlots;
    options.jitter = std::chrono::microseconds(500);
    options.pool_vms = this->pools;
    options.measure_cpu = cpu;
    options.settings.split_limits = variant.split;
    options.settings.fifo = variant.fifo;
    if (variant.random) {
      options.settings.routing.policy = route::RandomChoice{};
    }
    this->fleet = std::make_unique<Fleet>(options);
    this->entries = entries;
    this->name = variant.name;
    this->waiting.assign(kTeams, std::vector<int>(this->pools.size(), 0));
    this->running = this->waiting;
    this->Configure();
    auto& hooks = this->fleet->hooks;
    hooks.on_start = [this](const FakeWorker& worker, const Job& job,
                            int /*entry*/) {
      Followed& item = this->requests.at(Fleet::CallerOf(job));
      item.first_start = std::min(item.first_start, this->fleet->now());
      this->Set(item, Followed::State::kRunning);
      this->last_start[worker.zone.str()] = this->fleet->now();
    };
    hooks.on_end = [this](const FakeWorker& /*worker*/, const Job& job,
                          AttemptStatus status) {
      Followed& item = this->requests.at(Fleet::CallerOf(job));
      const bool again = status == AttemptStatus::kCheckpointed;
      this->checkpoints += again ? 1 : 0;
      item.stopped = item.stopped || again;
      this->Set(item, item.answered ? Followed::State::kAnswered
                                    : Followed::State::kWaiting);
    };
    hooks.on_answer = [this](const Caller& caller, std::size_t number) {
      // A request that is refused on arrival is answered within Submit.
      if (number >= this->requests.size()) {
        return;
      }
      Followed& item = this->requests[number];
      item.answered = true;
      if (item.state == Followed::State::kWaiting) {
        this->Set(item, Followed::State::kAnswered);
      }
      (void)caller;
    };
  }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;
  ~Run() {
    if (!this->fleet->violation.empty()) {
      std::printf("BROKEN INVARIANT (%s): %s\n", this->name,
                  this->fleet->violation.c_str());
      broken = true;
    }
  }

  std::size_t Submit(int team,
                     int pool,
                     Kind kind,
                     Duration run,
                     std::int64_t deadline_ms) {
    const std::size_t number = this->requests.size();
    this->requests.push_back({.team = team,
                              .pool = pool,
                              .kind = kind,
                              .sent = this->fleet->now(),
                              .run = run});
    ++this->waiting[team][pool];
    const int entry = static_cast<int>(this->random() % this->entries);
    this->fleet->Submit(entry, TeamName(team), run, "", true,
                        ProfileName(kind, pool), deadline_ms);
    return number;
  }

  // Requests of all teams to a pool during one step, at a part of its capacity.
  void Demand(int pool, double load, Kind kind, std::int64_t deadline_ms) {
    const bool urgent = kind == Kind::kShort;
    const double least = urgent ? 0.05 : 0.1;
    const double most = urgent ? 0.5 : 2.0;
    const double rate =
        load * this->pools[pool] * kSlots / ((least + most) / 2);
    for (int team = 0; team < kTeams; ++team) {
      const int count = std::poisson_distribution<>(
          rate * kDemand[team] * Seconds(kStep))(this->random);
      for (int i = 0; i < count; ++i) {
        const double run =
            std::uniform_real_distribution<>(least, most)(this->random);
        this->Submit(team, pool, kind,
                     Duration(static_cast<std::int64_t>(run * 1e6)),
                     deadline_ms);
      }
    }
  }

  // Each queue in turn gets 5 times its mean demand, a twentieth in between.
  void DemandInTurn(double mean, Kind kind, std::int64_t deadline_ms) {
    const auto turn =
        static_cast<std::size_t>(this->fleet->now().time_since_epoch() / kPeak);
    for (std::size_t pool = 0; pool < this->pools.size(); ++pool) {
      const bool peak = turn % this->pools.size() == pool;
      this->Demand(static_cast<int>(pool), mean * (peak ? 5.0 : 0.05), kind,
                   deadline_ms);
    }
  }

  // Keeps long jobs of the first three teams waiting in every pool.
  void KeepNightJobs() {
    for (int pool = 0; pool < static_cast<int>(this->pools.size()); ++pool) {
      for (int team = 0; team < 3; ++team) {
        while (this->night_waiting[{team, pool}] < 10) {
          // Uniform in the logarithm between 30 s and 10 min.
          const double run =
              30 * std::pow(20.0, std::uniform_real_distribution<>(
                                      0, 1)(this->random));
          ++this->night_waiting[{team, pool}];
          this->Submit(team, pool, Kind::kNight,
                       Duration(static_cast<std::int64_t>(run * 1e6)),
                       12LL * 3600 * 1000);
        }
      }
    }
  }

  [[nodiscard]] std::int64_t slots(int pool) const {
    return static_cast<std::int64_t>(this->pools[pool]) * kSlots;
  }
  [[nodiscard]] std::int64_t Capacity() const {
    std::int64_t total = 0;
    for (const int vms : this->pools) {
      total += static_cast<std::int64_t>(vms) * kSlots;
    }
    return total;
  }
  [[nodiscard]] std::int64_t RunningIn(int pool) const {
    std::int64_t count = 0;
    for (int team = 0; team < kTeams; ++team) {
      count += this->running[team][pool];
    }
    return count;
  }

  std::vector<int> pools;
  int entries = 0;
  const char* name = "";
  std::mt19937_64 random;
  std::uint32_t limit;  // of each team, instead of kLimits
  std::unique_ptr<Fleet> fleet;
  std::vector<Followed> requests;
  std::vector<std::vector<int>> waiting;  // by team and pool
  std::vector<std::vector<int>> running;
  std::map<std::pair<int, int>, int> night_waiting;
  std::map<std::string, Time> last_start;  // by zone
  std::int64_t checkpoints = 0;

 private:
  void Set(Followed& item, Followed::State state) {
    const auto count = [&](Followed::State which, int step) {
      if (which == Followed::State::kWaiting) {
        this->waiting[item.team][item.pool] += step;
        if (item.kind == Kind::kNight) {
          this->night_waiting[{item.team, item.pool}] += step;
        }
      } else if (which == Followed::State::kRunning) {
        this->running[item.team][item.pool] += step;
      }
    };
    count(item.state, -1);
    item.state = state;
    count(item.state, 1);
  }

  void Configure() {
    this->fleet->RunUntil(
        [this] {
          return this->fleet->entry(0).membership().HasFreshContact(
              this->fleet->now());
        },
        seconds(5));
    std::vector<config::Change> wanted;
    wanted.reserve(3 + 2 * kTeams + 4 * this->pools.size());
    for (int i = 0; i < 3; ++i) {
      wanted.emplace_back(
          config::SetZone{{ZoneId("z" + std::to_string(i)), true}});
    }
    for (int team = 0; team < kTeams; ++team) {
      const std::string id = TeamName(team);
      wanted.emplace_back(config::PutTeam{
          {.id = TeamId(id),
           .weight = static_cast<std::uint32_t>(kWeights[team]),
           .limit = this->limit > 0 ? this->limit : kLimits[team]}});
      wanted.emplace_back(config::GrantKey{
          {.id = KeyId("k" + id),
           .team = TeamId(id),
           .secret_sha256 = config::HashSecret(Fleet::SecretOf(id))}});
    }
    for (int pool = 0; pool < static_cast<int>(this->pools.size()); ++pool) {
      const PoolId id("p" + std::to_string(pool));
      wanted.emplace_back(config::PutPool{{.id = id, .max_unavailable = 1}});
      for (const Kind kind : {Kind::kShort, Kind::kForecast, Kind::kNight}) {
        config::Profile profile{.id = ProfileId(ProfileName(kind, pool)),
                                .pool = id};
        profile.urgent = kind != Kind::kNight;
        profile.preemptible = kind == Kind::kNight;
        profile.on_drain = kind == Kind::kNight ? config::OnDrain::kCheckpoint
                                                : config::OnDrain::kWait;
        profile.task_lease_ms = 10'000;
        wanted.emplace_back(config::PutProfile{profile});
      }
    }
    this->fleet->Apply(wanted);
    this->fleet->Run(seconds(2));
  }
};

// Slots each team should have now: slots of full pools go one quarter at a time
// to the team that has the least for its weight, over all full pools together.
std::vector<std::vector<double>> FairSlots(const Run& run,
                                           const std::vector<bool>& full) {
  const std::size_t pools = run.pools.size();
  std::vector<std::vector<double>> fair(kTeams, std::vector<double>(pools, 0));
  std::vector<double> left(pools, 0);
  std::vector<double> total(kTeams, 0);
  std::vector<double> bound(kTeams, 0);
  for (int team = 0; team < kTeams; ++team) {
    bound[team] = kLimits[team];
    for (std::size_t pool = 0; pool < pools; ++pool) {
      bound[team] -= full[pool] ? 0 : run.running[team][pool];
    }
  }
  for (std::size_t pool = 0; pool < pools; ++pool) {
    left[pool] =
        full[pool] ? static_cast<double>(run.slots(static_cast<int>(pool))) : 0;
  }
  while (true) {
    int best_team = -1;
    std::size_t best_pool = 0;
    double least = std::numeric_limits<double>::max();
    for (int team = 0; team < kTeams; ++team) {
      if (total[team] + kQuantum > bound[team]) {
        continue;
      }
      for (std::size_t pool = 0; pool < pools; ++pool) {
        const double demand = run.running[team][pool] + run.waiting[team][pool];
        if (left[pool] >= kQuantum && fair[team][pool] + kQuantum <= demand &&
            total[team] / kWeights[team] < least) {
          least = total[team] / kWeights[team];
          best_team = team;
          best_pool = pool;
        }
      }
    }
    if (best_team < 0) {
      return fair;
    }
    fair[best_team][best_pool] += kQuantum;
    total[best_team] += kQuantum;
    left[best_pool] -= kQuantum;
  }
}

double Percentile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(last * part))];
}

// ---------------------------------------------------------------- shares

void MeasureShare(const char* firm, bool long_jobs, const Variant& variant) {
  Run run(kPools, 6, variant, false);
  const Duration length = long_jobs ? seconds(120) : seconds(60);
  const Time begin = run.fleet->now();
  const Time warm = begin + seconds(long_jobs ? 20 : 4);
  std::vector<double> used(kTeams, 0);
  std::vector<double> due(kTeams, 0);
  // Since when a team has work waiting in a full pool and a slot or more less
  // than its share.
  std::map<std::pair<int, int>, Time> under;
  Duration longest{0};
  double full_seconds = 0;
  double starved = 0;
  Time next = warm;
  std::vector<double> delays;
  while (run.fleet->now() < begin + length) {
    if (long_jobs) {
      run.KeepNightJobs();
      run.DemandInTurn(0.15, Kind::kForecast, 20'000);
    } else {
      run.DemandInTurn(0.5, Kind::kShort, 20'000);
    }
    run.fleet->Run(kStep);
    const Time now = run.fleet->now();
    if (now < next) {
      continue;
    }
    next = now + kSample;
    std::vector<bool> full;
    for (int pool = 0; pool < static_cast<int>(kPools.size()); ++pool) {
      int queue = 0;
      for (int team = 0; team < kTeams; ++team) {
        queue += run.waiting[team][pool];
      }
      // A slot between two tasks is idle for some milliseconds; the pool is
      // full all the same while a backlog remains.
      full.push_back(queue > 0 &&
                     20 * run.RunningIn(pool) >= 17 * run.slots(pool));
      full_seconds += full.back() ? Seconds(kSample) : 0;
    }
    const auto fair = FairSlots(run, full);
    for (int team = 0; team < kTeams; ++team) {
      for (int pool = 0; pool < static_cast<int>(kPools.size()); ++pool) {
        const std::pair key{team, pool};
        if (!full[pool]) {
          under.erase(key);
          continue;
        }
        used[team] += run.running[team][pool] * Seconds(kSample);
        due[team] += fair[team][pool] * Seconds(kSample);
        if (run.waiting[team][pool] == 0 ||
            run.running[team][pool] + 1 > fair[team][pool]) {
          under.erase(key);
          continue;
        }
        const Time since = under.try_emplace(key, now).first->second;
        longest = std::max(longest, now - since);
        starved += Seconds(kSample);
      }
    }
  }
  double sum = 0;
  double away = 0;
  double worst = 0;
  std::string ratios;
  for (int team = 0; team < kTeams; ++team) {
    sum += due[team];
    away += std::abs(used[team] - due[team]);
    const double ratio = due[team] > 0 ? used[team] / due[team] : 1;
    worst = std::max(worst, std::abs(ratio - 1));
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), " %5.2f", ratio);
    ratios += text.data();
  }
  for (const Followed& item : run.requests) {
    if (item.kind != Kind::kNight && item.first_start != Time::max() &&
        item.sent >= warm) {
      delays.push_back(MsOf(item.first_start - item.sent));
    }
  }
  std::printf(
      "%-9s %-14s %s  %6.1f%% %6.1f%%  %8.0f ms %7.1f s %8.0f %8.0f %7.0f  "
      "%lld\n",
      firm, variant.name, ratios.c_str(), 100 * away / sum, 100 * worst,
      MsOf(longest), starved, Percentile(delays, 0.5), Percentile(delays, 0.99),
      full_seconds, static_cast<long long>(run.checkpoints));
}

void MeasureShares() {
  std::printf(
      "== share: slot-seconds used / due by weight in full pools, 6 entries, "
      "seed %llu\n"
      "   away: sum of |used - due| over due; worst: of one team; longest and "
      "total time that\n   a team with work waiting was a slot or more below "
      "its share; start delay in ms of\n   short tasks; pool-seconds full; "
      "checkpoints\n"
      "%-9s %-14s     t0    t1    t2    t3    t4    t5     away   worst"
      "  under max   total      p50      p99    full  checkpoints\n",
      static_cast<unsigned long long>(kSeed), "firm", "variant");
  for (const Variant& variant : kVariants) {
    MeasureShare("naidu", false, variant);
  }
  for (const Variant& variant : kVariants) {
    MeasureShare("colazione", true, variant);
  }
}

// ------------------------------------------------------------------ zones

void MeasureZone(const char* firm,
                 bool long_jobs,
                 bool lose_store,
                 const Variant& variant) {
  Run run(kPools, 6, variant, false);
  const Time begin = run.fleet->now();
  const Time out_at = begin + seconds(15);
  const Time back_at = out_at + seconds(30);
  const Time end = back_at + seconds(15);
  Time written = Time::max();
  Time returned = Time::max();
  bool out = false;
  bool back = false;
  run.fleet->hooks.on_write = [&](const std::string& key) {
    if (key != config::kHeadKey) {
      return;
    }
    if (out && written == Time::max()) {
      written = run.fleet->now();
      if (lose_store) {
        run.fleet->SetStoreDown(true);
      }
    } else if (back && returned == Time::max()) {
      returned = run.fleet->now();
    }
  };
  // Slots and use by phase: 0 before, 1 first 5 s out, 2 rest out, 3 first 5 s
  // after the return, 4 rest.
  std::array<double, 5> used{};
  std::array<double, 5> best{};
  Time zone_last = Time::min();
  Time zone_full = Time::max();
  while (run.fleet->now() < end) {
    for (int pool = 0; pool < static_cast<int>(kPools.size()); ++pool) {
      run.Demand(pool, long_jobs ? 0.2 : 1.5,
                 long_jobs ? Kind::kForecast : Kind::kShort, 5'000);
    }
    if (long_jobs) {
      run.KeepNightJobs();
    }
    const Time now = run.fleet->now();
    if (!out && now >= out_at) {
      out = true;
      run.fleet->Change(1, config::SetZone{{ZoneId("z1"), false}});
    }
    if (lose_store && now >= out_at + seconds(20)) {
      run.fleet->SetStoreDown(false);
    }
    if (!back && now >= back_at) {
      back = true;
      zone_last = run.last_start["z1"];
      run.fleet->Change(2, config::SetZone{{ZoneId("z1"), true}});
    }
    run.fleet->Run(kStep);
    if (now < begin + seconds(5)) {
      continue;
    }
    const bool is_out = written <= now && now < returned;
    const std::size_t phase = now < written ? 0
                              : is_out ? (now - written < seconds(5) ? 1 : 2)
                                       : (now - returned < seconds(5) ? 3 : 4);
    std::int64_t zone_busy = 0;
    std::int64_t zone_slots = 0;
    for (int i = 0; i < run.fleet->worker_count(); ++i) {
      const FakeWorker& worker = run.fleet->worker(i);
      if (worker.zone.str() == "z1") {
        zone_busy += worker.Running();
        zone_slots += worker.slots;
        if (is_out) {
          continue;
        }
      }
      used[phase] += static_cast<double>(worker.Running()) * Seconds(kStep);
      best[phase] += static_cast<double>(worker.slots) * Seconds(kStep);
    }
    if (now >= returned && zone_full == Time::max() &&
        10 * zone_busy >= 9 * zone_slots) {
      zone_full = now;
    }
  }
  const auto part = [&](int phase) { return 100 * used[phase] / best[phase]; };
  std::printf(
      "%-9s %-14s %-5s %6.1f%% %7.1f%% %7.1f%% %8.1f%% %7.1f%% %9.0f ms "
      "%9.1f s\n",
      firm, variant.name, lose_store ? "lost" : "up", part(0), part(1), part(2),
      part(3), part(4), zone_last <= written ? 0.0 : MsOf(zone_last - written),
      zone_full == Time::max() ? -1.0 : Seconds(zone_full - returned));
}

void MeasureZones() {
  std::printf(
      "== zone: one of three zones leaves for 30 s under full load; use of the "
      "slots in service\n   (best: 100%%); latest start in the zone after the "
      "write of the change; time from the\n   return until 90%% of the zone is "
      "in use\n"
      "%-9s %-14s %-5s %7s %8s %8s %9s %8s %12s %11s\n",
      "firm", "variant", "store", "before", "out 5 s", "rest", "back 5 s",
      "rest", "last start", "90% after");
  for (const bool long_jobs : {true, false}) {
    for (const Variant& variant : kVariants) {
      // Its scan over blocked tasks takes minutes with short requests.
      if (variant.fifo && !long_jobs) {
        continue;
      }
      for (const bool lose : {false, true}) {
        if (!lose || &variant == kVariants.data()) {
          MeasureZone(long_jobs ? "colazione" : "naidu", long_jobs, lose,
                      variant);
        }
      }
    }
  }
}

// ------------------------------------------------------------------- load

void MeasureLoad(double load, const Variant& variant) {
  // Limits that do not bind: the pools' capacity is what is measured.
  Run run(kPools, 6, variant, false, 400);
  const Time begin = run.fleet->now();
  const Time warm = begin + seconds(6);
  const Time end = begin + seconds(14);
  while (run.fleet->now() < end) {
    for (int pool = 0; pool < static_cast<int>(kPools.size()); ++pool) {
      run.Demand(pool, load, Kind::kShort, 5'000);
    }
    run.fleet->Run(kStep);
  }
  const bool settled = run.fleet->RunUntil(
      [&] { return run.fleet->Unanswered() == 0; }, seconds(30));
  std::vector<double> delays;
  double done = 0;
  std::map<std::string, int> outcomes;
  int false_not_run = 0;
  for (std::size_t i = 0; i < run.requests.size(); ++i) {
    const Followed& item = run.requests[i];
    const Caller& caller = run.fleet->callers[i];
    if (item.sent < warm) {
      continue;
    }
    if (item.first_start != Time::max()) {
      delays.push_back(MsOf(item.first_start - item.sent));
    }
    if (!caller.outcome) {
      ++outcomes["unanswered"];
      continue;
    }
    ++outcomes[std::string(NameOf(caller.outcome->kind))];
    const bool ran = item.first_start != Time::max();
    false_not_run +=
        ran && caller.outcome->kind == OutcomeKind::kNotRun ? 1 : 0;
  }
  for (std::size_t i = 0; i < run.requests.size(); ++i) {
    const Caller& caller = run.fleet->callers[i];
    if (caller.outcome && caller.outcome->kind == OutcomeKind::kDone &&
        caller.answered >= warm && caller.answered < end) {
      done += Seconds(run.requests[i].run);
    }
  }
  if (!settled || false_not_run > 0) {
    broken = true;
  }
  std::printf(
      "%4.1f  %-14s %8.1f %8.1f %8.1f  %6.1f%%  %7d %7d %7d %7d %7d  %d\n",
      load, variant.name, Percentile(delays, 0.5), Percentile(delays, 0.99),
      Percentile(delays, 1),
      100 * done / (Seconds(end - warm) * static_cast<double>(run.Capacity())),
      outcomes["done"], outcomes["failed"], outcomes["not_run"],
      outcomes["unknown"], outcomes["unanswered"], false_not_run);
}

void MeasureLoads() {
  std::printf(
      "== load: steady demand of short urgent requests, 6 entries, deadline "
      "5 s, 8 s measured, "
      "limits of 400;\n   start delay in ms, goodput as part of "
      "capacity, outcomes of the requests\n"
      "load  %-14s %8s %8s %8s  %7s  %7s %7s %7s %7s %7s  false not_run\n",
      "variant", "p50", "p99", "max", "goodput", "done", "failed", "not_run",
      "unknown", "open");
  for (const double load : {0.5, 0.8, 1.0, 2.0, 5.0}) {
    for (const Variant& variant : kVariants) {
      MeasureLoad(load, variant);
    }
  }
}

// ----------------------------------------------------------------- urgent

struct UrgentCase {
  const char* name;
  int night_teams;           // teams that fill the pool with long jobs
  std::vector<int> senders;  // of urgent tasks
  int burst;                 // tasks of each sender at once
  int rounds;
};

void MeasureUrgentCase(const UrgentCase& test, const Variant& variant) {
  Run run({10}, 6, variant, false);
  std::mt19937_64 lengths(kSeed);
  for (int team = 0; team < test.night_teams; ++team) {
    for (int i = 0; i < 100; ++i) {
      const double seconds_long =
          30 * std::pow(20.0, std::uniform_real_distribution<>(0, 1)(lengths));
      run.Submit(team, 0, Kind::kNight,
                 Duration(static_cast<std::int64_t>(seconds_long * 1e6)),
                 12LL * 3600 * 1000);
    }
  }
  run.fleet->Run(seconds(15));
  const std::int64_t full = run.RunningIn(0);
  const std::size_t first = run.requests.size();
  const std::int64_t before = run.checkpoints;
  for (int round = 0; round < test.rounds; ++round) {
    for (const int team : test.senders) {
      for (int i = 0; i < test.burst; ++i) {
        run.Submit(team, 0, Kind::kForecast, milliseconds(1500), 60'000);
      }
    }
    run.fleet->Run(seconds(6));
  }
  run.fleet->Run(seconds(60));
  std::vector<double> delays;
  int late = 0;
  int never = 0;
  for (std::size_t i = first; i < run.requests.size(); ++i) {
    const Followed& item = run.requests[i];
    if (item.first_start == Time::max()) {
      ++never;
      continue;
    }
    delays.push_back(MsOf(item.first_start - item.sent));
    late += delays.back() > 3900 ? 1 : 0;
  }
  std::printf("%-44s %-14s %4lld %6zu %8.0f %8.0f %8.0f %6d %6d %7lld\n",
              test.name, variant.name, static_cast<long long>(full),
              run.requests.size() - first, Percentile(delays, 0.5),
              Percentile(delays, 0.99), Percentile(delays, 1), late, never,
              static_cast<long long>(run.checkpoints - before));
}

void MeasureUrgent() {
  std::printf(
      "== urgent: start delay in ms of urgent tasks of 1.5 s in a pool of 80 "
      "slots that is full of\n   preemptible jobs; late: after more than 3.9 "
      "s; none: not started within 60 s\n%-44s %-14s full  tasks      p50      "
      "p99      max   late   none checkpoints\n",
      "case", "variant");
  const std::vector<UrgentCase> cases{
      {"one task of another team", 1, {3}, 1, 20},
      {"8 tasks of another team", 1, {3}, 8, 20},
      {"40 tasks of another team", 1, {1}, 40, 10},
      {"5 tasks of each of 4 teams, two fill", 2, {2, 3, 4, 5}, 5, 10},
      {"one task of the team that fills the pool", 1, {0}, 1, 10},
      {"5 tasks of a team at its share, two fill", 2, {1}, 5, 10},
  };
  for (const UrgentCase& test : cases) {
    MeasureUrgentCase(test, kVariants[0]);
  }
  MeasureUrgentCase(cases[0], kVariants[1]);
  MeasureUrgentCase(cases[0], kVariants[3]);
}

// ----------------------------------------------------------------- config

enum class Disturbance : std::uint8_t { kNone, kPaused, kStoreLost };

void MeasureConfig(int entries, Disturbance disturbance, const char* name) {
  Run run({10}, entries, kVariants[0], false);
  Fleet& fleet = *run.fleet;
  std::vector<config::Change> grants;
  for (int i = 0; i < kChanges / 2; ++i) {
    const std::string id = "w" + std::to_string(i);
    grants.emplace_back(
        config::GrantKey{{.id = KeyId(id),
                          .team = TeamId("t5"),
                          .secret_sha256 = config::HashSecret(id)}});
  }
  fleet.Apply(grants);
  std::array<std::vector<double>, 2> times;  // withdrawals, profile changes
  std::vector<double> after_resume;
  int missing = 0;
  bool armed = false;
  Time written;
  fleet.hooks.on_write = [&](const std::string& key) {
    if (armed && key == config::kHeadKey) {
      armed = false;
      written = fleet.now();
      if (disturbance == Disturbance::kStoreLost) {
        fleet.SetStoreDown(true);
      }
    }
  };
  for (int i = 0; i < kChanges; ++i) {
    const int writer = static_cast<int>(run.random() % entries);
    const int paused =
        (writer + 1 + static_cast<int>(run.random() % (entries - 1))) % entries;
    const bool pause = disturbance == Disturbance::kPaused;
    if (pause) {
      fleet.Pause(paused);
      fleet.Run(milliseconds(run.random() % 500));
    }
    config::Change change;
    if (i % 2 == 0) {
      change = config::WithdrawKey{KeyId("w" + std::to_string(i / 2))};
    } else {
      config::Profile profile = *fleet.entry(writer).configuration()->Find(
          ProfileId(ProfileName(Kind::kShort, 0)));
      profile.deadline_ms = 10'000 + static_cast<std::uint32_t>(i);
      change = config::PutProfile{profile};
    }
    const std::uint64_t wanted =
        fleet.entry(writer).configuration()->revision + 1;
    armed = true;
    written = Time::max();
    fleet.Change(writer, change);
    const auto in_force = [&](int skip) {
      for (int entry = 0; entry < entries; ++entry) {
        if (entry != skip &&
            fleet.entry(entry).configuration()->revision < wanted) {
          return false;
        }
      }
      return true;
    };
    const Time bound = fleet.now() + seconds(15);
    while (!in_force(pause ? paused : -1) && fleet.now() < bound) {
      fleet.Run(milliseconds(1));
    }
    missing += in_force(pause ? paused : -1) ? 0 : 1;
    times[i % 2].push_back(MsOf(fleet.now() - written));
    if (pause) {
      fleet.Run(seconds(1));
      fleet.Resume(paused);
      const Time resumed = fleet.now();
      while (!in_force(-1) && fleet.now() < bound) {
        fleet.Run(milliseconds(1));
      }
      missing += in_force(-1) ? 0 : 1;
      after_resume.push_back(MsOf(fleet.now() - resumed));
    }
    fleet.SetStoreDown(false);
    fleet.Run(milliseconds(1000 + run.random() % 500));
  }
  std::printf("%7d  %-28s %9.0f %9.0f %9.0f %9.0f %12.0f %8d\n", entries, name,
              Percentile(times[0], 0.5), Percentile(times[0], 1),
              Percentile(times[1], 0.5), Percentile(times[1], 1),
              Percentile(after_resume, 1), missing);
}

void MeasureConfigs() {
  std::printf(
      "== config: ms from the write of a change until every entry that runs "
      "has it in force, 200\n   changes each; last: of the paused entry, from "
      "its resumption; open: not within 15 s\n"
      "entries  %-28s key p50  key worst  profile p50  worst  last worst   "
      "open\n",
      "disturbance");
  for (const int entries : {6, 9}) {
    MeasureConfig(entries, Disturbance::kNone, "none");
    MeasureConfig(entries, Disturbance::kPaused, "an entry paused");
    MeasureConfig(entries, Disturbance::kStoreLost,
                  "store lost after the write");
  }
}

// ------------------------------------------------------------------- cost

void MeasureCost(int entries, int pools, double rate) {
  const std::vector<int> sizes(static_cast<std::size_t>(pools), 10);
  Run run(sizes, entries, kVariants[0], true);
  Fleet& fleet = *run.fleet;
  std::vector<std::uint64_t> bytes(static_cast<std::size_t>(entries), 0);
  std::map<std::string, std::uint64_t> bytes_by_kind;
  const auto drive = [&](Duration length) {
    const Time end = fleet.now() + length;
    while (fleet.now() < end) {
      for (int pool = 0; pool < pools; ++pool) {
        // Short requests last 0.275 s on average.
        run.Demand(pool, rate * 0.275 / (pools * 10.0 * kSlots), Kind::kShort,
                   20'000);
      }
      fleet.Run(kStep);
    }
  };
  drive(seconds(5));
  std::uint64_t heartbeat_bytes = 0;
  fleet.hooks.on_message = [&](int entry, const Message& message) {
    const std::size_t size = wire::Encode(message).size();
    bytes[static_cast<std::size_t>(entry)] += size;
    if (std::holds_alternative<Heartbeat>(message.body)) {
      heartbeat_bytes += size;
    }
  };
  std::vector<NodeCounters> before;
  before.reserve(static_cast<std::size_t>(entries));
  for (int i = 0; i < entries; ++i) {
    before.push_back(fleet.counters(i));
  }
  drive(seconds(10));
  NodeCounters sum;
  NodeCounters most;
  std::uint64_t sum_bytes = 0;
  std::size_t watches = 0;
  for (int i = 0; i < entries; ++i) {
    const NodeCounters& now = fleet.counters(i);
    const NodeCounters& then = before[static_cast<std::size_t>(i)];
    sum.reads += now.reads - then.reads;
    sum.writes += now.writes - then.writes;
    sum.watches += now.watches - then.watches;
    sum.messages += now.messages - then.messages;
    const double cpu = now.step_seconds - then.step_seconds;
    sum.step_seconds += cpu;
    most.step_seconds = std::max(most.step_seconds, cpu);
    sum_bytes += bytes[static_cast<std::size_t>(i)];
    watches += fleet.watches(i);
  }
  const auto each = [&](double total) { return total / kMeasured / entries; };
  std::printf(
      "%7d %5d %6.0f %8.2f %8.2f %8.2f %8.1f %9.1f %9.0f %9.0f %8.2f%% "
      "%8.2f%%\n",
      entries, pools, rate, each(static_cast<double>(sum.reads)),
      each(static_cast<double>(sum.writes)),
      each(static_cast<double>(sum.watches)),
      static_cast<double>(watches) / entries,
      each(static_cast<double>(sum.messages)),
      each(static_cast<double>(sum_bytes)),
      each(static_cast<double>(heartbeat_bytes)), 100 * each(sum.step_seconds),
      100 * most.step_seconds / kMeasured);
}

void MeasureCosts() {
  std::printf(
      "== cost: per entry and second of virtual time; pools of 10 VMs; "
      "requests a second over the\n   fleet; watches: replies received, and "
      "standing ones; bytes as src/wire encodes them;\n   processor time of "
      "Step, mean and of the busiest entry\n"
      "entries pools  req/s    reads   writes  watched standing  messages     "
      "bytes heartbeat      cpu  busiest\n");
  for (const double rate : {0.0, 700.0}) {
    for (const int entries : {3, 6, 9, 18, 36}) {
      MeasureCost(entries, 5, rate);
    }
    for (const int pools : {1, 5, 15, 33}) {
      MeasureCost(6, pools, std::min(rate, 250.0));
    }
  }
}

}  // namespace
}  // namespace kch::engine::test

int main(int count, char** arguments) {
  using namespace kch::engine::test;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::vector<std::pair<std::string, void (*)()>> sections{
      {"share", MeasureShares},   {"zone", MeasureZones},
      {"load", MeasureLoads},     {"urgent", MeasureUrgent},
      {"config", MeasureConfigs}, {"cost", MeasureCosts}};
  const std::set<std::string> chosen(arguments + 1, arguments + count);
  for (const auto& [name, measure] : sections) {
    if (chosen.empty() || chosen.contains(name)) {
      measure();
    }
  }
  return broken ? 1 : 0;
}
