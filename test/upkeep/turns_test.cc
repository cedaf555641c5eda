#include <boost/test/unit_test.hpp>

#include "test/upkeep/mover_sim.h"

// The mover and the scheduler together, in virtual time, under queues whose
// demand rises by turns beyond the capacity of their pools.

namespace kch::upkeep {
namespace {

using std::chrono::milliseconds;
using test::MoverSim;

constexpr int kPools = 4;
constexpr int kMachinesPerPool = 10;
constexpr int kStandbyMachines = 8;
constexpr std::int64_t kTurnMs = 4500;

// What callers get: jobs by their age at their end.
struct Outcome {
  int jobs = 0;
  int on_time = 0;
  std::size_t moves = 0;
  double machine_s = 0;  // of machines outside of the standby pool
};

// What the mover sizes pools by.
enum class Sizing : std::uint8_t {
  kBacklog,  // work that waits
  kPeaks,    // arriving work; pools retain their peaks
  kTurns,    // the same, with the order of turns
};

class TurnsSim {
 public:
  explicit TurnsSim(Sizing sizing) : sizing(sizing) {
    for (int p = 0; p < kPools; ++p) {
      this->fleet.AddPool(PoolName(p), false);
      for (int m = 0; m < kMachinesPerPool; ++m) {
        this->fleet.AddMachine(PoolName(p) + "-" + std::to_string(m),
                               PoolId(PoolName(p)));
      }
    }
    for (int m = 0; m < kStandbyMachines; ++m) {
      this->fleet.AddMachine("s-" + std::to_string(m), PoolId("standby"));
    }
    this->fleet.adjust = [this](const auto& states, auto& demands) {
      this->Adjust(states, demands);
    };
  }

  // Each queue has its turn twice, after a time without load.
  Outcome Run() {
    constexpr std::int64_t quiet_ms = 10'000;
    this->RunFor(quiet_ms, -1);
    for (int turn = 0; turn < 2 * kPools; ++turn) {
      this->RunFor(kTurnMs, turn % kPools);
    }
    this->RunFor(quiet_ms, -1);
    BOOST_TEST(this->fleet.sim.violations.empty());
    constexpr double ms_per_s = 1000;
    Outcome outcome{
        .moves = this->fleet.move_count,
        .machine_s = static_cast<double>(this->fleet.pool_ms) / ms_per_s};
    for (const auto& [id, submitted_at] : this->submitted) {
      ++outcome.jobs;
      const auto ended = this->ended.find(id);
      outcome.on_time += ended != this->ended.end() &&
                         ended->second - submitted_at <= kObjective;
    }
    return outcome;
  }

 private:
  // Two steps of 400 ms at a stretch of 1.6, and 600 ms.
  static constexpr auto kObjective = milliseconds(1880);

  static std::string PoolName(int pool) { return "p" + std::to_string(pool); }

  void RunFor(std::int64_t ms, int busy_queue) {
    for (std::int64_t passed = 0; passed < ms; passed += MoverSim::kTickMs) {
      for (int p = 0; p < kPools; ++p) {
        // A job has 5 core-seconds; a pool has 80 cores.
        const double jobs_per_s = p == busy_queue ? 26 : 0.8;
        this->due[p] += jobs_per_s * MoverSim::kTickMs / 1000;
        for (; this->due[p] >= 1; this->due[p] -= 1) {
          this->Submit(PoolName(p));
        }
      }
      this->fleet.Tick();
      this->NoteEnds();
    }
  }

  void Submit(const std::string& queue) {
    const std::string id = "j" + std::to_string(++this->job_count);
    jobs::JobSpec job = jobs::test::SimpleJob(id, queue, 6, 1000, 400);
    job.queue = this->fleet.sim.config.queues.at(jobs::QueueId(queue));
    job.steps.push_back(job.steps.front());
    job.steps.back().depends_on = {0};
    this->submitted[id] = this->fleet.sim.now;
    this->open.insert(id);
    this->fleet.sim.Submit(std::move(job));
  }

  void NoteEnds() {
    std::erase_if(this->open, [this](const std::string& id) {
      if (this->fleet.sim.StateOf(id) != jobs::JobState::kCompleted) {
        return false;
      }
      this->ended[id] = this->fleet.sim.now;
      return true;
    });
  }

  void Adjust(const MoverSim::States& states, MoverSim::Demands& demands) {
    const Time now = this->fleet.sim.now;
    for (auto& [id, pool] : demands) {
      if (this->sizing == Sizing::kBacklog) {
        pool.need = pool.used + pool.waiting;
        pool.peak = jobs::Resources{};
      } else if (this->sizing == Sizing::kPeaks) {
        PoolForecast& alone =
            this->pool_forecasts.try_emplace(id, now).first->second;
        alone.Observe(states.at(id).demand, now);
        pool.peak = alone.Peak(now);
      }
      if (this->sizing != Sizing::kTurns) {
        pool.expected = {};
      }
    }
  }

  Sizing sizing;
  MoverSim fleet;
  std::map<PoolId, PoolForecast> pool_forecasts;
  std::map<int, double> due;
  std::map<std::string, Time> submitted;
  std::map<std::string, Time> ended;
  std::set<std::string> open;
  int job_count = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(TurnsTest)

// Guards against a turn whose first seconds are late: machines that left for
// the standby pool before it, others that are ordered only once work waits, and
// pools that are emptied for a backlog that needs fewer machines.
BOOST_AUTO_TEST_CASE(ForecastsHalveTheLateJobsOfTurns) {
  const Outcome without = TurnsSim(Sizing::kBacklog).Run();
  const Outcome outcome = TurnsSim(Sizing::kTurns).Run();
  BOOST_TEST(
      2 * (outcome.jobs - outcome.on_time) <= without.jobs - without.on_time,
      outcome.on_time << " of " << outcome.jobs << " jobs on time, "
                      << without.on_time << " without forecasts");
  BOOST_TEST(outcome.moves <= without.moves, outcome.moves
                                                 << " moves, " << without.moves
                                                 << " without forecasts");
}

// Guards against machines that are paid for, or are in the wrong pool, while
// the turns of other queues last.
BOOST_AUTO_TEST_CASE(TheOrderOfTurnsSavesMachinesAndLateJobs) {
  const Outcome peaks = TurnsSim(Sizing::kPeaks).Run();
  const Outcome turns = TurnsSim(Sizing::kTurns).Run();
  BOOST_TEST(2 * (turns.jobs - turns.on_time) <= peaks.jobs - peaks.on_time,
             turns.on_time << " of " << turns.jobs << " jobs on time, "
                           << peaks.on_time << " by peaks alone");
  BOOST_TEST(turns.machine_s <= 0.95 * peaks.machine_s,
             turns.machine_s << " machine-seconds, " << peaks.machine_s
                             << " by peaks alone");
  BOOST_TEST(turns.moves <= peaks.moves,
             turns.moves << " moves, " << peaks.moves << " by peaks alone");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
