#include "app/fleet/driver.h"

#include <algorithm>
#include <asio/post.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <utility>

#include "app/fleet/effects.h"
#include "app/fleet/keys.h"

namespace kch::app {
namespace {

using net::BootMs;
using net::Now;
using net::WallMs;

// Interval of timeouts and looks; half of the shortest of them.
constexpr auto kTickInterval = std::chrono::milliseconds(50);
// Interval of decisions on machines, which look at all of them: at least, for
// each machine, and in lengths of such a pass.
constexpr auto kMachineInterval = std::chrono::milliseconds(25);
constexpr auto kIntervalPerMachine = std::chrono::microseconds(250);
constexpr int kMachinePause = 10;
// Without the fleet only ownership has to be watched.
constexpr auto kIdleTickInterval = std::chrono::milliseconds(100);
// Pause after a pass of decisions, in its own lengths, and at most.
constexpr int kTurnPause = 3;
constexpr Duration kMaxTurnPause = std::chrono::milliseconds(40);
// Watches of the operators' records and of the owner; a silent connection is
// noticed at the end of the wait.
constexpr int kOperatorWaitMs = 1000;
constexpr int kOwnerWaitMs = 2000;
constexpr int kLoadWaitMs = 5000;
// The platform sends no new connections after two missed checks of one second.
constexpr auto kBalancerTime = std::chrono::milliseconds(2600);

// Without what takes a look at the runs or at the VM's pool.
upkeep::VmLoad QuickLoadOf(const jobs::Vm& vm, bool runs_known) {
  return {.runs = vm.runs.size() + vm.orphans.size(),
          .responsive = !vm.unresponsive,
          .runs_known = runs_known};
}

upkeep::VmLoad LoadOf(const jobs::Vm& vm,
                      bool runs_known,
                      double pool_use_without) {
  upkeep::VmLoad load = QuickLoadOf(vm, runs_known);
  load.long_running = static_cast<std::size_t>(std::ranges::count_if(
      vm.runs, [](const jobs::Task* task) { return task->spec().endless; }));
  load.pool_utilization_without = pool_use_without;
  return load;
}

}  // namespace

Driver::Driver(FleetOptions options, Parts parts)
    : options(std::move(options)),
      parts(parts),
      load(parts.metrics, parts.client),
      timer(context),
      write_timer(context),
      turn_timer(context),
      signals(context, SIGTERM, SIGINT, SIGHUP),
      ownership(
          {.instance = this->options.instance,
           .incarnation = this->options.incarnation,
           .address = this->options.peer_address,
           .bus_address = this->options.bus_address},
          lead::CandidateDelay(this->options.cores, this->options.incarnation)),
      handover(this->options.cores) {}

void Driver::Post(std::function<void()> event) {
  asio::post(this->context, [this, came = Now(), event = std::move(event)] {
    const Time begun = Now();
    event();
    this->load.OnEvent(begun - came, Now() - begun);
    this->ScheduleTurn();
  });
}

// One pass serves all events that came before it. Its cost grows with the fleet
// and the backlog, so the pause after it does, too, up to a bound; events are
// taken in meanwhile.
void Driver::ScheduleTurn() {
  if (std::exchange(this->turn_set, true)) {
    return;
  }
  const auto run = [this] {
    this->turn_set = false;
    this->Turn();
  };
  const Duration wait = this->next_turn - Now();
  if (wait <= Duration::zero()) {
    asio::post(this->context, run);
    return;
  }
  this->turn_timer.expires_after(wait);
  this->turn_timer.async_wait([run](const asio::error_code& error) {
    if (!error) {
      run();
    }
  });
}

void Driver::PostFor(std::uint64_t fence, std::function<void()> event) {
  this->Post([this, fence, event = std::move(event)] {
    if (this->scheduler != nullptr && this->fence == fence) {
      event();
    }
  });
}

void Driver::Turn() {
  const Time now = Now();
  this->Decide(now);
  const Time end = Now();
  this->next_turn = end + std::min(kMaxTurnPause, kTurnPause * (end - now));
}

// Without a valid lease another instance may own the fleet. A long time since
// the last pass tells a process that stood still from a store that is away.
void Driver::LogLeaseState(Time now) {
  const std::string last_pass_ms_ago =
      std::to_string(ToMs(now - this->last_pass));
  const bool expired =
      this->scheduler != nullptr && !this->ownership.HoldsValidLease(now);
  if (expired && !this->lease_expired) {
    net::LogEvent("owner_lease_expired",
                  {{"fence", std::to_string(this->fence)},
                   {"expired_ms_ago",
                    std::to_string(ToMs(now - this->ownership.lease_until()))},
                   {"last_pass_ms_ago", last_pass_ms_ago}});
  }
  const bool held =
      this->scheduler != nullptr && !this->ownership.MayOrder(now);
  if (held && !this->orders_held) {
    net::LogEvent(
        "orders_held",
        {{"fence", std::to_string(this->fence)},
         {"last_pass_ms_ago", last_pass_ms_ago},
         {"followers", std::to_string(this->ownership.followers().size())},
         {"without_lease",
          std::to_string(this->ownership.followers().WithoutLease(now))}});
  }
  this->lease_expired = expired;
  this->orders_held = held;
  this->last_pass = now;
}

void Driver::Decide(Time now) {
  if (this->suspension.Observe(now, BootMs())) {
    this->OnWake(now);
  }
  this->ownership.Tick(now);
  this->Perform(this->ownership.TakeEffects());
  this->LogLeaseState(now);
  if (this->roster) {
    this->roster->SetVmCount(this->scheduler->vms().size());
    this->roster->Tick(now);
    this->Perform(this->roster->TakeEffects());
  }
  // A lease that an order gives a run is counted from `now`, so what is decided
  // here under a valid lease ends before a successor starts the run elsewhere,
  // however late it is sent.
  if (this->scheduler != nullptr && !this->takeover &&
      this->ownership.MayOrder(now)) {
    const std::int64_t wall_ms = WallMs();
    // Without the operators' records, limits and zones that are out of service
    // are not known. Runs that were found keep their leases.
    if (this->fleet_config && this->operators_read) {
      this->scheduler->Plan(now, wall_ms, this->roster->StartRoom());
    }
    this->scheduler->Tick(now, wall_ms);
    this->Perform(this->scheduler->TakeEffects());
    this->ReportLoad(now);
  } else if (this->scheduler != nullptr && this->scheduler->is_superseded()) {
    this->ownership.OnSuperseded(now);
    this->Perform(this->ownership.TakeEffects());
  }
  // Orders to machines are irreversible and have no lease of their own, so they
  // need certain ownership until they are sent.
  if (this->planner != nullptr && !this->takeover &&
      this->ownership.HoldsValidLease(Now())) {
    if (now >= this->next_machines) {
      this->TickMachines(now);
      this->next_machines =
          now + std::max<Duration>({kMachineInterval,
                                    kIntervalPerMachine *
                                        std::ssize(this->planner->machines()),
                                    kMachinePause * (Now() - now)});
    }
    this->gate->Tick(now);
    this->Perform(this->gate->TakeEffects());
  }
  if (this->roster) {
    this->Perform(this->roster->TakeEffects());
  }
  this->WakeForWrite(now);
  this->load.OnPass(Now() - now);
}

// Changes wait for each other only as long as the interval of writes.
void Driver::WakeForWrite(Time now) {
  const auto next = this->scheduler != nullptr && !this->takeover
                        ? this->scheduler->NextWrite()
                        : std::nullopt;
  if (!next || *next <= now || this->write_timer_set) {
    return;
  }
  this->write_timer_set = true;
  this->write_timer.expires_after(*next - now);
  this->write_timer.async_wait([this](const asio::error_code& error) {
    this->write_timer_set = false;
    if (!error) {
      this->Turn();
    }
  });
}

void Driver::TickMachines(Time now) {
  // The demand of a pool is a sum over its VMs and its waiting steps, so it is
  // taken once for all its VMs.
  std::map<PoolId, jobs::Scheduler::Demand> demands;
  const auto demand_of = [&](const PoolId& pool) {
    const auto known = demands.find(pool);
    return known != demands.end()
               ? known->second
               : demands.emplace(pool, this->scheduler->DemandOf(pool, now))
                     .first->second;
  };
  const auto load_of = [&](const VmId& id) -> std::optional<upkeep::VmLoad> {
    const auto& vms = this->scheduler->vms();
    const auto found = vms.find(id);
    if (found == vms.end()) {
      return std::nullopt;
    }
    const jobs::Vm& vm = *found->second;
    return LoadOf(
        vm, this->scheduler->RunsKnown(vm, now),
        this->scheduler->UtilizationWithout(vm, demand_of(vm.facts.pool), now));
  };
  this->planner->Tick(now, load_of);
  this->PassOrders(this->planner->TakeEffects());
  if (this->fleet_config && !this->scheduler->recovering()) {
    std::map<PoolId, upkeep::FleetForecast::PoolState> pools;
    for (const auto& [id, facts] : this->fleet_config->pools) {
      pools[id] = {demand_of(id), facts.standby,
                   this->scheduler->PlacementNeedsOf(id, now)};
    }
    std::set<jobs::MachineId> busy = this->planner->claimed();
    busy.merge(this->gate->BlockedMachines(now));
    // The mover looks at every machine, but only for those without runs.
    const auto quick_load_of =
        [&](const VmId& id) -> std::optional<upkeep::VmLoad> {
      const auto& vms = this->scheduler->vms();
      const auto found = vms.find(id);
      return found == vms.end()
                 ? std::nullopt
                 : std::optional(QuickLoadOf(
                       *found->second,
                       this->scheduler->RunsKnown(*found->second, now)));
    };
    this->mover->Tick(this->planner->machines(), this->planner->list_read_at(),
                      busy, this->zones_out,
                      this->forecast->Observe(pools, now), quick_load_of, now);
    if (!this->mover->moving().empty()) {
      this->planner->RequestEarlyRead(now);
    }
    this->PassOrders(this->mover->TakeEffects());
  }
  this->Perform(this->scheduler->TakeEffects());
}

void Driver::OnTick() {
  const Time now = Now();
  this->parts.relay.Tick(now);
  if (this->shutdown_begun) {
    const Duration passed = now - *this->shutdown_begun;
    const bool drained =
        passed >= kBalancerTime && this->parts.front.open_requests() == 0;
    if (drained || passed >= this->options.shutdown_time) {
      net::LogEvent(
          "stopped",
          {{"open_requests", std::to_string(this->parts.front.open_requests())},
           {"after_ms", std::to_string(ToMs(passed))}});
      this->context.stop();
      return;
    }
  }
  this->Turn();
  this->PublishGauges(now);
  if (const auto past = this->load.Tick(now, this->scheduler != nullptr)) {
    this->OnLoad(*past, now);
  }
  this->timer.expires_after(this->scheduler != nullptr ? kTickInterval
                                                       : kIdleTickInterval);
  this->timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      this->OnTick();
    }
  });
}

// The steady clock does not count a suspension, so every age that it tells,
// that of the lease included, is too short. A successor may own the fleet.
void Driver::OnWake(Time now) {
  net::LogEvent("resumed", {});
  this->ownership.OnSuspended();
  if (this->ownership.owner()) {
    this->ownership.OnSuperseded(now);
    this->Perform(this->ownership.TakeEffects());
  }
}

// An owner whose work exceeds its machine serves everyone late, and may do so
// for as long as it renews its lease.
void Driver::OnLoad(const lead::OwnerLoad& past, Time now) {
  if (this->scheduler == nullptr) {
    return;
  }
  this->handover.OnLoad(past, now);
  const double largest = this->roster->LargestMember(now);
  if (this->takeover || !this->handover.Due(largest, now)) {
    return;
  }
  constexpr double percent = 100;
  const bool handed_over = this->ownership.HandOver(now);
  net::LogEvent(
      "handover",
      {{"fence", std::to_string(this->fence)},
       {"decisions_percent",
        std::to_string(std::lround(past.decisions * percent))},
       {"calls_percent", std::to_string(std::lround(past.calls * percent))},
       {"cores", std::to_string(this->options.cores)},
       {"largest_follower", std::to_string(largest)},
       {"begun", handed_over ? "yes" : "no"}});
  this->Perform(this->ownership.TakeEffects());
}

void Driver::Run() {
  net::LogEvent("started", {{"incarnation", this->options.incarnation},
                            {"peer_address", this->options.peer_address}});
  this->FollowOperators();
  this->FollowOwner();
  this->FollowLoad();
  const std::function<void()> wait_for_signal = [this, &wait_for_signal] {
    this->signals.async_wait(
        [this, &wait_for_signal](const asio::error_code& error, int signal) {
          if (!error) {
            this->OnSignal(signal);
            wait_for_signal();
          }
        });
  };
  wait_for_signal();
  this->OnTick();
  this->context.run();
  for (const auto& view : {this->operators, this->owner_view, this->load_view,
                           this->intake, this->vm_view}) {
    if (view != nullptr) {
      view->Stop();
    }
  }
}

void Driver::OnSignal(int signal) {
  if (signal == SIGHUP) {
    // All settings are flags, which a running process keeps.
    net::LogEvent("reload", {{"changed", "nothing"}});
    return;
  }
  if (!this->shutdown_begun) {
    this->BeginShutdown();
  }
}

void Driver::BeginShutdown() {
  this->shutdown_begun = Now();
  this->is_ready = false;
  net::LogEvent("stopping",
                {{"owner", this->scheduler != nullptr ? "yes" : "no"}});
  this->parts.front.BeginShutdown();
  this->parts.relay.BeginShutdown();
  this->ownership.Resign(Now());
  this->Perform(this->ownership.TakeEffects());
}

void Driver::FollowOperators() {
  this->operators = platform::PrefixView::Create(
      this->parts.client, this->parts.store, std::string(kOperatorPrefix),
      {.wait_ms = kOperatorWaitMs, .list_after_outage = true},
      {.on_put =
           [this](const platform::Item& item) {
             this->Post([this, item] { this->OnOperatorItem(item); });
           },
       .on_removed =
           [this](const std::string& key, std::uint64_t /*revision*/) {
             this->Post([this, key] { this->OnOperatorRemoval(key); });
           },
       .on_listed =
           [this](std::uint64_t /*revision*/) {
             this->Post([this] { this->operators_read = true; });
           },
       .on_reachable =
           [this](bool reachable) {
             this->parts.front.SetStoreReachable(reachable);
             net::LogEvent(reachable ? "store_regained" : "store_lost", {});
             this->Post([this, reachable] {
               this->store_contact.OnReachable(reachable, Now());
             });
           }});
}

void Driver::OnOperatorItem(const platform::Item& item) {
  if (item.key.starts_with(kZoneOutPrefix)) {
    this->zones_out.insert(ZoneId(item.key.substr(kZoneOutPrefix.size())));
    net::LogEvent("zone_out", {{"key", item.key},
                               {"revision", std::to_string(item.revision)}});
    if (this->scheduler != nullptr) {
      this->scheduler->SetUnavailableZones(this->zones_out);
    }
    return;
  }
  if (item.key.starts_with(kWavePrefix)) {
    this->OnWave(item);
    return;
  }
  if (item.key != kConfigKey) {
    return;
  }
  auto config = platform::DecodeConfig(item.value);
  if (!config) {
    net::LogEvent("config_unreadable", {{"error", config.error().Text()}});
    return;
  }
  if (config->version < this->config_version) {
    net::LogEvent("config_older",
                  {{"version", std::to_string(config->version)},
                   {"in_force", std::to_string(this->config_version)}});
    return;
  }
  this->config_version = config->version;
  this->config_since = Now();
  if (this->fleet_config) {
    config->fleet.AddEarlierPools(*this->fleet_config);
  }
  this->fleet_config = config->fleet;
  net::LogEvent("config", {{"version", std::to_string(config->version)},
                           {"revision", std::to_string(item.revision)},
                           {"routes", std::to_string(config->routes.size())}});
  this->parts.front.SetDirectory(
      std::make_shared<const ingress::Directory>(*std::move(config)));
  if (!this->shutdown_begun) {
    this->is_ready = true;
  }
  if (this->scheduler != nullptr) {
    this->scheduler->SetConfig(*this->fleet_config, Now());
  }
}

void Driver::OnWave(const platform::Item& item) {
  auto wave = platform::DecodeWave(item.value);
  if (wave) {
    net::LogEvent("wave",
                  {{"key", item.key},
                   {"machines", std::to_string(wave->machines.size())},
                   {"most_away", std::to_string(wave->max_unavailable)}});
    wave->created = item.created;
    this->waves[item.key].Observe(*wave, item.revision, Now());
  } else {
    net::LogEvent("wave_unreadable", {{"error", wave.error().Text()}});
    const auto known = this->waves.find(item.key);
    if (known == this->waves.end()) {
      return;
    }
    // The wave stays as it was read last, and its state follows this record.
    known->second.revision = item.revision;
  }
  if (this->planner != nullptr) {
    this->planner->SetWave(this->waves.at(item.key), Now());
  }
}

void Driver::OnOperatorRemoval(const std::string& key) {
  if (const auto wave = this->waves.find(key); wave != this->waves.end()) {
    if (this->planner != nullptr) {
      this->planner->RemoveWave(wave->second.order.id, Now());
    }
    this->waves.erase(wave);
  }
  if (key.starts_with(kZoneOutPrefix)) {
    this->zones_out.erase(ZoneId(key.substr(kZoneOutPrefix.size())));
    net::LogEvent("zone_in", {{"key", key}});
    if (this->scheduler != nullptr) {
      this->scheduler->SetUnavailableZones(this->zones_out);
    }
  }
}

void Driver::FollowOwner() {
  const auto seen = std::make_shared<bool>(false);
  this->owner_view = platform::PrefixView::Create(
      this->parts.client, this->parts.store, std::string(kOwnerKey),
      {.wait_ms = kOwnerWaitMs},
      {.on_put =
           [this, seen](const platform::Item& item) {
             *seen = true;
             this->Post(
                 [this, item] { this->OnOwnerItem(item, item.revision); });
           },
       .on_removed =
           [this, seen](const std::string&, std::uint64_t revision) {
             *seen = false;
             this->Post([this, revision] {
               this->OnOwnerItem(std::nullopt, revision);
             });
           },
       .on_listed =
           [this, seen](std::uint64_t revision) {
             if (!*seen) {
               this->Post([this, revision] {
                 this->OnOwnerItem(std::nullopt, revision);
               });
             }
           },
       .on_reachable = [](bool) {}});
}

// The record that is there at the start may be as old as the last overload, so
// only changes count.
void Driver::FollowLoad() {
  const auto listed = std::make_shared<bool>(false);
  this->load_view = platform::PrefixView::Create(
      this->parts.client, this->parts.store, std::string(kLoadKey),
      {.wait_ms = kLoadWaitMs},
      {.on_put =
           [this, listed](const platform::Item& item) {
             if (!*listed) {
               return;
             }
             auto report = admit::DecodeLoadReport(item.value);
             if (report) {
               this->parts.front.SetLoad(*std::move(report));
             } else {
               net::LogEvent("load_unreadable",
                             {{"error", report.error().Text()}});
             }
           },
       .on_removed = [](const std::string&, std::uint64_t) {},
       .on_listed = [listed](std::uint64_t) { *listed = true; },
       .on_reachable = [](bool) {}});
}

void Driver::OnOwnerItem(const std::optional<platform::Item>& item,
                         std::uint64_t seen_at) {
  std::optional<lead::OwnerRecord> record;
  if (item) {
    auto decoded = lead::DecodeOwner(item->value, item->revision);
    if (!decoded) {
      net::LogEvent("owner_unreadable", {{"error", decoded.error().Text()}});
      return;
    }
    record = *std::move(decoded);
    record->lease = item->lease;
  }
  const bool current = this->ownership.OnRecord(record, seen_at, Now());
  net::LogEvent("owner",
                {{"instance", record ? record->instance : ""},
                 {"fence", std::to_string(record ? record->revision : 0)},
                 {"seen_at", std::to_string(seen_at)},
                 {"current", current ? "yes" : "no"}});
  if (!current) {
    return;
  }
  this->parts.front.SetOwner(record ? record->address : "");
  this->parts.relay.Follow(record);
  this->Perform(this->ownership.TakeEffects());
}

void Driver::AskJob(const jobs::JobId& job,
                    std::function<void(JobAnswer)> done) {
  this->Post([this, job, done = std::move(done)] {
    const bool able = this->scheduler != nullptr && !this->takeover;
    done(able ? JobAnswer{true, this->scheduler->View(job)} : JobAnswer{});
  });
}

void Driver::AskPending(const jobs::QueueId& queue,
                        std::function<void(PendingAnswer)> done) {
  this->Post([this, queue, done = std::move(done)] {
    const bool able = this->scheduler != nullptr && !this->takeover;
    done(able ? PendingAnswer{true, this->scheduler->Pending(queue)}
              : PendingAnswer{});
  });
}

void Driver::TellCancel(const jobs::JobId& job) {
  this->Post([this, job] {
    if (this->scheduler != nullptr && !this->takeover) {
      this->scheduler->CancelJob(job, Now());
    }
  });
}

void Driver::OnRelayReport(relay::Report report) {
  this->Post([this, report = std::move(report)] {
    if (!this->roster) {
      return;
    }
    this->roster->OnReport(report, Now());
    this->OnFollowerReport(report);
  });
}

void Driver::OnFollowerReport(const relay::Report& report) {
  const std::string& instance = report.instance.str();
  if (report.fence != this->fence) {
    return;
  }
  if (this->ownership.OnJoined(instance, report.incarnation, Now())) {
    this->scheduler->SetPredecessorEnd(
        this->ownership.predecessor_orders_until());
  }
  if (report.leaving) {
    this->ownership.followers().OnLeaving(instance, report.incarnation, Now());
  } else if (report.lease_granted_ms != 0) {
    this->ownership.followers().OnGrant(
        instance, report.incarnation,
        Time(std::chrono::milliseconds(report.lease_granted_ms)), Now());
  }
}

void Driver::OnOwnerContact(std::uint64_t owner_fence,
                            std::int64_t lease_request_ms) {
  this->Post([this, owner_fence, lease_request_ms, received = Now()] {
    this->ownership.OnOwnerContact(owner_fence, received);
    if (lease_request_ms != 0 &&
        this->ownership.GrantLease(owner_fence, Now())) {
      this->parts.relay.ReportGrant(owner_fence, lease_request_ms);
    }
  });
}

void Driver::Perform(std::vector<lead::Effect> decided) {
  for (lead::Effect& effect : decided) {
    std::visit(LeadEffectVisitor{*this}, effect);
  }
}

void Driver::Perform(std::vector<upkeep::Effect> decided) {
  for (upkeep::Effect& effect : decided) {
    std::visit(UpkeepEffectVisitor{*this, this->fence}, effect);
  }
}

void Driver::Perform(std::vector<relay::Effect> decided) {
  for (relay::Effect& effect : decided) {
    // A reply may end this process's ownership.
    if (this->roster) {
      std::visit(RelayEffectVisitor{*this, this->fence}, effect);
    }
  }
}

// Orders to machines wait until their machines are named in the store.
void Driver::PassOrders(std::vector<upkeep::Effect> decided) {
  for (upkeep::Effect& effect : decided) {
    if (auto* move = std::get_if<upkeep::OrderMove>(&effect)) {
      this->gate->Add(std::move(*move));
    } else if (auto* order = std::get_if<upkeep::OrderUpkeep>(&effect)) {
      this->gate->Add(std::move(*order));
    } else {
      std::visit(UpkeepEffectVisitor{*this, this->fence}, effect);
    }
  }
}

void Driver::Perform(std::vector<jobs::Effect> decided) {
  for (jobs::Effect& effect : decided) {
    std::visit(FleetEffectVisitor{*this, this->fence}, effect);
  }
}

}  // namespace kch::app
