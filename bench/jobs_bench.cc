// Measures a pass of the scheduler's decisions over full pools, by the number
// of waiting jobs.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "jobs/jobs.h"

namespace kch::jobs {
namespace {

using std::chrono::milliseconds;

constexpr int kPools = 5;
constexpr int kVmsPerPool = 70;
constexpr int kPasses = 200;
constexpr std::int64_t kCores = 32'000;
constexpr std::int64_t kMemoryMb = 131'072;

struct Site {
  Scheduler scheduler{Limits{}};
  Time now{std::chrono::seconds(1000)};
  std::int64_t wall_ms = 1'000'000;
  int jobs = 0;

  Site() {
    FleetConfig config{.version = 1};
    for (int p = 0; p < kPools; ++p) {
      const std::string name = std::to_string(p);
      config.pools[PoolId("p" + name)] = {};
      config.queues[QueueId("q" + name)] = {.id = QueueId("q" + name),
                                            .pool = PoolId("p" + name),
                                            .priority = 1,
                                            .max_attempts = 3,
                                            .stretch = 1.6,
                                            .target_ms = 600};
    }
    this->scheduler.SetConfig(config, this->now);
    this->config = config;
    for (int i = 0; i < kPools * kVmsPerPool; ++i) {
      const VmId id("vm" + std::to_string(i));
      this->scheduler.SetVm({.id = id,
                             .pool = PoolId("p" + std::to_string(i % kPools)),
                             .address = "10.0.0.1:80",
                             .zone = ZoneId("z" + std::to_string(i % 3)),
                             .rack = RackId("r" + std::to_string(i / 8)),
                             .capacity = {kCores, kMemoryMb, 0},
                             .boot_ms = 1},
                            this->now);
      this->scheduler.OnVmPersisted(id);
    }
    this->scheduler.BeginRecovery(this->now, this->wall_ms);
    this->scheduler.Tick(this->now, this->wall_ms);
    for (int i = 0; i < kPools * kVmsPerPool; ++i) {
      this->scheduler.OnReport(VmId("vm" + std::to_string(i)),
                               {.clock_ms = 5000, .boot_ms = 1}, this->now,
                               this->now);
    }
    this->Pass();
  }

  void AddJobs(int count) {
    for (int i = 0; i < count; ++i, ++this->jobs) {
      const int step_tasks = 4 + this->jobs % 9;
      StepSpec first{.count = step_tasks,
                     .need = {1000 + 37 * (this->jobs % 101),
                              4000 + 113 * (this->jobs % 89), 0},
                     .estimate_ms = 1000};
      StepSpec second = first;
      second.depends_on = {0};
      JobSpec spec{.id = JobId("job" + std::to_string(this->jobs)),
                   .queue = this->config.queues.at(
                       QueueId("q" + std::to_string(this->jobs % kPools))),
                   .team = TeamId("t"),
                   .payload = std::string(600, 'x'),
                   .steps = {first, second}};
      this->scheduler.AddJob(std::move(spec), "", 0, false, this->now,
                             this->now);
    }
  }

  void Pass() {
    this->now += milliseconds(1);
    this->scheduler.Plan(this->now, this->wall_ms);
    this->scheduler.Tick(this->now, this->wall_ms);
    static_cast<void>(this->scheduler.TakeEffects());
  }

  FleetConfig config;
};

void Measure(int waiting) {
  Site site;
  site.AddJobs(700 + waiting);  // the first 700 fill the pools
  site.Pass();
  const auto begun = std::chrono::steady_clock::now();
  for (int i = 0; i < kPasses; ++i) {
    site.Pass();
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - begun;
  std::int64_t pending = 0;
  for (int p = 0; p < kPools; ++p) {
    pending += site.scheduler.Pending(QueueId("q" + std::to_string(p)));
  }
  std::printf("%8d VMs %8lld jobs waiting %10.1f us a pass\n",
              kPools * kVmsPerPool, static_cast<long long>(pending),
              spent.count() / kPasses);
}

}  // namespace
}  // namespace kch::jobs

int main() {
  for (const int waiting : {0, 250, 500, 1000, 2000}) {
    kch::jobs::Measure(waiting);
  }
  return EXIT_SUCCESS;
}
