#include <charconv>
#include <chrono>
#include <utility>

#include "app/fleet/driver.h"
#include "app/fleet/keys.h"
#include "app/fleet/machines_record.h"

// From a claimed fleet to a scheduler that knows all jobs and VMs.

namespace kch::app {
namespace {

using net::Now;
using net::WallMs;

constexpr int kIntakeWaitMs = 1000;
constexpr int kVmWaitMs = 1500;
// A job waits a little for others, so that one answer of the store brings them
// all; VMs only change their registrations at heartbeats.
constexpr int kIntakePauseMs = 20;
constexpr int kVmPauseMs = 60;
// Changes are frequent, so a watch without an answer for this long has most
// likely lost it.
constexpr int kIntakeOverlapMs = 250;
constexpr int kVmOverlapMs = 400;
constexpr int kRetryMs = 100;
// Before each page of ended jobs.
constexpr int kEndedPauseMs = 2000;
// Other processes learn of a new owner by their watches within this time.
constexpr auto kJoinTime = std::chrono::milliseconds(500);

}  // namespace

void Driver::Gain(std::uint64_t gained) {
  this->fence = gained;
  this->unleased_starts = 0;
  this->scheduler = std::make_unique<jobs::Scheduler>(this->options.limits);
  this->takeover.emplace();
  this->revisions.clear();
  this->vm_records.clear();
  this->takeover->since = Now();
  this->parts.metrics.Count("takeovers");
  net::LogEvent("owner_gained", {{"fence", std::to_string(gained)}});
  if (this->fleet_config) {
    this->scheduler->SetConfig(*this->fleet_config, Now());
  }
  this->scheduler->SetUnavailableZones(this->zones_out);
  this->planner = std::make_unique<upkeep::Planner>(
      this->options.upkeep_limits,
      Now() + this->options.upkeep_limits.handover_period);
  this->mover = std::make_unique<upkeep::Mover>(this->options.move_limits);
  this->forecast.emplace(this->options.move_limits.move_duration, Now());
  this->next_load_report = Time();
  this->last_load = {};
  this->gate = std::make_unique<upkeep::OrderGate>(
      this->options.upkeep_limits.handover_period,
      this->options.upkeep_limits.late_order_time);
  // Before the first relay connects: what it followed so far may be dropped.
  this->parts.relay.Follow(this->ownership.observed_owner());
  this->roster.emplace(gained, Now() + kJoinTime);
  this->parts.front.SetOwner(this->options.peer_address);
  this->ReadKeptVms(gained);
  this->ReadEndedVms(gained);
  this->ReadWaves(gained);
  this->ReadOrders(gained);
  this->ReadLastOwner(gained);
  this->ReadProgress(gained);
  this->FollowIntake(gained);
  this->FollowVms(gained);
}

void Driver::Lose(const std::string& reason) {
  this->parts.metrics.Count("owner_losses", {{"reason", reason}});
  net::LogEvent("owner_lost",
                {{"fence", std::to_string(this->fence)},
                 {"reason", reason},
                 {"unleased_starts", std::to_string(this->unleased_starts)}});
  this->intake->Stop();
  this->vm_view->Stop();
  this->takeover.reset();
  this->planner.reset();
  this->mover.reset();
  this->gate.reset();
  this->roster.reset();
  this->scheduler.reset();
}

// Reads all records under a prefix, page by page, and calls `use` with them. A
// page that the store does not answer is asked for again.
void Driver::ReadAll(std::string_view prefix,
                     std::uint64_t by,
                     UseItems use,
                     std::vector<platform::Item> read) {
  const std::string after = read.empty() ? std::string() : read.back().key;
  this->parts.store.List(
      std::string(prefix), after,
      [this, prefix, by, use = std::move(use),
       read = std::move(read)](const platform::ListReply& reply) mutable {
        const bool answered = reply.outcome == platform::Outcome::kOk;
        if (answered) {
          read.insert(read.end(), reply.items.begin(), reply.items.end());
        }
        if (answered && !(reply.more && !reply.items.empty())) {
          this->PostFor(
              by, [this, prefix, use = std::move(use), read = std::move(read)] {
                this->NoteRead(prefix, read);
                use(read);
              });
          return;
        }
        this->parts.client.Delay(
            answered ? 0 : kRetryMs,
            [this, prefix, by, use = std::move(use), read = std::move(read)] {
              this->PostFor(by, [this, prefix, by, use, read] {
                this->ReadAll(prefix, by, use, read);
              });
            });
      });
}

// What a takeover waits for, and how much it is.
void Driver::NoteRead(std::string_view prefix,
                      const std::vector<platform::Item>& items) {
  std::size_t bytes = 0;
  for (const platform::Item& item : items) {
    bytes += item.key.size() + item.value.size();
  }
  this->takeover->bytes += bytes;
  net::LogEvent("takeover_read",
                {{"prefix", std::string(prefix)},
                 {"records", std::to_string(items.size())},
                 {"bytes", std::to_string(bytes)},
                 {"ms", std::to_string(ToMs(Now() - this->takeover->since))}});
}

void Driver::ReadKeptVms(std::uint64_t by) {
  this->ReadAll(
      kKeptVmPrefix, by, [this](const std::vector<platform::Item>& items) {
        for (const platform::Item& item : items) {
          const VmId id(item.key.substr(kKeptVmPrefix.size()));
          this->revisions[item.key] = item.revision;
          const auto vm = jobs::DecodeVmRecord(id, item.value);
          if (vm) {
            this->takeover->kept_vms.push_back(*vm);
          } else {
            net::LogEvent("vm_unreadable", {{"error", vm.error().Text()}});
          }
        }
        this->takeover->kept_known = true;
        this->FinishTakeover();
      });
}

void Driver::ReadEndedVms(std::uint64_t by) {
  this->ReadAll(
      kEndedVmPrefix, by, [this](const std::vector<platform::Item>& items) {
        for (const platform::Item& item : items) {
          std::int64_t boot_ms = 0;
          std::from_chars(item.value.data(),
                          item.value.data() + item.value.size(), boot_ms);
          this->takeover->ended_vms.emplace_back(
              item.key.substr(kEndedVmPrefix.size()), boot_ms);
        }
        this->takeover->ended_known = true;
        this->FinishTakeover();
      });
}

// Machines that a predecessor took out already are not drained again.
void Driver::ReadWaves(std::uint64_t by) {
  this->ReadAll(kWaveRecordPrefix, by,
                [this](const std::vector<platform::Item>& items) {
                  for (const platform::Item& item : items) {
                    this->revisions[item.key] = item.revision;
                    this->planner->SetStarted(
                        jobs::WaveId(item.key.substr(kWaveRecordPrefix.size())),
                        DecodeStarted(item.value));
                  }
                  for (const auto& [key, wave] : this->waves) {
                    this->planner->SetWave(wave, Now());
                  }
                  this->takeover->waves_known = true;
                  this->FinishTakeover();
                });
}

void Driver::ReadOrders(std::uint64_t by) {
  this->ReadAll(
      kOrdersKey, by, [this](const std::vector<platform::Item>& items) {
        for (const platform::Item& item : items) {
          this->revisions[item.key] = item.revision;
          auto machines = DecodeOrders(item.value);
          this->planner->SetPredecessorOrders(machines, Now());
          this->gate->SetPredecessorMachines(std::move(machines), Now());
        }
        this->takeover->orders_known = true;
        this->FinishTakeover();
      });
}

// A process that has not stored itself as the last owner has given no orders.
void Driver::ReadLastOwner(std::uint64_t by) {
  this->ReadAll(
      kLastOwnerKey, by, [this](const std::vector<platform::Item>& items) {
        std::optional<lead::LastOwner> last;
        if (!items.empty()) {
          this->revisions[items.front().key] = items.front().revision;
          auto decoded = lead::DecodeLastOwner(items.front().value);
          if (decoded) {
            last = *std::move(decoded);
          } else {
            net::LogEvent("owner_unreadable",
                          {{"error", decoded.error().Text()}});
            last.emplace();  // some owner that is not known
          }
        }
        const Time now = Now();
        this->ownership.OnLastOwner(last, now);
        const Time until = this->ownership.predecessor_orders_until();
        this->scheduler->SetPredecessorEnd(until);
        this->handover.OnTerm(this->ownership.follows_handover(), now);
        net::LogEvent(
            "last_owner",
            {{"instance", last ? last->owner.instance : ""},
             {"fence", std::to_string(last ? last->owner.revision : 0)},
             {"followers", std::to_string(last ? last->followers.size() : 0)},
             {"orders_ms", std::to_string(ToMs(until - now))}});
        this->ownership.Tick(now);
        this->Perform(this->ownership.TakeEffects());
      });
}

void Driver::ReadProgress(std::uint64_t by) {
  this->ReadAll(kProgressPrefix, by,
                [this](const std::vector<platform::Item>& items) {
                  for (const platform::Item& item : items) {
                    this->takeover->progress[item.key] = item;
                  }
                  this->takeover->progress_known = true;
                  this->FinishTakeover();
                });
}

void Driver::FollowIntake(std::uint64_t by) {
  this->intake = platform::PrefixView::Create(
      this->parts.client, this->parts.store, std::string(kIntakePrefix),
      {.wait_ms = kIntakeWaitMs,
       .pause_ms = kIntakePauseMs,
       .overlap_ms = kIntakeOverlapMs},
      {.on_put =
           [this, by](const platform::Item& item) {
             this->PostFor(by, [this, item] { this->OnIntake(item); });
           },
       .on_removed = [](const std::string&, std::uint64_t) {},
       .on_listed =
           [this, by](std::uint64_t /*revision*/) {
             this->PostFor(by, [this] {
               if (this->takeover) {
                 net::LogEvent(
                     "takeover_read",
                     {{"prefix", std::string(kIntakePrefix)},
                      {"records",
                       std::to_string(this->takeover->early_jobs.size() +
                                      this->takeover->early_cancels.size())},
                      {"ms",
                       std::to_string(ToMs(Now() - this->takeover->since))}});
                 this->takeover->intake_known = true;
                 this->FinishTakeover();
               }
             });
           },
       .on_reachable = [](bool) {}});
}

void Driver::FollowVms(std::uint64_t by) {
  this->vm_view = platform::PrefixView::Create(
      this->parts.client, this->parts.store, std::string(kVmPrefix),
      {.wait_ms = kVmWaitMs,
       .pause_ms = kVmPauseMs,
       .overlap_ms = kVmOverlapMs},
      {.on_put =
           [this, by](const platform::Item& item) {
             this->PostFor(by, [this, item] { this->OnVmItem(item); });
           },
       .on_removed =
           [this, by](const std::string& key, std::uint64_t /*revision*/) {
             this->PostFor(by, [this, key] {
               this->scheduler->RemoveVm(VmId(key.substr(kVmPrefix.size())),
                                         Now());
             });
           },
       .on_listed =
           [this, by](std::uint64_t /*revision*/) {
             this->PostFor(by, [this] {
               if (this->takeover) {
                 this->takeover->vms_known = true;
                 this->FinishTakeover();
               }
             });
           },
       .on_reachable = [](bool) {}});
}

void Driver::OnIntake(const platform::Item& item) {
  if (item.key.starts_with(kCancelPrefix)) {
    const jobs::JobId job(item.key.substr(kCancelPrefix.size()));
    if (this->takeover) {
      this->takeover->early_cancels.push_back(job);
    } else {
      this->scheduler->CancelJob(job, Now());
    }
    return;
  }
  if (!item.key.starts_with(kJobPrefix)) {
    return;
  }
  auto spec = jobs::DecodeSpec(jobs::JobId(item.key.substr(kJobPrefix.size())),
                               item.value);
  if (!spec) {
    net::LogEvent("job_unreadable", {{"error", spec.error().Text()}});
    return;
  }
  if (this->takeover) {
    this->takeover->early_jobs.push_back(*std::move(spec));
  } else {
    this->AddJob(*std::move(spec), false);
  }
}

void Driver::AddJob(jobs::JobSpec spec, bool inherited) {
  const Time now = Now();
  const std::int64_t age_ms =
      std::max<std::int64_t>(0, WallMs() - spec.accepted_ms);
  std::string progress;
  std::uint64_t revision = 0;
  if (this->takeover) {
    const auto found =
        this->takeover->progress.find(KeyOf(kProgressPrefix, spec.id));
    if (found != this->takeover->progress.end()) {
      progress = found->second.value;
      revision = found->second.revision;
    }
  }
  this->scheduler->AddJob(std::move(spec), progress, revision, inherited,
                          now - std::chrono::milliseconds(age_ms), now);
}

void Driver::OnVmItem(const platform::Item& item) {
  const VmId id(item.key.substr(kVmPrefix.size()));
  auto vm = platform::DecodeVm(id, item.value);
  if (!vm) {
    net::LogEvent("vm_unreadable", {{"error", vm.error().Text()}});
    return;
  }
  this->scheduler->SetVm(*vm, Now());
}

void Driver::OnEndedJob(const platform::Item& item) {
  const jobs::JobId job(item.key.substr(kEndedJobPrefix.size()));
  if (const auto view = jobs::DecodeEnded(item.value)) {
    this->scheduler->AddEnded(job, *view, item.revision, Now());
  } else {
    net::LogEvent("job_unreadable",
                  {{"job", job.str()}, {"error", view.error().Text()}});
  }
}

// Ended jobs only wait for their erasure, so they are read when there is time:
// one page after the other with a pause.
void Driver::ReadEndedJobs(std::uint64_t by, const std::string& after) {
  this->parts.store.List(
      std::string(kEndedJobPrefix), after,
      [this, by, after](const platform::ListReply& reply) {
        this->PostFor(by, [this, by, after, reply] {
          for (const platform::Item& item : reply.items) {
            this->OnEndedJob(item);
          }
          const bool answered = reply.outcome == platform::Outcome::kOk;
          if (answered && (!reply.more || reply.items.empty())) {
            return;
          }
          const std::string next =
              reply.items.empty() ? after : reply.items.back().key;
          this->parts.client.Delay(kEndedPauseMs, [this, by, next] {
            this->PostFor(by,
                          [this, by, next] { this->ReadEndedJobs(by, next); });
          });
        });
      });
}

void Driver::FinishTakeover() {
  if (!this->takeover->progress_known || !this->takeover->intake_known ||
      !this->takeover->vms_known || !this->takeover->waves_known ||
      !this->takeover->kept_known || !this->takeover->ended_known ||
      !this->takeover->orders_known || !this->ownership.last_owner_stored()) {
    return;
  }
  const Time begun = Now();
  for (const auto& [vm, boot_ms] : this->takeover->ended_vms) {
    this->scheduler->SetEndedVm(vm, boot_ms);
  }
  for (const jobs::VmRecord& record : this->takeover->kept_vms) {
    this->scheduler->SetPersistedVm(record, Now());
  }
  for (jobs::JobSpec& spec : this->takeover->early_jobs) {
    this->AddJob(std::move(spec), true);
  }
  for (const jobs::JobId& job : this->takeover->early_cancels) {
    this->scheduler->CancelJob(job, Now());
  }
  net::LogEvent(
      "takeover_entered",
      {{"jobs", std::to_string(this->scheduler->job_count())},
       {"vms", std::to_string(this->scheduler->vms().size())},
       {"bytes", std::to_string(this->takeover->bytes)},
       {"read_ms", std::to_string(ToMs(begun - this->takeover->since))},
       {"enter_ms", std::to_string(ToMs(Now() - begun))}});
  const Time registered_by =
      this->store_contact.RegistrationsBackBy(this->takeover->since);
  this->takeover.reset();
  this->scheduler->BeginRecovery(Now(), WallMs(), registered_by);
  this->parts.client.Delay(kEndedPauseMs, [this, by = this->fence] {
    this->PostFor(by, [this, by] { this->ReadEndedJobs(by, ""); });
  });
}

}  // namespace kch::app
