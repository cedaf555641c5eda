#include "test/process/fleet_soak.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <iterator>
#include <limits>
#include <optional>
#include <thread>
#include <utility>

#include "test/process/fleet.h"

namespace kch::test {
namespace {

using fake::CallFault;

// Every third seed has a fleet whose owner uses relays.
constexpr std::size_t kFewVms = 8;
constexpr std::size_t kManyVms = 100;
constexpr std::uint64_t kManyVmsInterval = 3;
constexpr int kZones = 3;
constexpr std::int64_t kUsPerMs = 1000;

std::int64_t NowMs() {
  return WallUs() / kUsPerMs;
}

}  // namespace

FleetSoak::Profile FleetSoak::OverlappingFaults(std::uint64_t seed) {
  using Soak = FleetSoak;
  return {
      .instances = 4,
      .platform = {.vms = seed % kManyVmsInterval == 0 ? kManyVms : kFewVms,
                   .addresses = 4},
      .actions = {&Soak::PauseAny, &Soak::PauseAny, &Soak::CutOff, &Soak::Mute,
                  &Soak::EndProcess, &Soak::DisturbCalls, &Soak::TakeStoreDown,
                  &Soak::RestartVm, &Soak::DisturbWrites, &Soak::HandIn,
                  &Soak::HandIn, &Soak::HandIn}};
}

FleetSoak::Profile FleetSoak::HandOvers(std::uint64_t /*seed*/) {
  using Soak = FleetSoak;
  constexpr std::int64_t max_lease_ms = 10'000;
  return {.instances = 6,
          .platform = {.vms = 18,
                       .addresses = 6,
                       .pools = {"p", "p2", "p3"},
                       .last_pool_stands_by = true,
                       .max_lease_ms = max_lease_ms},
          .flags = {"--max-lease-ms=" + std::to_string(max_lease_ms),
                    "--stop-grace-ms=200"},
          .actions = {&Soak::PauseOwner,    &Soak::PauseAny,
                      &Soak::CutOff,        &Soak::Mute,
                      &Soak::EndOwner,      &Soak::EndOwner,
                      &Soak::EndProcess,    &Soak::DisturbCalls,
                      &Soak::DisturbCalls,  &Soak::TakeStoreDown,
                      &Soak::RestartVm,     &Soak::SilenceVm,
                      &Soak::SilenceVm,     &Soak::CutVms,
                      &Soak::CutVms,        &Soak::EvacuateZone,
                      &Soak::RequestWave,   &Soak::CancelJob,
                      &Soak::ChangeConfig,  &Soak::DropRegistration,
                      &Soak::DropHistory,   &Soak::DisturbMachines,
                      &Soak::DisturbWrites, &Soak::HandIn,
                      &Soak::HandIn,        &Soak::HandIn,
                      &Soak::HandIn},
          .phase_ms = 20'000,
          .endless_interval = 2,
          .queues = {"q", "q", "p2"}};
}

FleetSoak::Profile FleetSoak::ReturningOwners(std::uint64_t seed) {
  using Soak = FleetSoak;
  Profile profile = HandOvers(seed);
  profile.actions = {
      &Soak::ReturnOwner,  &Soak::ReturnOwner,      &Soak::ReturnOwner,
      &Soak::StormConfigs, &Soak::StormConfigs,     &Soak::SilenceVm,
      &Soak::SilenceVm,    &Soak::SilenceVm,        &Soak::CutVms,
      &Soak::CutVms,       &Soak::RestartVm,        &Soak::DisturbCalls,
      &Soak::DropHistory,  &Soak::DropRegistration, &Soak::CancelJob,
      &Soak::HandIn,       &Soak::HandIn,           &Soak::HandIn};
  profile.phase_ms = 25'000;
  // The stop grace, and as much as a busy machine may act late.
  profile.lapse_ms = 700;
  return profile;
}

FleetSoak::FleetSoak(std::uint64_t seed, Profile wanted)
    : profile(std::move(wanted)),
      fleet(this->profile.instances,
            this->profile.platform,
            {},
            this->profile.flags),
      random(seed) {
  this->fleet.while_waiting = [this] { this->EndDueFaults(NowMs()); };
  this->fleet.platform->With([this](fake::VmModel& world, fake::KeyStore&) {
    for (auto& [id, vm] : world.vms) {
      vm->lapse_ms = this->profile.lapse_ms;
    }
  });
}

void FleetSoak::Run() {
  const std::int64_t end_ms = NowMs() + this->profile.phase_ms;
  std::int64_t next_ms = 0;
  while (NowMs() < end_ms) {
    this->EndDueFaults(NowMs());
    if (NowMs() >= next_ms) {
      const std::size_t instance = this->RandomInstance();
      const int action =
          this->Draw(0, static_cast<int>(this->profile.actions.size()) - 1);
      this->profile.actions[static_cast<std::size_t>(action)](*this, instance);
      next_ms = NowMs() + this->Draw(50, 700);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  while (!this->faults.empty()) {
    this->EndDueFaults(std::numeric_limits<std::int64_t>::max());
  }
  for (const jobs::JobSpec& job : this->unaccepted) {
    this->fleet.Accept(job);
    this->accepted.push_back(job);
  }
}

void FleetSoak::Check() {
  for (const jobs::JobSpec& job : this->accepted) {
    if (!job.Endless()) {
      this->fleet.WaitForCompleted({job});
      continue;
    }
    for (int i = 0; i < job.steps[0].count; ++i) {
      const std::string task = jobs::TaskRef{job.id, 0, 0, i}.Name();
      this->fleet.WaitFor("endless task " + task,
                          [&] { return this->fleet.Runs(task); });
    }
  }
  for (const jobs::JobSpec& job : this->refused) {
    const std::string state = this->fleet.StateOf(job);
    BOOST_TEST(state.empty(), job.id.str() << " was refused, is " << state);
  }
  std::string owners;
  for (const std::size_t owner : this->fleet.platform->Owners()) {
    owners += " e" + std::to_string(owner);
  }
  BOOST_TEST_MESSAGE("owners:" + owners);
  BOOST_TEST(this->fleet.Breaches() == "");
}

int FleetSoak::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(this->random);
}

// The owner more often than the others.
std::size_t FleetSoak::RandomInstance() {
  const auto owner = this->fleet.Owner();
  const auto any = static_cast<std::size_t>(
      this->Draw(0, static_cast<int>(this->profile.instances) - 1));
  const bool take_owner = this->Draw(0, 1) == 0;
  return owner && take_owner ? *owner : any;
}

std::string FleetSoak::RandomVm() {
  const std::vector<std::string> vms = this->fleet.platform->VmsUp();
  return vms[static_cast<std::size_t>(
      this->Draw(0, static_cast<int>(vms.size()) - 1))];
}

void FleetSoak::AddFault(std::int64_t length_ms, std::function<void()> end) {
  this->faults.push_back({NowMs() + length_ms, std::move(end)});
}

void FleetSoak::EndDueFaults(std::int64_t now_ms) {
  const auto due = std::stable_partition(
      this->faults.begin(), this->faults.end(),
      [now_ms](const Fault& fault) { return fault.until_ms > now_ms; });
  // What ends may add faults.
  std::vector<Fault> ending(std::make_move_iterator(due),
                            std::make_move_iterator(this->faults.end()));
  this->faults.erase(due, this->faults.end());
  std::ranges::stable_sort(ending, {}, &Fault::until_ms);
  for (const Fault& fault : ending) {
    fault.end();
  }
}

void FleetSoak::Pause(std::size_t instance, std::int64_t length_ms) {
  if (!this->paused.insert(instance).second) {
    return;
  }
  this->fleet.Signal(instance, SIGSTOP);
  this->AddFault(length_ms, [this, instance] {
    this->fleet.Signal(instance, SIGCONT);
    this->paused.erase(instance);
  });
}

void FleetSoak::Hold(const std::string& name,
                     std::int64_t length_ms,
                     const std::function<void(bool)>& set) {
  ++this->held[name];
  set(true);
  this->AddFault(length_ms, [this, name, set] {
    if (--this->held[name] == 0) {
      set(false);
    }
  });
}

void FleetSoak::CutOff(std::size_t instance) {
  this->CutOffFor(instance, this->Draw(300, 4000));
}

void FleetSoak::CutOffFor(std::size_t instance, std::int64_t length_ms) {
  this->Hold("cut " + std::to_string(instance), length_ms,
             [this, instance](bool on) {
               this->fleet.platform->CutOff(instance, on);
             });
}

void FleetSoak::Mute(std::size_t instance) {
  const int length_ms = this->Draw(300, 4000);
  this->Hold(
      "mute " + std::to_string(instance), length_ms,
      [this, instance](bool on) { this->fleet.platform->Mute(instance, on); });
}

void FleetSoak::PauseAny(std::size_t instance) {
  this->Pause(instance, this->Draw(300, 6000));
}

void FleetSoak::PauseOwner(std::size_t instance) {
  this->Pause(this->fleet.Owner().value_or(instance), this->Draw(1500, 5000));
}

void FleetSoak::EndProcess(std::size_t instance) {
  this->fleet.Signal(instance, this->Draw(0, 1) ? SIGKILL : SIGTERM);
  this->fleet.WaitForExit(instance);
  this->fleet.Restart(instance);
}

void FleetSoak::EndOwner(std::size_t instance) {
  this->EndProcess(this->fleet.Owner().value_or(instance));
}

// The VM answers nothing while its runs go on.
void FleetSoak::SilenceVm(std::size_t /*instance*/) {
  const std::string vm = this->RandomVm();
  const auto set = [this, vm](bool on) {
    this->fleet.platform->With([&](fake::VmModel& world, fake::KeyStore&) {
      if (const auto found = world.vms.find(vm); found != world.vms.end()) {
        found->second->unresponsive = on;
      }
    });
  };
  this->Hold("silence " + vm, this->Draw(300, 7000), set);
}

// What the instance sends as owner does not reach the VMs of a zone.
void FleetSoak::CutVms(std::size_t instance) {
  const std::string zone = "z" + std::to_string(this->Draw(1, kZones));
  this->Hold("vms " + std::to_string(instance) + zone, this->Draw(500, 8000),
             [this, instance, zone](bool on) {
               this->fleet.platform->CutVms(instance, zone, on);
             });
}

void FleetSoak::EvacuateZone(std::size_t /*instance*/) {
  const std::string key =
      "op/evacuate/z" + std::to_string(this->Draw(1, kZones));
  this->Hold(key, this->Draw(500, 4000), [this, key](bool on) {
    this->fleet.platform->With([&](fake::VmModel&, fake::KeyStore& store) {
      on ? store.Put(key, "{}") : store.Remove(key);
    });
  });
}

void FleetSoak::RequestWave(std::size_t /*instance*/) {
  std::set<std::string> machines;
  const int count = this->Draw(1, 4);
  for (int i = 0; i < count; ++i) {
    machines.insert("m" +
                    std::to_string(this->Draw(
                        0, static_cast<int>(this->profile.platform.vms) - 1)));
  }
  this->fleet.platform->RequestWave(++this->last_wave,
                                    {machines.begin(), machines.end()},
                                    this->Draw(1, 3), this->Draw(2, 20));
}

void FleetSoak::CancelJob(std::size_t /*instance*/) {
  if (this->accepted.empty()) {
    return;
  }
  const auto job = this->accepted.begin() +
                   this->Draw(0, static_cast<int>(this->accepted.size()) - 1);
  this->fleet.Cancel(*job);
  this->accepted.erase(job);
}

void FleetSoak::ChangeConfig(std::size_t /*instance*/) const {
  this->fleet.platform->With(
      [](fake::VmModel& world, fake::KeyStore&) { ++world.config.version; });
  this->fleet.platform->PublishConfig();
}

// Versions in quick succession; the last one is like the first.
void FleetSoak::StormConfigs(std::size_t /*instance*/) {
  std::int64_t at_ms = 0;
  for (int versions = this->Draw(2, 8); versions > 0; --versions) {
    this->AddFault(at_ms, [this] { this->MoveOrRemoveQueue(); });
    at_ms += this->Draw(50, 600);
  }
  this->Hold("queues", at_ms + this->Draw(0, 6000), [this](bool on) {
    if (!on) {
      this->fleet.platform->With([](fake::VmModel& world, fake::KeyStore&) {
        ++world.config.version;
        world.config.queues.at(jobs::QueueId("q")).pool = PoolId("p");
        world.config.queues.at(jobs::QueueId("p2")).pool = PoolId("p2");
      });
      this->fleet.platform->PublishConfig();
    }
  });
}

void FleetSoak::MoveOrRemoveQueue() {
  const jobs::QueueId queue(this->Draw(0, 1) == 0 ? "q" : "p2");
  const PoolId pool(this->Draw(0, 1) == 0 ? "p" : "p2");
  const bool removed = this->Draw(0, 2) == 0;
  this->fleet.platform->With([&](fake::VmModel& world, fake::KeyStore&) {
    ++world.config.version;
    world.config.queues.at(queue).pool = pool;
  });
  this->fleet.platform->PublishConfig(removed ? std::set<jobs::QueueId>{queue}
                                              : std::set<jobs::QueueId>());
}

// It does not run, or the store refuses it.
void FleetSoak::KeepFromOwning(std::size_t instance, std::int64_t length_ms) {
  this->Draw(0, 1) == 0 ? this->Pause(instance, length_ms)
                        : this->CutOffFor(instance, length_ms);
}

// The owner is kept from owning for longer than its lease, and then all others
// are.
void FleetSoak::ReturnOwner(std::size_t /*instance*/) {
  const auto owner = this->fleet.Owner();
  if (!owner || this->held["return"] > 0) {
    return;
  }
  const int away_ms = this->Draw(2800, 6000);
  const int others_ms = this->Draw(3000, 6000);
  if (this->Draw(0, 3) == 0) {
    this->EndProcess(*owner);
  }
  this->KeepFromOwning(*owner, away_ms);
  this->Hold("return", away_ms + others_ms, [](bool) {});
  this->AddFault(away_ms, [this, owner, others_ms] {
    for (std::size_t i = 0; i < this->profile.instances; ++i) {
      if (i != *owner) {
        this->KeepFromOwning(i, others_ms);
      }
    }
  });
}

// As after a VM's silence or an outage of the store.
void FleetSoak::DropRegistration(std::size_t /*instance*/) {
  const std::string vm = this->RandomVm();
  this->fleet.platform->Register(vm, false);
  this->AddFault(this->Draw(200, 5000), [this, vm] { this->RegisterVm(vm); });
}

void FleetSoak::DropHistory(std::size_t /*instance*/) const {
  this->fleet.platform->With(
      [](fake::VmModel&, fake::KeyStore& store) { store.DropHistory(); });
}

// A machine may have had its upkeep meanwhile, which ends its VM.
void FleetSoak::RegisterVm(const std::string& vm) const {
  if (this->fleet.platform->IsUp(vm)) {
    this->fleet.platform->Register(vm);
  }
}

void FleetSoak::HoldRule(std::int64_t length_ms, const fake::FaultRule& rule) {
  this->Hold("calls", length_ms, [this, rule](bool on) {
    this->fleet.platform->SetFaults(on ? rule : fake::FaultRule());
  });
}

// Part of the calls whose names begin so get no answer and take effect at once,
// late or never.
void FleetSoak::Disturb(const std::string& prefix, std::int64_t length_ms) {
  const auto draw = std::make_shared<std::mt19937_64>(this->random());
  const auto rule = [draw, prefix](const std::string& call,
                                   const std::string&) {
    if (!call.starts_with(prefix)) {
      return CallFault::kNone;
    }
    switch (std::uniform_int_distribution<int>(0, 9)(*draw)) {
      case 0:
      case 1:
      case 2:
        return CallFault::kLate;
      case 3:
        return CallFault::kLoseAnswer;
      case 4:
        return CallFault::kLoseCall;
      default:
        return CallFault::kNone;
    }
  };
  this->HoldRule(length_ms, rule);
}

void FleetSoak::DisturbCalls(std::size_t /*instance*/) {
  this->Disturb("vm", this->Draw(1000, 8000));
}

void FleetSoak::DisturbMachines(std::size_t /*instance*/) {
  this->Disturb("machines/", this->Draw(1000, 8000));
}

// A VM restarts under its id; its registration tells of that only later.
void FleetSoak::RestartVm(std::size_t /*instance*/) {
  const int untold_ms = this->Draw(0, 1500);
  const std::string vm = this->RandomVm();
  this->fleet.platform->With([&vm](fake::VmModel& world, fake::KeyStore&) {
    world.vms.at(vm)->Restart(world.now);
  });
  this->AddFault(untold_ms, [this, vm] { this->RegisterVm(vm); });
}

// Part of the writes to the store get no answer and take effect at once or
// late.
void FleetSoak::DisturbWrites(std::size_t /*instance*/) {
  const int length_ms = this->Draw(500, 3000);
  const auto draw = std::make_shared<std::mt19937_64>(this->random());
  const auto rule = [draw](const std::string& call, const std::string&) {
    if (call != "store/kv-txn") {
      return CallFault::kNone;
    }
    switch (std::uniform_int_distribution<int>(0, 7)(*draw)) {
      case 0:
        return CallFault::kLate;
      case 1:
        return CallFault::kLoseAnswer;
      default:
        return CallFault::kNone;
    }
  };
  this->HoldRule(length_ms, rule);
}

void FleetSoak::TakeStoreDown(std::size_t /*instance*/) {
  const int length_ms = this->Draw(100, 3000);
  this->Hold("store", length_ms, [this](bool on) {
    this->fleet.platform->With(
        [on](fake::VmModel&, fake::KeyStore& store) { store.SetDown(on); });
  });
}

void FleetSoak::HandIn(std::size_t instance) {
  const std::string id = std::to_string(++this->last_job);
  jobs::JobSpec job = PlainJob(id, this->Draw(1, 6), this->Draw(50, 4000),
                               this->Draw(0, 3) == 0 ? "advised" : "q");
  if (this->last_job % this->profile.endless_interval == 1) {
    job.queue.id = jobs::QueueId("q");
    job.steps[0].endless = true;
    job.steps[0].max_unavailable = 1;
  } else if (this->Draw(0, 2) == 0) {
    job.steps.push_back(job.steps[0]);
    job.steps[1].depends_on = {0};
    job.steps[1].gang = this->Draw(0, 1) == 0;
  }
  if (!this->profile.queues.empty()) {
    job.queue.id = jobs::QueueId(this->profile.queues[static_cast<std::size_t>(
        this->Draw(0, static_cast<int>(this->profile.queues.size()) - 1))]);
  }
  constexpr int ok = 200;
  constexpr int unavailable = 503;
  const int code =
      this->paused.contains(instance) ? 0 : this->fleet.Submit(instance, job);
  (code == ok            ? this->accepted
   : code == unavailable ? this->refused
                         : this->unaccepted)
      .push_back(std::move(job));
}

}  // namespace kch::test
