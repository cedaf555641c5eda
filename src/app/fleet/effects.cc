#include "app/fleet/effects.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "app/fleet/keys.h"
#include "app/fleet/machines_record.h"
#include "wire/relay_codec.h"

namespace kch::app {
namespace {

using net::Now;
using platform::Outcome;

// A record's write is repeated until it is known, so a lost call should not
// delay the next steps of its jobs for long.
constexpr int kWriteTimeoutMs = 700;
constexpr int kClaimTimeoutMs = 800;
// A shutdown hands the fleet over after this time, if the store is slow.
constexpr int kEndTimeoutMs = 150;
constexpr int kKeptRetryMs = 100;

lead::StoreCallResult AnswerOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return lead::StoreCallResult::kOk;
    case Outcome::kMissing:
    case Outcome::kForgotten:
      return lead::StoreCallResult::kMissing;
    case Outcome::kConflict:
      return lead::StoreCallResult::kConflict;
    case Outcome::kRefused:
      return lead::StoreCallResult::kRefused;
    case Outcome::kUnknown:
      return lead::StoreCallResult::kUnknown;
  }
  return lead::StoreCallResult::kUnknown;
}

jobs::WriteAnswer WriteAnswerOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return jobs::WriteAnswer::kWritten;
    case Outcome::kConflict:
      return jobs::WriteAnswer::kConflict;
    case Outcome::kUnknown:
      return jobs::WriteAnswer::kUnknown;
    default:
      return jobs::WriteAnswer::kUnavailable;
  }
}

// The record whose revision a write expects.
std::string ConditionKey(const jobs::RecordWrite& record) {
  return KeyOf(record.step == jobs::RecordStep::kErase ? kEndedJobPrefix
                                                       : kProgressPrefix,
               record.job);
}

void AddTo(platform::Transaction& transaction,
           const jobs::RecordWrite& record) {
  const std::string key = ConditionKey(record);
  transaction.conditions.push_back({key, record.expected});
  switch (record.step) {
    case jobs::RecordStep::kProgress:
      transaction.puts.push_back({key, record.value, 0});
      break;
    case jobs::RecordStep::kEnd:
      transaction.puts.push_back(
          {KeyOf(kEndedJobPrefix, record.job), record.value, 0});
      transaction.erasures.push_back(key);
      transaction.erasures.push_back(KeyOf(kJobPrefix, record.job));
      transaction.erasures.push_back(KeyOf(kCancelPrefix, record.job));
      break;
    case jobs::RecordStep::kErase:
      transaction.erasures.push_back(key);
      break;
  }
}

// Of a record among the items of a conflict; 0 if it is absent.
std::uint64_t RevisionOf(const std::vector<platform::Item>& items,
                         std::string_view key) {
  const auto found = std::ranges::find(items, key, &platform::Item::key);
  return found == items.end() ? 0 : found->revision;
}

// Revisions in force of the records of a write that met a conflict; a record
// that is not among the answer's items does not exist.
jobs::WriteResult ConflictOf(const jobs::WriteRecords& write,
                             const std::vector<platform::Item>& items) {
  jobs::WriteResult result{.answer = jobs::WriteAnswer::kConflict};
  for (const jobs::RecordWrite& record : write.records) {
    result.revisions.emplace_back(record.job,
                                  RevisionOf(items, ConditionKey(record)));
  }
  return result;
}

void LogFailedWrite(const jobs::WriteRecords& write,
                    const platform::WriteReply& reply) {
  std::string expected;
  for (const jobs::RecordWrite& record : write.records) {
    expected += record.job.str() + "@" + std::to_string(record.expected) + " ";
  }
  std::string found;
  for (const platform::Item& item : reply.items) {
    found += item.key + "@" + std::to_string(item.revision) + " ";
  }
  net::LogEvent("write_failed",
                {{"outcome", std::string(NameOf(AnswerOf(reply.outcome)))},
                 {"expected", expected},
                 {"found", found}});
}

// A renewal that fails or comes late shortens the owner's lease; the two times
// tell a slow store from a process that is slow itself.
void LogSlowRenewal(Outcome outcome, Time sent, Time answered) {
  const Time now = Now();
  if (outcome == Outcome::kOk && now - sent < lead::kRenewTimeout) {
    return;
  }
  net::LogEvent("renewal_slow",
                {{"outcome", std::string(NameOf(AnswerOf(outcome)))},
                 {"call_ms", std::to_string(ToMs(answered - sent))},
                 {"queue_ms", std::to_string(ToMs(now - answered))}});
}

// A process that has not come to own the fleet tells by these how far it got.
void LogClaimCall(std::string_view call, Outcome outcome, Time sent) {
  net::LogEvent("claim_call",
                {{"call", std::string(call)},
                 {"outcome", std::string(NameOf(AnswerOf(outcome)))},
                 {"call_ms", std::to_string(ToMs(Now() - sent))}});
}

// A write of the owner takes effect only while it owns the fleet.
platform::Transaction OwnersTransaction(std::uint64_t fence) {
  platform::Transaction transaction;
  transaction.conditions.push_back({std::string(kOwnerKey), fence});
  return transaction;
}

// Writes or erases a record that only saves a successor time: without it, or
// with one too many, it asks a VM in vain.
void WriteHint(platform::Store& store,
               std::uint64_t fence,
               const std::string& key,
               const std::optional<std::string>& value) {
  platform::Transaction transaction = OwnersTransaction(fence);
  if (value) {
    transaction.puts.push_back({key, *value, 0});
  } else {
    transaction.erasures.push_back(key);
  }
  store.Write(
      transaction, kWriteTimeoutMs, [key](const platform::WriteReply& reply) {
        if (reply.outcome != Outcome::kOk) {
          net::LogEvent(
              "hint_not_written",
              {{"key", key},
               {"outcome", std::string(NameOf(AnswerOf(reply.outcome)))}});
        }
      });
}

bool StillOwner(const std::vector<platform::Item>& items, std::uint64_t fence) {
  return RevisionOf(items, kOwnerKey) == fence;
}

// Tells the scheduler what became of an order.
struct DeliverVisitor {
  jobs::Scheduler& scheduler;
  const relay::DeliverReply& delivered;

  void operator()(const jobs::StartRun& order) const {
    const auto& reply = std::get<relay::StartReply>(this->delivered.reply);
    this->scheduler.OnStart(order.to.vm, order.task, order.run, reply.answer,
                            reply.clock_ms, Now());
  }
  void operator()(const jobs::StopRun& order) const {
    this->scheduler.OnStop(order.to.vm, order.task, order.run, this->Answered(),
                           Now());
  }
  void operator()(const jobs::PaceRun& order) const {
    this->scheduler.OnPace(order.to.vm, order.task, order.run,
                           this->Answered());
  }
  void operator()(const jobs::PollVm& order) const {
    const auto& reply = std::get<relay::PollReply>(this->delivered.reply);
    if (reply.outcome == relay::PollOutcome::kReport) {
      this->scheduler.OnReport(order.to.vm, reply.report,
                               this->delivered.submitted_at, Now());
    } else {
      this->scheduler.OnPollFailed(
          order.to.vm, reply.outcome == relay::PollOutcome::kFenced,
          reply.outcome == relay::PollOutcome::kOtherVm, Now());
    }
  }

 private:
  [[nodiscard]] bool Answered() const {
    return std::get<relay::ControlReply>(this->delivered.reply).answered;
  }
};

}  // namespace

void Driver::WriteRecord(OwnersRecord record,
                         std::function<void(Outcome)> done) {
  std::vector<OpenRecord> records;
  records.push_back({std::move(record), std::move(done)});
  this->WriteRecords(std::move(records));
}

void Driver::WriteVmRecord(OwnersRecord record,
                           std::function<void(Outcome)> done) {
  // The first one that waits sets the flush.
  if (this->vm_records.empty()) {
    this->PostFor(this->fence, [this] { this->FlushVmRecords(); });
  }
  this->vm_records.push_back({std::move(record), std::move(done)});
}

void Driver::FlushVmRecords() {
  const std::size_t max_records =
      this->options.limits.max_write_entries /
      jobs::TransactionEntries(jobs::RecordStep::kProgress);
  std::vector<OpenRecord> batch;
  std::set<std::string> keys;
  const auto send = [&] {
    this->WriteRecords(std::exchange(batch, {}));
    keys.clear();
  };
  for (OpenRecord& open : std::exchange(this->vm_records, {})) {
    if (batch.size() == max_records || keys.contains(open.record.key)) {
      send();
    }
    keys.insert(open.record.key);
    batch.push_back(std::move(open));
  }
  if (!batch.empty()) {
    send();
  }
}

// All of them are written, or none.
void Driver::WriteRecords(std::vector<OpenRecord> records) {
  platform::Transaction transaction = OwnersTransaction(this->fence);
  for (OpenRecord& open : records) {
    OwnersRecord& record = open.record;
    transaction.conditions.push_back({record.key, this->revisions[record.key]});
    if (record.value) {
      transaction.puts.push_back({record.key, *record.value, 0});
    } else {
      transaction.erasures.push_back(record.key);
    }
    transaction.puts.insert(transaction.puts.end(), record.beside.begin(),
                            record.beside.end());
    transaction.conditions.insert(transaction.conditions.end(),
                                  record.conditions.begin(),
                                  record.conditions.end());
  }
  this->parts.store.Write(
      transaction, kWriteTimeoutMs,
      [this, by = this->fence,
       records = std::move(records)](const platform::WriteReply& reply) {
        this->PostFor(by, [this, by, records, reply] {
          if (reply.outcome == Outcome::kConflict &&
              !StillOwner(reply.items, by)) {
            this->ownership.OnSuperseded(Now());
            this->Perform(this->ownership.TakeEffects());
            return;
          }
          for (const OpenRecord& open : records) {
            const std::string& key = open.record.key;
            if (reply.outcome == Outcome::kOk) {
              this->revisions[key] = open.record.value ? reply.revision : 0;
            } else if (reply.outcome == Outcome::kConflict) {
              this->revisions[key] = RevisionOf(reply.items, key);
            }
          }
          for (const OpenRecord& open : records) {
            open.done(reply.outcome);
          }
        });
      });
}

void LeadEffectVisitor::operator()(const lead::CreateLease& /*effect*/) const {
  this->driver.parts.lease_store.CreateLease(
      ToMs(lead::kOwnerLease), [&driver = this->driver, sent = Now()](
                                   const platform::LeaseReply& reply) {
        LogClaimCall("create_lease", reply.outcome, sent);
        driver.Post([&driver, reply] {
          driver.ownership.OnLease(AnswerOf(reply.outcome), reply.lease, Now());
        });
      });
}

void LeadEffectVisitor::operator()(const lead::ClaimRecord& effect) const {
  platform::Transaction transaction;
  transaction.conditions.push_back(
      {std::string(kOwnerKey), effect.expected_revision});
  transaction.puts.push_back(
      {std::string(kOwnerKey), lead::Encode(effect.record), effect.lease});
  this->driver.parts.lease_store.Write(
      transaction, kClaimTimeoutMs,
      [&driver = this->driver, lease = effect.lease,
       sent = Now()](const platform::WriteReply& reply) {
        LogClaimCall("write_record", reply.outcome, sent);
        driver.Post([&driver, lease, reply] {
          driver.ownership.OnClaim(lease, AnswerOf(reply.outcome),
                                   reply.revision, Now());
        });
      });
}

// A list tells the store's revision also if the record is absent.
void LeadEffectVisitor::operator()(const lead::ReadRecord& /*effect*/) const {
  this->driver.parts.lease_store.List(
      std::string(kOwnerKey), "",
      [&driver = this->driver, sent = Now()](const platform::ListReply& reply) {
        LogClaimCall("read_record", reply.outcome, sent);
        if (reply.outcome != Outcome::kOk) {
          driver.Post([&driver] { driver.ownership.OnRecordUnread(Now()); });
          return;
        }
        const auto found =
            std::ranges::find(reply.items, kOwnerKey, &platform::Item::key);
        driver.Post([&driver, revision = reply.revision,
                     item = found == reply.items.end()
                                ? std::nullopt
                                : std::optional(*found)] {
          driver.OnOwnerItem(item, revision);
        });
      });
}

void LeadEffectVisitor::operator()(const lead::RenewLease& effect) const {
  this->driver.parts.lease_store.RenewLease(
      effect.lease, static_cast<int>(ToMs(lead::kOwnerLease)),
      [&driver = this->driver, lease = effect.lease,
       sent = effect.sent](Outcome outcome) {
        driver.Post([&driver, lease, sent, outcome, answered = Now()] {
          LogSlowRenewal(outcome, sent, answered);
          driver.ownership.OnRenewal(lease, AnswerOf(outcome), sent, Now());
        });
      });
}

void LeadEffectVisitor::operator()(
    const lead::RequestFollowerLeases& /*effect*/) const {
  const Time now = Now();
  this->driver.roster->RequestLeases(ToMs(now.time_since_epoch()), now);
}

// Without an answer the process claims as the others do.
void LeadEffectVisitor::operator()(
    const lead::ReadLastOwner& /*effect*/) const {
  this->driver.parts.store.Get(
      std::string(kLastOwnerKey),
      [&driver = this->driver](const platform::GetReply& reply) {
        if (reply.outcome != Outcome::kOk) {
          return;
        }
        if (auto last = lead::DecodeLastOwner(reply.item.value)) {
          driver.Post([&driver, last = *std::move(last)] {
            driver.ownership.OnLastOwnerRead(last, Now());
          });
        }
      });
}

void LeadEffectVisitor::operator()(const lead::StoreLastOwner& effect) const {
  this->driver.WriteRecord(
      {.key = std::string(kLastOwnerKey), .value = lead::Encode(effect.last)},
      [&driver = this->driver](Outcome outcome) {
        driver.ownership.OnLastOwnerStored(AnswerOf(outcome), Now());
        if (outcome == Outcome::kOk && driver.takeover) {
          driver.FinishTakeover();
        }
      });
}

void LeadEffectVisitor::operator()(const lead::EndLease& effect) const {
  this->driver.parts.lease_store.EndLease(effect.lease, [](Outcome) {
    // A lease that is not ended here runs out by itself.
  });
}

// Successors that this owner has not counted need not wait for it. A shutdown
// has no time for a slow store; an owner that is overloaded has a slow client,
// and its lease keeps the fleet for it meanwhile.
void LeadEffectVisitor::operator()(const lead::StoreEnd& effect) const {
  const std::string key(kLastOwnerKey);
  platform::Transaction transaction =
      OwnersTransaction(effect.last.owner.revision);
  transaction.conditions.push_back({key, this->driver.revisions[key]});
  transaction.puts.push_back({key, lead::Encode(effect.last), 0});
  this->driver.parts.lease_store.Write(
      transaction, effect.last.handed_over ? kWriteTimeoutMs : kEndTimeoutMs,
      [&store = this->driver.parts.lease_store,
       lease = effect.lease](const platform::WriteReply& reply) {
        if (reply.outcome != Outcome::kOk) {
          net::LogEvent(
              "end_not_stored",
              {{"outcome", std::string(NameOf(AnswerOf(reply.outcome)))}});
        }
        store.EndLease(lease, [](Outcome) {});
      });
}

void LeadEffectVisitor::operator()(const lead::OwnershipGained& effect) const {
  this->driver.Gain(effect.fence);
}

void LeadEffectVisitor::operator()(const lead::OwnershipLost& effect) const {
  this->driver.Lose(effect.reason);
}

void FleetEffectVisitor::operator()(const jobs::StartRun& effect) const {
  this->driver.parts.metrics.Count("task_starts");
  if (!this->driver.ownership.HoldsValidLease(Now())) {
    this->driver.parts.metrics.Count("unleased_starts");
    ++this->driver.unleased_starts;
  }
  this->driver.roster->Submit(effect, Now());
}

void FleetEffectVisitor::operator()(const jobs::StopRun& effect) const {
  this->driver.parts.metrics.Count("task_stops");
  this->driver.roster->Submit(effect, Now());
}

void FleetEffectVisitor::operator()(const jobs::PaceRun& effect) const {
  this->driver.roster->Submit(effect, Now());
}

void FleetEffectVisitor::operator()(const jobs::PollVm& effect) const {
  this->driver.parts.metrics.Count("looks");
  this->driver.roster->Submit(effect, Now());
}

void FleetEffectVisitor::operator()(const jobs::RequestAdvice& effect) const {
  this->driver.parts.metrics.Count("advice_questions");
  this->driver.parts.advice.Ask(
      effect, [&driver = this->driver, fence = this->fence,
               effect](std::optional<platform::AdviceReply> reply) {
        driver.PostFor(fence, [&driver, effect, reply = std::move(reply)] {
          if (reply) {
            driver.scheduler->OnAdvice(effect, reply->permits, reply->valid_for,
                                       Now());
          } else {
            driver.scheduler->OnAdviceFailed(Now());
          }
        });
      });
}

void FleetEffectVisitor::operator()(const jobs::WriteRecords& effect) const {
  platform::Transaction transaction = OwnersTransaction(this->fence);
  for (const jobs::RecordWrite& record : effect.records) {
    AddTo(transaction, record);
  }
  this->driver.parts.metrics.Count("record_writes");
  this->driver.parts.store.Write(
      transaction, kWriteTimeoutMs,
      [&driver = this->driver, fence = this->fence,
       effect](const platform::WriteReply& reply) {
        driver.PostFor(fence, [&driver, fence, effect, reply] {
          if (reply.outcome != Outcome::kOk) {
            LogFailedWrite(effect, reply);
          }
          jobs::WriteResult result{.answer = WriteAnswerOf(reply.outcome),
                                   .revision = reply.revision};
          if (reply.outcome == Outcome::kConflict) {
            if (!StillOwner(reply.items, fence)) {
              driver.ownership.OnSuperseded(Now());
              driver.Perform(driver.ownership.TakeEffects());
              return;
            }
            result = ConflictOf(effect, reply.items);
          }
          driver.scheduler->OnWritten(effect.id, result, Now());
        });
      });
}

// Repeated while the VM is known: a successor that does not find it would start
// its tasks elsewhere.
void FleetEffectVisitor::operator()(const jobs::PersistVm& effect) const {
  this->driver.WriteVmRecord(
      {.key = std::string(kKeptVmPrefix) + effect.record.facts.id.str(),
       .value = jobs::EncodeVmRecord(effect.record)},
      [&driver = this->driver, fence = this->fence, effect](Outcome outcome) {
        if (outcome == Outcome::kOk) {
          driver.scheduler->OnVmPersisted(effect.record.facts.id);
          return;
        }
        net::LogEvent("kept_vm_not_stored",
                      {{"vm", effect.record.facts.id.str()},
                       {"outcome", std::string(NameOf(AnswerOf(outcome)))}});
        driver.parts.client.Delay(kKeptRetryMs, [&driver, fence, effect] {
          driver.PostFor(fence, [&driver, fence, effect] {
            if (driver.scheduler->vms().contains(effect.record.facts.id)) {
              FleetEffectVisitor{driver, fence}(effect);
            }
          });
        });
      });
}

// Repeated, since a successor would wait for the answer of a VM that is gone.
void FleetEffectVisitor::operator()(const jobs::EraseVmRecord& effect) const {
  this->driver.roster->RemoveVm(effect.vm);
  this->driver.WriteVmRecord(
      {.key = std::string(kKeptVmPrefix) + effect.vm.str()},
      [&driver = this->driver, fence = this->fence, effect](Outcome outcome) {
        if (outcome == Outcome::kOk) {
          return;
        }
        driver.parts.client.Delay(kKeptRetryMs, [&driver, fence, effect] {
          driver.PostFor(fence, [&driver, fence, effect] {
            if (!driver.scheduler->vms().contains(effect.vm)) {
              FleetEffectVisitor{driver, fence}(effect);
            }
          });
        });
      });
}

void FleetEffectVisitor::operator()(const jobs::PersistEndedVm& effect) const {
  WriteHint(this->driver.parts.store, this->fence,
            std::string(kEndedVmPrefix) + effect.vm.str(),
            std::to_string(effect.boot_ms));
}

void FleetEffectVisitor::operator()(
    const jobs::EraseEndedVmRecord& effect) const {
  WriteHint(this->driver.parts.store, this->fence,
            std::string(kEndedVmPrefix) + effect.vm.str(), std::nullopt);
}

// Not repeated: the records of all ended jobs are read after a takeover, too.
void FleetEffectVisitor::operator()(const jobs::ReadEndedJob& effect) const {
  this->driver.parts.store.Get(
      KeyOf(kEndedJobPrefix, effect.job),
      [&driver = this->driver, fence = this->fence,
       job = effect.job](const platform::GetReply& reply) {
        const bool found = reply.outcome == Outcome::kOk;
        net::LogEvent("stray_job", {{"job", job.str()},
                                    {"ended", found ? "yes" : "unknown"}});
        if (found) {
          driver.PostFor(
              fence, [&driver, item = reply.item] { driver.OnEndedJob(item); });
        }
      });
}

void FleetEffectVisitor::operator()(const jobs::Superseded& effect) const {
  net::LogEvent("fenced", {{"vm", effect.refused_by.str()},
                           {"fence", std::to_string(this->fence)}});
  this->GiveUp();
}

// In an event of its own: the loss destroys the scheduler whose effects are
// being performed.
void FleetEffectVisitor::GiveUp() const {
  this->driver.PostFor(this->fence, [&driver = this->driver] {
    driver.ownership.OnSuperseded(Now());
    driver.Perform(driver.ownership.TakeEffects());
  });
}

void FleetEffectVisitor::operator()(const jobs::LogEvent& effect) const {
  net::LogEvent(effect.event, effect.fields);
}

void UpkeepEffectVisitor::operator()(
    const upkeep::ReadMachines& /*effect*/) const {
  this->driver.parts.machines.List(
      [&driver = this->driver, fence = this->fence](auto list) {
        driver.PostFor(fence, [&driver, list = std::move(list)] {
          if (list) {
            driver.planner->OnMachineList(*list, Now());
          } else {
            driver.planner->OnMachineListFailed(Now());
          }
        });
      });
}

void UpkeepEffectVisitor::operator()(const upkeep::SetCordon& effect) const {
  this->driver.scheduler->Cordon(effect.vm, effect.on);
}

void UpkeepEffectVisitor::operator()(const upkeep::Evict& effect) const {
  this->driver.scheduler->EvictEndless(effect.vm, Now());
}

void UpkeepEffectVisitor::operator()(const upkeep::OrderUpkeep& effect) const {
  this->driver.parts.metrics.Count("upkeep_orders");
  this->driver.parts.machines.Upkeep(
      effect, this->fence, this->driver.ownership.lease_until(),
      [&driver = this->driver, fence = this->fence,
       effect](upkeep::OrderAnswer answer) {
        driver.PostFor(fence, [&driver, effect, answer] {
          driver.planner->OnOrderAnswer(effect.machine, effect.wave, answer,
                                        Now());
        });
      });
}

void UpkeepEffectVisitor::operator()(const upkeep::OrderMove& effect) const {
  this->driver.parts.metrics.Count("move_orders");
  this->driver.parts.machines.Move(
      effect, this->fence, this->driver.ownership.lease_until(),
      [&driver = this->driver, fence = this->fence,
       effect](upkeep::OrderAnswer answer) {
        driver.PostFor(fence, [&driver, effect, answer] {
          driver.mover->OnOrderAnswer(effect.machine, answer, Now());
        });
      });
}

void UpkeepEffectVisitor::operator()(
    const upkeep::StoreOrderedMachines& effect) const {
  this->driver.WriteRecord(
      {.key = std::string(kOrdersKey), .value = EncodeOrders(effect.machines)},
      [&driver = this->driver](Outcome outcome) {
        if (outcome != Outcome::kOk) {
          net::LogEvent("orders_not_stored",
                        {{"outcome", std::string(NameOf(AnswerOf(outcome)))},
                         {"remedy", "written again"}});
        }
        driver.gate->OnStored(outcome == Outcome::kOk, Now());
      });
}

void UpkeepEffectVisitor::operator()(const upkeep::VmTerminated& effect) const {
  this->driver.scheduler->EndVm(effect.vm);
}

// The state tells of the operators' record as it is when the state is written.
void UpkeepEffectVisitor::operator()(const upkeep::SaveWave& effect) const {
  std::vector<platform::Condition> conditions;
  if (effect.completed && effect.observed_revision != 0) {
    conditions.push_back({std::string(kWavePrefix) + effect.wave.str(),
                          effect.observed_revision});
  }
  this->driver.WriteRecord(
      {.key = std::string(kWaveRecordPrefix) + effect.wave.str(),
       .value = EncodeStarted(effect.started),
       .beside = {{std::string(kWaveStatePrefix) + effect.wave.str(),
                   platform::EncodeWaveState(effect.completed), 0}},
       .conditions = std::move(conditions)},
      [&driver = this->driver, wave = effect.wave](Outcome outcome) {
        if (outcome != Outcome::kOk) {
          net::LogEvent("wave_not_stored",
                        {{"wave", wave.str()},
                         {"outcome", std::string(NameOf(AnswerOf(outcome)))},
                         {"remedy", "written again"}});
        }
        driver.planner->OnWaveSaved(wave, outcome == Outcome::kOk, Now());
      });
}

void UpkeepEffectVisitor::operator()(const upkeep::LogEvent& effect) const {
  net::LogEvent(effect.event, effect.fields);
}

void UpkeepEffectVisitor::operator()(
    const upkeep::Superseded& /*effect*/) const {
  FleetEffectVisitor{this->driver, this->fence}(jobs::Superseded{});
}

void RelayEffectVisitor::operator()(const relay::Connect& effect) const {
  this->driver.parts.bus.Connect(effect.relay, effect.address);
}

void RelayEffectVisitor::operator()(const relay::Disconnect& effect) const {
  this->driver.parts.bus.Drop(effect.relay);
}

// A process that the owner sends a batch to relies on being counted, so it is
// counted before.
void RelayEffectVisitor::operator()(relay::Forward& effect) const {
  if (!effect.leaving) {
    this->driver.ownership.followers().OnContact(effect.relay.str(),
                                                 effect.incarnation, Now());
  }
  this->driver.parts.bus.Send(
      effect.relay, wire::Encode(relay::Message(std::move(effect.batch))));
}

void RelayEffectVisitor::operator()(relay::DirectCall& effect) const {
  this->driver.parts.vms.Carry(
      effect.call.order, this->fence,
      [&driver = this->driver, fence = this->fence,
       number = effect.call.number](relay::Reply reply) {
        driver.PostFor(fence, [&driver, number, reply = std::move(reply)] {
          driver.roster->OnReply({number, reply});
        });
      });
}

void RelayEffectVisitor::operator()(relay::DeliverReply& effect) const {
  std::visit(DeliverVisitor{*this->driver.scheduler, effect}, effect.order);
}

void RelayEffectVisitor::operator()(
    const relay::DeliverLateReport& effect) const {
  this->driver.scheduler->OnLateReport(effect.vm, effect.report, Now());
}

void RelayEffectVisitor::operator()(const relay::Superseded& effect) const {
  net::LogEvent("left_by_relay", {{"relay", effect.reported_by.str()},
                                  {"fence", std::to_string(this->fence)}});
  FleetEffectVisitor{this->driver, this->fence}.GiveUp();
}

void RelayEffectVisitor::operator()(const relay::LogEvent& effect) const {
  net::LogEvent(effect.event, effect.fields);
}

}  // namespace kch::app
