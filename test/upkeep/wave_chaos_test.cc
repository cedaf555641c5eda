#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>

#include "upkeep/upkeep.h"

namespace kch::upkeep {
namespace {

constexpr std::int64_t kTickMs = 25;
constexpr std::int64_t kDisturbedMs = 20'000;
constexpr std::int64_t kCalmMs = 90'000;
constexpr int kMaxUnavailable = 2;
// By then a list shows a machine that has returned, and the wave is under way.
constexpr Duration kReturnTime = std::chrono::milliseconds(3500);

Duration Ms(std::int64_t ms) {
  return std::chrono::milliseconds(ms);
}

// A wave over a model of the platform and its store, in virtual time. Machines
// join, leave and return, lists leave machines out, operators write the wave
// anew or create it again, orders are refused or get no answer, and owners
// follow each other.
class WaveChaos {
 public:
  explicit WaveChaos(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < 6; ++i) {
      this->Join();
    }
    this->WriteWave();
    this->TakeOver();
  }

  void Run(std::int64_t ms, bool disturbed) {
    const Time end = this->now + Ms(ms);
    while (this->now < end) {
      this->now += Ms(kTickMs);
      if (disturbed) {
        this->Disturb();
      }
      this->Deliver();
      this->planner->Tick(this->now, [](const VmId&) { return VmLoad{}; });
      for (const Effect& effect : this->planner->TakeEffects()) {
        this->Perform(effect);
      }
    }
  }

  // What is left to do.
  std::string Unfinished() const {
    std::string text = this->completed ? "" : "not completed;";
    for (const MachineId& id : this->record.machines) {
      if (this->machines.at(id).present && !this->HasBegun(id)) {
        text += " " + id.str();
      }
    }
    return text;
  }

  std::string broken;

 private:
  struct PlatformMachine {
    bool present = true;
    Time present_since;
    Time listed_after;  // lists leave it out before
    std::optional<Time> down_until;
    std::uint64_t down_for = 0;     // creation of the wave
    std::set<std::uint64_t> begun;  // the same of its upkeep
    int lives = 0;
  };

  bool Chance(double share) {
    return std::uniform_real_distribution<>(0, 1)(this->random) < share;
  }
  std::int64_t Between(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least,
                                                       most)(this->random);
  }
  void Later(std::int64_t least, std::int64_t most, std::function<void()> act) {
    this->events.emplace(this->now + Ms(this->Between(least, most)),
                         std::move(act));
  }
  void Deliver() {
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
      const auto act = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      act();
    }
    for (auto& [id, machine] : this->machines) {
      if (machine.down_until && this->now >= *machine.down_until) {
        machine.down_until.reset();
        ++machine.lives;
      }
    }
  }
  [[nodiscard]] bool HasBegun(const MachineId& id) const {
    return this->machines.at(id).begun.contains(this->record.created);
  }
  void Break(const std::string& what) {
    this->broken +=
        what + " at " + std::to_string(ToMs(this->now - kStart)) + " ms; ";
  }

  void Join() {
    const MachineId id("m" + std::to_string(this->machines.size()));
    this->machines[id] = {.present_since = this->now};
  }
  MachineId AnyMachine() {
    auto row = this->machines.begin();
    std::advance(row, this->Between(0, std::ssize(this->machines) - 1));
    return row->first;
  }

  void WriteWave() {
    ++this->revision;
    if (!this->record_present) {
      this->record.created = this->revision;
      this->record_present = true;
    }
    this->record.id = WaveId("1");
    this->record.max_unavailable = kMaxUnavailable;
    this->record.duration = std::chrono::seconds(30);
    this->record.machines.clear();
    for (const auto& [id, machine] : this->machines) {
      if (machine.present && this->Chance(0.8)) {
        this->record.machines.insert(id);
      }
    }
    this->written_at = this->now;
    this->Later(1, 400, [this, wave = this->record, at = this->revision] {
      if (at < this->observed.revision) {
        return;
      }
      this->observed.Observe(wave, at, this->now);
      this->planner->SetWave(this->observed, this->now);
    });
  }
  void RemoveWave() {
    ++this->revision;
    this->record_present = false;
    this->record.machines.clear();
    if (this->Chance(0.5)) {  // or it falls into a gap of the watch
      this->Later(1, 100, [this, at = this->revision] {
        if (at >= this->observed.revision) {
          this->planner->RemoveWave(WaveId("1"), this->now);
          this->observed = {};
        }
      });
    }
    this->Later(1, 2000, [this] { this->WriteWave(); });
  }
  void TakeOver() {
    this->planner.emplace(Limits{}, this->now + Ms(100));
    ++this->owner;
    this->planner->SetStarted(WaveId("1"), this->stored);
    std::erase_if(this->ordered, [this](const auto& row) {
      return this->now - this->ordered_at.at(row.first) > Ms(3000);
    });
    this->planner->SetPredecessorOrders(this->ordered, this->now);
    if (!this->observed.order.id.empty()) {
      this->planner->SetWave(this->observed, this->now);
    }
  }

  void Disturb() {
    if (this->Chance(0.006)) {
      this->Join();
    }
    if (this->Chance(0.02)) {
      PlatformMachine& machine = this->machines.at(this->AnyMachine());
      if (!machine.down_until) {
        machine.present = !machine.present;
        machine.present_since = this->now;
      }
    }
    if (this->Chance(0.03)) {
      this->machines.at(this->AnyMachine()).listed_after =
          this->now + Ms(this->Between(1, 450));
    }
    if (this->record_present && this->Chance(0.005)) {
      this->WriteWave();
    } else if (this->record_present && this->Chance(0.004)) {
      this->RemoveWave();
    }
    if (this->Chance(0.003) && this->open_orders == 0) {
      this->TakeOver();
    }
  }

  std::vector<Machine> List() const {
    std::vector<Machine> list;
    for (const auto& [id, machine] : this->machines) {
      if (!machine.present || this->now < machine.listed_after) {
        continue;
      }
      list.push_back(
          {.id = id,
           .pool = PoolId("p"),
           .state =
               machine.down_until ? MachineState::kUpkeep : MachineState::kUp,
           .vm = VmId(id.str() + "-" + std::to_string(machine.lives))});
    }
    return list;
  }

  OrderAnswer Execute(const MachineId& id) {
    PlatformMachine& machine = this->machines.at(id);
    if (!machine.present) {
      return OrderAnswer::kNoMachine;
    }
    // The platform learns of the wave a little later than its store.
    if (!this->record_present || !this->record.machines.contains(id) ||
        this->now - this->written_at < Ms(150)) {
      return OrderAnswer::kNotInWave;
    }
    if (this->HasBegun(id)) {
      return OrderAnswer::kDone;
    }
    if (machine.down_until) {
      return OrderAnswer::kBusy;
    }
    const auto down = std::ranges::count_if(this->machines, [&](const auto& m) {
      return m.second.down_until && m.second.down_for == this->record.created;
    });
    if (down >= kMaxUnavailable) {
      this->Break("LIMIT");
    }
    machine.begun.insert(this->record.created);
    machine.down_for = this->record.created;
    machine.down_until = this->now + Ms(2000);
    return OrderAnswer::kDone;
  }

  void Store(const SaveWave& save, int by) {
    const bool holds =
        !save.completed ||
        (this->record_present && save.observed_revision == this->revision);
    const bool stored = by == this->owner && holds && !this->Chance(0.05);
    if (stored) {
      this->stored = save.started;
      this->completed = save.completed;
      for (const MachineId& id : this->record.machines) {
        const PlatformMachine& machine = this->machines.at(id);
        const bool stays = machine.present &&
                           (machine.present_since <= this->written_at ||
                            this->now - machine.present_since > kReturnTime);
        if (save.completed && stays && !this->HasBegun(id)) {
          this->Break("MIXED " + id.str());
        }
      }
    }
    this->Later(1, 50, [this, by, stored] {
      if (by == this->owner) {
        this->planner->OnWaveSaved(WaveId("1"), stored, this->now);
      }
    });
  }

  void Perform(const Effect& effect) {
    if (std::holds_alternative<ReadMachines>(effect)) {
      // Each page is as of its own time.
      this->Later(1, 30, [this, by = this->owner, first = this->List()] {
        std::vector<Machine> list = first;
        std::erase_if(list, [](const Machine& machine) {
          return machine.id.str().back() % 2 == 0;
        });
        for (const Machine& machine : this->List()) {
          if (machine.id.str().back() % 2 == 0) {
            list.push_back(machine);
          }
        }
        if (by == this->owner) {
          this->planner->OnMachineList(list, this->now);
        }
      });
    } else if (const auto* order = std::get_if<OrderUpkeep>(&effect)) {
      ++this->open_orders;
      this->ordered[order->machine] = order->vm;
      this->ordered_at[order->machine] = this->now;
      this->Later(1, 60, [this, order = *order, by = this->owner] {
        const bool lost = this->Chance(0.1);
        const OrderAnswer answer = lost && this->Chance(0.5)
                                       ? OrderAnswer::kUnknown
                                       : this->Execute(order.machine);
        this->Later(1, 60, [this, order, by, answer, lost] {
          --this->open_orders;
          if (by == this->owner) {
            this->planner->OnOrderAnswer(order.machine, order.wave,
                                         lost ? OrderAnswer::kUnknown : answer,
                                         this->now);
          }
        });
      });
    } else if (const auto* save = std::get_if<SaveWave>(&effect)) {
      this->Later(1, 30, [this, save = *save, by = this->owner] {
        this->Store(save, by);
      });
    }
  }

  static constexpr Time kStart{std::chrono::seconds(100)};

  std::mt19937_64 random;
  Time now = kStart;
  std::multimap<Time, std::function<void()>> events;
  std::map<MachineId, PlatformMachine> machines;
  WaveOrder record;  // in the store
  bool record_present = false;
  std::uint64_t revision = 0;
  Time written_at;
  StartedMachines stored;
  bool completed = false;
  ObservedWave observed;
  std::optional<Planner> planner;
  int owner = 0;
  int open_orders = 0;
  OrderedMachines ordered;  // as OrderGate stores them
  std::map<MachineId, Time> ordered_at;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(WaveChaosTest)

// Guards against waves that are completed without the upkeep of a machine that
// stays, that exceed their limit, or that never end.
BOOST_AUTO_TEST_CASE(WavesAreCompletedWithAllTheirUpkeep) {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    WaveChaos chaos(seed);
    chaos.Run(kDisturbedMs, true);
    chaos.Run(kCalmMs, false);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(chaos.broken == "");
      BOOST_TEST(chaos.Unfinished() == "");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
