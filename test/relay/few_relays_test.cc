#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <vector>

#include "fake/vms/vm_model.h"
#include "jobs/jobs.h"
#include "relay/relay.h"

// A scheduler and its relays in virtual time, with fewer relays than the fleet
// needs, each of which makes a bounded number of calls a second.

namespace kch::relay {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kVms = 96;
constexpr int kRelays = 3;
constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kReportMs = 50;
constexpr std::uint64_t kFence = 1;
constexpr jobs::Resources kVmSize{8000, 100'000, 0};

jobs::JobSpec JobOf(const std::string& id, std::int32_t count, bool endless) {
  jobs::JobSpec job;
  job.id = jobs::JobId(id);
  job.queue = {
      .id = jobs::QueueId("q"), .pool = PoolId("p"), .max_attempts = 2};
  job.steps.push_back({.count = count,
                       .need = {1000, 100, 0},
                       .estimate_ms = 500,
                       .endless = endless,
                       .max_unavailable = 3});
  return job;
}

class FewRelays : public fake::VmModel {
 public:
  explicit FewRelays(int calls_per_s)
      : calls_per_step(calls_per_s * kStepMs / 1000.0),
        scheduler(jobs::Limits{}),
        pool(kFence, this->now + milliseconds(500)) {
    this->scheduler.SetConfig(this->config, this->now);
    this->pool.SetVmCount(kVms);
    for (std::size_t i = 0; i < kVms; ++i) {
      const fake::FakeVm& vm =
          this->Add("vm" + std::to_string(i), "p", kVmSize, "r");
      this->scheduler.SetVm(vm.facts, this->now);
    }
    for (int i = 0; i < kRelays; ++i) {
      this->relays[InstanceId("p" + std::to_string(i))];
    }
  }

  void Submit(const jobs::JobSpec& job) {
    this->submitted[job.id] = job;
    this->scheduler.AddJob(job, "", 0, false, this->now, this->now);
  }
  void Run(std::int64_t ms) {
    for (std::int64_t passed = 0; passed < ms; passed += kStepMs) {
      this->now += milliseconds(kStepMs);
      this->RunTasks(kStepMs);
      for (auto& [id, relay] : this->relays) {
        this->RunRelay(id, relay);
      }
      this->Decide();
    }
  }
  [[nodiscard]] std::size_t Running(const jobs::JobSpec& job) const {
    std::size_t running = 0;
    for (std::int32_t i = 0; i < job.steps[0].count; ++i) {
      running += this->Runs(jobs::TaskRef{job.id, 0, 0, i}.Name()) ? 1 : 0;
    }
    return running;
  }

  int runs_lost = 0;
  int relays_lost = 0;

 private:
  struct OpenPoll {
    std::uint64_t number = 0;
    jobs::PollVm poll;
    Time until;
  };
  struct Relay {
    std::deque<Call> calls;
    std::vector<OpenPoll> polls;
    std::vector<CallReply> replies;
    double credit = 0;
    Time next_report;
  };

  void RunRelay(const InstanceId& id, Relay& relay) {
    relay.credit =
        std::min(relay.credit + this->calls_per_step, this->calls_per_step + 1);
    while (relay.credit >= 1 && !relay.calls.empty()) {
      relay.credit -= 1;
      this->Make(relay, std::move(relay.calls.front()));
      relay.calls.pop_front();
    }
    std::erase_if(relay.polls, [&](const OpenPoll& open) {
      const fake::FakeVm& vm = *this->vms.at(open.poll.to.vm.str());
      const bool ended =
          !vm.ended.empty() && vm.ended.back().number > open.poll.recorded_end;
      if (!ended && this->now < open.until) {
        return false;
      }
      relay.replies.push_back(
          {open.number, PollReply{.outcome = PollOutcome::kReport,
                                  .report = this->ReportOf(vm)}});
      return true;
    });
    if (this->now >= relay.next_report) {
      relay.next_report = this->now + milliseconds(kReportMs);
      this->pool.OnReport({.fence = kFence,
                           .instance = id,
                           .incarnation = "1",
                           .address = "10.0.1.1:1",
                           .clock_ms = ToMs(this->now.time_since_epoch()),
                           .replies = std::exchange(relay.replies, {})},
                          this->now);
    }
  }
  void Make(Relay& relay, Call call) {
    if (const auto* start = std::get_if<jobs::StartRun>(&call.order)) {
      fake::FakeVm& vm = *this->vms.at(start->to.vm.str());
      const jobs::StartAnswer answer = this->HandleStart(vm, *start, kFence);
      relay.replies.push_back(
          {call.number, StartReply{answer, this->ClockOf(vm)}});
    } else if (const auto* stop = std::get_if<jobs::StopRun>(&call.order)) {
      this->HandleStop(*this->vms.at(stop->to.vm.str()), *stop, kFence);
      relay.replies.push_back({call.number, ControlReply{true}});
    } else if (const auto* poll = std::get_if<jobs::PollVm>(&call.order)) {
      this->HandlePoll(*this->vms.at(poll->to.vm.str()), *poll, kFence);
      relay.polls.push_back(
          {call.number, *poll, this->now + milliseconds(poll->wait_ms)});
    }
  }
  void Decide() {
    this->pool.Tick(this->now);
    this->Apply();
    this->scheduler.Plan(this->now, 0, this->pool.StartRoom());
    this->scheduler.Tick(this->now, 0);
    for (jobs::Effect& effect : this->scheduler.TakeEffects()) {
      if (auto* start = std::get_if<jobs::StartRun>(&effect)) {
        this->pool.Submit(std::move(*start), this->now);
      } else if (auto* stop = std::get_if<jobs::StopRun>(&effect)) {
        this->pool.Submit(std::move(*stop), this->now);
      } else if (auto* poll = std::get_if<jobs::PollVm>(&effect)) {
        this->pool.Submit(std::move(*poll), this->now);
      } else if (const auto* write = std::get_if<jobs::WriteRecords>(&effect)) {
        this->scheduler.OnWritten(
            write->id,
            {.answer = jobs::WriteAnswer::kWritten, .revision = write->id},
            this->now);
      } else if (const auto* vm = std::get_if<jobs::PersistVm>(&effect)) {
        this->scheduler.OnVmPersisted(vm->record.facts.id);
      } else if (const auto* event = std::get_if<jobs::LogEvent>(&effect)) {
        this->runs_lost += event->event == "run_lost" ? 1 : 0;
      }
    }
    this->Apply();
  }
  void Apply() {
    for (Effect& effect : this->pool.TakeEffects()) {
      if (auto* forward = std::get_if<Forward>(&effect)) {
        Relay& relay = this->relays.at(forward->relay);
        for (Call& call : forward->batch.calls) {
          relay.calls.push_back(std::move(call));
        }
      } else if (const auto* event = std::get_if<LogEvent>(&effect)) {
        this->relays_lost += event->event == "relay_lost" ? 1 : 0;
      } else if (const auto* late = std::get_if<DeliverLateReport>(&effect)) {
        this->scheduler.OnLateReport(late->vm, late->report, this->now);
      } else if (const auto* reply = std::get_if<DeliverReply>(&effect)) {
        this->Deliver(*reply);
      }
    }
  }
  void Deliver(const DeliverReply& delivered) {
    if (const auto* start = std::get_if<jobs::StartRun>(&delivered.order)) {
      const auto& reply = std::get<StartReply>(delivered.reply);
      this->scheduler.OnStart(start->to.vm, start->task, start->run,
                              reply.answer, reply.clock_ms, this->now);
    } else if (const auto* stop =
                   std::get_if<jobs::StopRun>(&delivered.order)) {
      this->scheduler.OnStop(stop->to.vm, stop->task, stop->run,
                             std::get<ControlReply>(delivered.reply).answered,
                             this->now);
    } else if (const auto* poll = std::get_if<jobs::PollVm>(&delivered.order)) {
      const auto& reply = std::get<PollReply>(delivered.reply);
      if (reply.outcome == PollOutcome::kReport) {
        this->scheduler.OnReport(poll->to.vm, reply.report,
                                 delivered.submitted_at, this->now);
      } else {
        this->scheduler.OnPollFailed(poll->to.vm, false, false, this->now);
      }
    }
  }

  double calls_per_step;
  jobs::Scheduler scheduler;
  RelayPool pool;
  std::map<InstanceId, Relay> relays;
};

}  // namespace

// Guards against a collapse under more work than the relays that are left can
// order: polls waited behind starts, leases lapsed, and runs that had been lost
// had to start again.
BOOST_AUTO_TEST_CASE(WorkBeyondTheRelaysEndsNoRun) {
  FewRelays fleet(100);
  const jobs::JobSpec lasting = JobOf("lasting", kVms, true);
  fleet.Submit(lasting);
  fleet.Run(3000);
  BOOST_REQUIRE(fleet.Running(lasting) == kVms);
  // Twice what the relays can start, beside their polls.
  for (int i = 0; i < 100; ++i) {
    fleet.Submit(JobOf("job" + std::to_string(i), 60, false));
    fleet.Run(200);
    BOOST_TEST(fleet.Running(lasting) == kVms);
  }
  BOOST_TEST(fleet.runs_lost == 0);
  BOOST_TEST(fleet.relays_lost == 0);
  BOOST_TEST(fleet.starts() > 1000);
  BOOST_TEST(fleet.violations.empty());
}

}  // namespace kch::relay
