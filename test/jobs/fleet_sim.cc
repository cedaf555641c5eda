#include "test/jobs/fleet_sim.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "jobs/record.h"

namespace kch::jobs::test {
namespace {

constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kLatencyMs = 2;
constexpr std::int64_t kStoreLatencyMs = 4;
constexpr std::int64_t kOrderTimeoutMs = 1000;
constexpr std::int64_t kPollTimeoutSlackMs = 700;
constexpr std::int64_t kStartWallMs = 1'700'000'000'000;
// Entries of one transaction that the store accepts.
constexpr std::size_t kMaxTransactionEntries = 32;

}  // namespace

JobSpec SimpleJob(const std::string& id,
                  const std::string& queue,
                  std::int32_t count,
                  std::int64_t cpu_m,
                  std::int64_t ms) {
  JobSpec job;
  job.id = JobId(id);
  job.queue = {.id = QueueId(queue),
               .pool = PoolId("p"),
               .max_attempts = 2,
               .stretch = 1.6,
               .target_ms = 600};
  job.payload = "payload of " + id;
  job.accepted_ms = kStartWallMs;
  job.steps.push_back(
      {.count = count, .need = {cpu_m, 100, 0}, .estimate_ms = ms});
  return job;
}

FleetSim::FleetSim() : scheduler(std::make_unique<Scheduler>(limits)) {
  this->scheduler->SetConfig(this->config, this->now);
}

FakeVm& FleetSim::AddVm(const std::string& id,
                        const std::string& pool,
                        Resources capacity,
                        const std::string& rack) {
  FakeVm& vm = this->Add(id, pool, capacity, rack);
  this->scheduler->SetVm(vm.facts, this->now);
  return vm;
}

void FleetSim::Submit(JobSpec spec) {
  this->submitted[spec.id] = spec;
  this->scheduler->AddJob(std::move(spec), "", 0, false, this->now, this->now);
}

void FleetSim::Cancel(const std::string& job) {
  this->cancelled.insert(JobId(job));
  this->scheduler->CancelJob(JobId(job), this->now);
}

void FleetSim::RunAfter(std::int64_t ms, std::function<void()> action) {
  this->events.emplace(this->now + std::chrono::milliseconds(ms),
                       std::move(action));
}

void FleetSim::HandleAdviceRequest(const RequestAdvice& advice_request,
                                   std::uint64_t sender_fence) {
  ++this->advice.request_count;
  this->advice.max_open_requests =
      std::max(this->advice.max_open_requests, ++this->advice.open_requests);
  this->RunAfter(this->advice.DelayMs(advice_request), [this, advice_request,
                                                        sender_fence] {
    --this->advice.open_requests;
    const bool down = this->advice.down;
    const auto permits =
        down ? std::map<VmId, std::string>() : this->Advise(advice_request);
    if (sender_fence != this->fence) {
      return;
    }
    if (down) {
      this->scheduler->OnAdviceFailed(this->now);
    } else {
      this->scheduler->OnAdvice(
          advice_request, permits,
          std::chrono::milliseconds(this->advice.valid_ms), this->now);
    }
  });
}

void FleetSim::Write(const WriteRecords& write, std::uint64_t sender_fence) {
  std::size_t entries = 1;
  for (const RecordWrite& record : write.records) {
    entries += TransactionEntries(record.step);
  }
  this->store.max_entries = std::max(this->store.max_entries, entries);
  WriteResult result{.answer = WriteAnswer::kUnavailable};
  if (!this->store.down && entries <= kMaxTransactionEntries &&
      sender_fence == this->fence) {
    result.answer = WriteAnswer::kWritten;
    for (const RecordWrite& record : write.records) {
      const auto& records = record.step == RecordStep::kErase
                                ? this->store.ended
                                : this->store.records;
      const auto found = records.find(record.job);
      const std::uint64_t revision =
          found == records.end() ? 0 : found->second.revision;
      result.revisions.emplace_back(record.job, revision);
      if (revision != record.expected) {
        result.answer = WriteAnswer::kConflict;
      }
    }
    if (result.answer == WriteAnswer::kWritten) {
      result.revision = ++this->store.revision;
      result.revisions.clear();
      for (const RecordWrite& record : write.records) {
        const SimStore::Record written{result.revision, record.value};
        switch (record.step) {
          case RecordStep::kProgress:
            this->store.records[record.job] = written;
            break;
          case RecordStep::kEnd:
            this->store.records.erase(record.job);
            this->store.ended[record.job] = written;
            break;
          case RecordStep::kErase:
            this->store.ended.erase(record.job);
            break;
        }
      }
    }
    if (this->store.drops_responses) {
      result = {.answer = WriteAnswer::kUnknown};
    }
  }
  const bool lost =
      std::bernoulli_distribution(this->store.lost_share)(this->store.random);
  if (lost) {
    result = {.answer = WriteAnswer::kUnknown};
  }
  this->RunAfter(lost ? this->store.response_timeout_ms : kStoreLatencyMs,
                 [this, id = write.id, result, sender_fence] {
                   if (sender_fence == this->fence) {
                     this->scheduler->OnWritten(id, result, this->now);
                   }
                 });
}

struct FleetSim::EffectVisitor {
  FleetSim& sim;
  std::uint64_t sender_fence;

  // Calls back with the VM, or nothing if it does not answer in time.
  template <typename Action>
  void Call(const Destination& to,
            std::int64_t timeout_ms,
            Action action) const {
    this->sim.RunAfter(kLatencyMs, [this_copy = *this, to, timeout_ms, action] {
      FakeVm& vm = *this_copy.sim.vms.at(to.vm.str());
      const bool answers = !vm.unresponsive;
      this_copy.sim.RunAfter(
          answers ? kLatencyMs : timeout_ms, [this_copy, &vm, action, answers] {
            if (this_copy.sender_fence == this_copy.sim.fence) {
              action(answers ? &vm : nullptr);
            }
          });
    });
  }

  // An order under way ends with the incarnation that it was sent to.
  template <typename Action>
  void ExecuteDelayed(const FakeVm& vm,
                      const Destination& to,
                      Action action) const {
    this->sim.RunAfter(
        vm.order_delay_ms,
        [&at = this->sim, boot_ms = vm.facts.boot_ms, to, action] {
          FakeVm& present = *at.vms.at(to.vm.str());
          if (!present.unresponsive && present.facts.boot_ms == boot_ms) {
            action(present);
          }
        });
  }

  void operator()(const StartRun& order) const {
    FleetSim& at = this->sim;
    if (at.vms.at(order.to.vm.str())->refuses_connections) {
      at.RunAfter(kLatencyMs, [&at, order, sender_fence = this->sender_fence] {
        if (sender_fence == at.fence) {
          at.scheduler->OnStart(order.to.vm, order.task, order.run,
                                StartAnswer::kNotSent, 0, at.now);
        }
      });
      return;
    }
    if (const FakeVm& vm = *at.vms.at(order.to.vm.str());
        vm.order_delay_ms > 0) {
      this->ExecuteDelayed(
          vm, order.to,
          [&at, order, sender_fence = this->sender_fence](FakeVm& to) {
            at.HandleStart(to, order, sender_fence);
          });
      at.RunAfter(kOrderTimeoutMs,
                  [&at, order, sender_fence = this->sender_fence] {
                    if (sender_fence == at.fence) {
                      at.scheduler->OnStart(order.to.vm, order.task, order.run,
                                            StartAnswer::kNoAnswer, 0, at.now);
                    }
                  });
      return;
    }
    at.RunAfter(kLatencyMs, [&at, order, sender_fence = this->sender_fence] {
      FakeVm& vm = *at.vms.at(order.to.vm.str());
      const StartAnswer carried = vm.unresponsive
                                      ? StartAnswer::kNoAnswer
                                      : at.HandleStart(vm, order, sender_fence);
      const bool lost = vm.unresponsive || vm.drops_responses;
      at.RunAfter(lost ? kOrderTimeoutMs : kLatencyMs,
                  [&at, &vm, order, sender_fence, lost, carried] {
                    if (sender_fence == at.fence) {
                      at.scheduler->OnStart(
                          order.to.vm, order.task, order.run,
                          lost ? StartAnswer::kNoAnswer : carried,
                          lost ? 0 : at.ClockOf(vm), at.now);
                    }
                  });
    });
  }
  void operator()(const StopRun& order) const {
    FleetSim& late_at = this->sim;
    if (const FakeVm& vm = *late_at.vms.at(order.to.vm.str());
        vm.order_delay_ms > 0) {
      this->ExecuteDelayed(
          vm, order.to,
          [&at = late_at, order, sender_fence = this->sender_fence](
              FakeVm& to) { at.HandleStop(to, order, sender_fence); });
      late_at.RunAfter(kOrderTimeoutMs, [&at = late_at, order,
                                         sender_fence = this->sender_fence] {
        if (sender_fence == at.fence) {
          at.scheduler->OnStop(order.to.vm, order.task, order.run, false,
                               at.now);
        }
      });
      return;
    }
    this->Call(order.to, kOrderTimeoutMs, [&at = this->sim, order](FakeVm* vm) {
      if (vm != nullptr) {
        at.HandleStop(*vm, order, at.fence);
      }
      at.scheduler->OnStop(order.to.vm, order.task, order.run, vm != nullptr,
                           at.now);
    });
  }
  void operator()(const PaceRun& order) const {
    this->Call(order.to, kOrderTimeoutMs, [&at = this->sim, order](FakeVm* vm) {
      if (vm != nullptr) {
        at.HandlePace(*vm, order, at.fence);
      }
      at.scheduler->OnPace(order.to.vm, order.task, order.run, vm != nullptr);
    });
  }
  void operator()(const PollVm& poll) const {
    FleetSim& at = this->sim;
    const Time sent = at.now;
    at.RunAfter(kLatencyMs,
                [&at, poll, sent, sender_fence = this->sender_fence] {
                  FakeVm& vm = *at.vms.at(poll.to.vm.str());
                  if (!vm.unresponsive) {
                    at.HandlePoll(vm, poll, sender_fence);
                  }
                  Answer(at, poll, sent, sender_fence, vm.facts.boot_ms,
                         at.now + std::chrono::milliseconds(poll.wait_ms));
                });
  }
  // Answers when a run has ended or the wait is over.
  static void Answer(FleetSim& at,
                     const PollVm& poll,
                     Time sent,
                     std::uint64_t sender_fence,
                     std::int64_t boot_ms,
                     Time latest) {
    FakeVm& vm = *at.vms.at(poll.to.vm.str());
    if (vm.unresponsive || vm.refuses_connections ||
        vm.facts.boot_ms != boot_ms) {
      at.RunAfter(kPollTimeoutSlackMs, [&at, poll, sender_fence] {
        if (sender_fence == at.fence) {
          at.scheduler->OnPollFailed(poll.to.vm, false, false, at.now);
        }
      });
      return;
    }
    const bool has_new_end =
        !vm.ended.empty() && vm.ended.back().number > poll.recorded_end;
    if (!has_new_end && at.now < latest) {
      at.RunAfter(kStepMs, [&at, poll, sent, sender_fence, boot_ms, latest] {
        Answer(at, poll, sent, sender_fence, boot_ms, latest);
      });
      return;
    }
    const bool fenced = sender_fence < vm.fence;
    const VmReport report = fenced ? VmReport{} : at.ReportOf(vm);
    at.RunAfter(kLatencyMs, [&at, poll, sent, sender_fence, report, fenced] {
      if (sender_fence != at.fence) {
        return;
      }
      if (fenced) {
        at.scheduler->OnPollFailed(poll.to.vm, true, false, at.now);
      } else {
        at.scheduler->OnReport(poll.to.vm, report, sent, at.now);
      }
    });
  }
  void operator()(const RequestAdvice& advice_request) const {
    this->sim.HandleAdviceRequest(advice_request, this->sender_fence);
  }
  void operator()(const WriteRecords& write) const {
    this->sim.Write(write, this->sender_fence);
  }
  void operator()(const PersistVm& effect) const {
    Persist(this->sim, effect, sender_fence);
  }
  // Repeated while the store is down, as the driver does.
  static void Persist(FleetSim& at,
                      const PersistVm& effect,
                      std::uint64_t sender_fence) {
    at.RunAfter(kStoreLatencyMs, [&at, effect, sender_fence] {
      if (sender_fence != at.fence ||
          !at.scheduler->vms().contains(effect.record.facts.id)) {
        return;
      }
      if (at.store.down) {
        Persist(at, effect, sender_fence);
        return;
      }
      at.persisted_vms[effect.record.facts.id.str()] = effect.record;
      at.scheduler->OnVmPersisted(effect.record.facts.id);
    });
  }
  void operator()(const EraseVmRecord& effect) const {
    this->sim.persisted_vms.erase(effect.vm.str());
  }
  void operator()(const PersistEndedVm& effect) const {
    this->sim.ended[effect.vm] = effect.boot_ms;
  }
  void operator()(const EraseEndedVmRecord& effect) const {
    this->sim.ended.erase(effect.vm);
  }
  void operator()(const ReadEndedJob& effect) const {
    this->sim.RunAfter(kStoreLatencyMs, [&at = this->sim, job = effect.job,
                                         by = this->sender_fence] {
      const auto row = at.store.ended.find(job);
      if (by == at.fence && !at.store.down && row != at.store.ended.end()) {
        at.scheduler->AddEnded(job, DecodeEnded(row->second.value).value(),
                               row->second.revision, at.now);
      }
    });
  }
  void operator()(const Superseded& /*effect*/) const {}
  void operator()(const LogEvent& log_event) const {
    this->sim.log_events.push_back(log_event);
  }
};

std::int64_t FleetSim::WallMs() const {
  return kStartWallMs + ToMs(this->now.time_since_epoch()) +
         this->wall_offset_ms;
}

void FleetSim::RunScheduler() {
  this->scheduler->Plan(this->now, this->WallMs());
  this->scheduler->Tick(this->now, this->WallMs());
  for (const Effect& effect : this->scheduler->TakeEffects()) {
    std::visit(EffectVisitor{*this, this->fence}, effect);
  }
}

void FleetSim::Run(std::int64_t ms) {
  const Time end = this->now + std::chrono::milliseconds(ms);
  while (this->now < end) {
    this->now += std::chrono::milliseconds(kStepMs);
    this->RunTasks(kStepMs);
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
      const auto action = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      action();
    }
    this->RunScheduler();
  }
}

bool FleetSim::RunUntil(const std::function<bool()>& condition,
                        std::int64_t limit_ms) {
  for (std::int64_t ms = 0; ms < limit_ms; ms += kStepMs) {
    if (condition()) {
      return true;
    }
    this->Run(kStepMs);
  }
  return condition();
}

bool FleetSim::Completes(const std::string& job, std::int64_t limit_ms) {
  return this->RunUntil(
      [&] { return this->StateOf(job) == JobState::kCompleted; }, limit_ms);
}

void FleetSim::Takeover() {
  ++this->fence;
  this->scheduler = std::make_unique<Scheduler>(this->limits);
  this->scheduler->SetConfig(this->config, this->now);
  for (const auto& [id, vm] : this->vms) {
    if (!this->unregistered.contains(id)) {
      this->scheduler->SetVm(vm->facts, this->now);
    }
    const auto record = this->persisted_vms.find(id);
    if (record != this->persisted_vms.end()) {
      this->scheduler->SetPersistedVm(record->second, this->now);
    }
  }
  for (const auto& [id, boot_ms] : this->ended) {
    this->scheduler->SetEndedVm(id, boot_ms);
  }
  for (const auto& [id, spec] : this->submitted) {
    if (this->store.ended.contains(id)) {
      continue;
    }
    const auto record = this->store.records.find(id);
    const bool stored = record != this->store.records.end();
    this->scheduler->AddJob(spec, stored ? record->second.value : "",
                            stored ? record->second.revision : 0, true,
                            this->now, this->now);
  }
  for (const JobId& job : this->cancelled) {
    this->scheduler->CancelJob(job, this->now);
  }
  if (this->ended_read_ms == 0) {
    this->ReadEndedJobs();
  } else {
    this->RunAfter(this->ended_read_ms, [this, by = this->fence] {
      if (by == this->fence) {
        this->ReadEndedJobs();
      }
    });
  }
  this->scheduler->BeginRecovery(this->now, this->WallMs());
}

void FleetSim::ReadEndedJobs() {
  for (const auto& [id, record] : this->store.ended) {
    this->scheduler->AddEnded(id, DecodeEnded(record.value).value(),
                              record.revision, this->now);
  }
}

void FleetSim::Register(const std::string& vm) {
  this->unregistered.erase(vm);
  this->scheduler->SetVm(this->vms.at(vm)->facts, this->now);
}

void FleetSim::Deregister(const std::string& vm) {
  this->unregistered.insert(vm);
  this->scheduler->RemoveVm(VmId(vm), this->now);
}

JobState FleetSim::StateOf(const std::string& job) const {
  const auto view = this->scheduler->View(JobId(job));
  return view ? view->state : JobState::kQueued;
}

double ProcessorSeconds(const std::function<void()>& action) {
  const std::clock_t begun = std::clock();
  action();
  return static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
}

}  // namespace kch::jobs::test
