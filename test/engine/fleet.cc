#include "test/engine/fleet.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "maintain/record.h"

namespace kch::engine::test {
namespace {

// After this time an unanswered poll counts as missed.
constexpr Duration kPollTimeout = std::chrono::seconds(1);

// "Within seconds", as the interface promises for keys, zones and VMs that
// leave: the freshness bound plus the time to detect and to send.
constexpr Duration kInForceBound = std::chrono::seconds(4);

// Workers retain the result of a task for 2 minutes after its end.
constexpr Duration kResultTtl = std::chrono::minutes(2);

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

}  // namespace

Settings FleetOptions::DefaultSettings() {
  Settings settings;
  settings.longest_lease = std::chrono::seconds(10);
  settings.lease_margin = std::chrono::seconds(2);
  return settings;
}

std::string Fleet::SecretOf(const std::string& team) {
  return "k" + team + ".secret";
}

std::size_t Fleet::CallerOf(const Job& job) {
  return std::stoull(job.body);
}

// Performs each kind of effect on the fakes.
struct FleetEffects {
  Fleet& fleet;
  int index;

  Fleet::Node& node() const { return this->fleet.nodes[this->index]; }

  void operator()(ReplyCaller& effect) const {
    const auto found = this->node().calls.find(effect.call);
    if (found == this->node().calls.end()) {
      this->fleet.ReportViolation("an answer for an unknown caller");
      return;
    }
    Caller& caller = this->fleet.callers[found->second];
    if (caller.outcome) {
      this->fleet.ReportViolation("a second answer for one caller");
    }
    caller.outcome = std::move(effect.outcome);
    caller.answered = this->fleet.clock;
    this->fleet.CheckAnswer(caller);
    if (this->fleet.hooks.on_answer) {
      this->fleet.hooks.on_answer(caller, found->second);
    }
  }
  void operator()(ReplyOperator& effect) const {
    const auto found = this->node().operator_calls.find(effect.call);
    this->fleet.changes[found->second] = std::move(effect);
    this->fleet.RecordChange(found->second);
  }
  void operator()(SendPeer& effect) const {
    const auto to =
        std::ranges::find(this->fleet.nodes, effect.to, &Fleet::Node::name);
    if (to == this->fleet.nodes.end()) {
      return;
    }
    const int target = static_cast<int>(to - this->fleet.nodes.begin());
    ++this->node().counters.messages;
    if (this->fleet.hooks.on_message) {
      this->fleet.hooks.on_message(this->index, effect.message);
    }
    const int copies =
        this->fleet.Chance(this->fleet.options.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->fleet.partitions.contains({this->index, target}) ||
          this->fleet.Chance(this->fleet.options.drop)) {
        continue;
      }
      this->fleet.After(this->fleet.Delay(), [&fleet = this->fleet, target,
                                              message = effect.message] {
        fleet.Deliver(target, 0, PeerMessage{message});
      });
    }
  }
  void operator()(const ConnectPeer& /*effect*/) const {}
  void operator()(const DropPeer& /*effect*/) const {}
  void operator()(StoreRequest& effect) const {
    this->fleet.SendStore(this->index, std::move(effect));
  }
  void operator()(const WatchKey& effect) const {
    this->node().watches.insert(effect.key);
    this->fleet.After(
        this->fleet.Delay(),
        [&fleet = this->fleet, key = effect.key] { fleet.NotifyWatches(key); });
  }
  void operator()(const StartTask& effect) const {
    this->fleet.StartOnWorker(this->index, effect);
  }
  void operator()(const AttachTask& effect) const {
    this->fleet.AttachOnWorker(this->index, effect);
  }
  void operator()(const AbortTaskConnection& effect) const {
    this->node().aborted.insert(effect.task);
    this->fleet.Deliver(
        this->index, this->node().incarnation,
        AttemptEnded{{.task = effect.task, .status = AttemptStatus::kBroken}});
  }
  void operator()(const PollWorker& effect) const {
    this->fleet.Poll(this->index, effect);
  }
  void operator()(const OrderTask& effect) const { this->fleet.Order(effect); }
  void operator()(const Trace& effect) const {
    if (this->fleet.trace == nullptr) {
      return;
    }
    *this->fleet.trace << ToMs(this->fleet.clock.time_since_epoch()) << " "
                       << this->node().name << " " << NameOf(effect.kind);
    for (const std::string* field : {&effect.request, &effect.task, &effect.vm,
                                     &effect.zone, &effect.text}) {
      *this->fleet.trace << (field->empty() ? "" : " ") << *field;
    }
    *this->fleet.trace << "\n";
  }
  void operator()(const Exit& /*effect*/) const { this->node().alive = false; }
};

Fleet::Fleet(const FleetOptions& options)
    : random(options.seed), options(options) {
  if (options.pool_vms.empty()) {
    this->AddPool("p", options.vms);
  }
  for (std::size_t i = 0; i < options.pool_vms.size(); ++i) {
    this->AddPool("p" + std::to_string(i), options.pool_vms[i]);
  }
  this->nodes.resize(options.entries);
  for (int i = 0; i < options.entries; ++i) {
    this->nodes[i].name = InstanceId("e" + std::to_string(i));
    this->Start(i);
  }
}

void Fleet::AddPool(const std::string& name, int vms) {
  maintain::PoolRecord record;
  record.pool = PoolId(name);
  record.generation = 1;
  const bool several = !this->options.pool_vms.empty();
  for (int i = 0; i < vms; ++i) {
    const std::string number = std::to_string(this->workers.size());
    const std::string zone = std::to_string(i % 3);
    std::string rack = "r";
    if (several) {
      rack.append(name).append("-").append(zone);
    } else {
      rack.append(std::to_string(i / 4));
    }
    FakeWorker worker;
    worker.vm = VmId("vm" + number);
    worker.zone = ZoneId("z" + zone);
    worker.slots = this->options.slots;
    worker.pool = record.pool;
    this->workers.push_back(worker);
    record.vms[worker.vm] = {
        .id = worker.vm,
        .address = number,
        .zone = worker.zone,
        .rack = RackId(rack),
        .slots = static_cast<std::uint32_t>(this->options.slots),
        .cpus = 32,
        .memory_mb = 131'072};
  }
  this->store.Perform(StoreCas{"pool/" + name, 0, maintain::Encode(record)});
}

void Fleet::After(Duration delay, std::function<void()> action) {
  this->queue.push({this->clock + delay, ++this->scheduled, std::move(action)});
}

Duration Fleet::Delay() {
  return this->options.latency +
         Duration(std::uniform_int_distribution<std::int64_t>(
             0, this->options.jitter.count())(this->random));
}

bool Fleet::Chance(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

void Fleet::Run(Duration duration) {
  const Time end = this->clock + duration;
  while (!this->queue.empty() && this->queue.top().at <= end) {
    const Scheduled next = this->queue.top();
    this->queue.pop();
    this->clock = std::max(this->clock, next.at);
    next.action();
  }
  this->clock = end;
}

bool Fleet::RunUntil(const std::function<bool()>& condition, Duration bound) {
  const Time end = this->clock + bound;
  while (!condition()) {
    if (this->clock >= end) {
      return false;
    }
    this->Run(std::chrono::milliseconds(20));
  }
  return true;
}

void Fleet::Start(int index) {
  Node& node = this->nodes[index];
  node.incarnation = ++this->last_incarnation;
  node.alive = true;
  node.paused = false;
  node.deferred_events.clear();
  node.watches.clear();
  node.calls.clear();
  node.operator_calls.clear();
  node.aborted.clear();
  node.entry = std::make_unique<Entry>(
      member::Member{.instance = node.name,
                     .incarnation = node.incarnation,
                     .vm = VmId("evm" + std::to_string(index)),
                     .zone = ZoneId("z" + std::to_string(index % 3)),
                     .peer_address = node.name.str(),
                     .http_address = node.name.str()},
      std::vector<SeedPeer>{}, this->options.settings, this->random(),
      this->clock);
  this->TickNode(index, node.incarnation);
}

void Fleet::TickNode(int index, std::uint64_t incarnation) {
  Node& node = this->nodes[index];
  if (!node.alive || node.incarnation != incarnation) {
    return;
  }
  if (!node.paused) {
    this->Deliver(index, incarnation,
                  Tick{std::chrono::duration_cast<std::chrono::seconds>(
                           this->clock.time_since_epoch())
                           .count()});
  }
  this->After(this->options.tick, [this, index, incarnation] {
    this->TickNode(index, incarnation);
  });
}

// Incarnation 0 delivers to the current incarnation, whichever it is.
void Fleet::Deliver(int index, std::uint64_t incarnation, Event event) {
  Node& node = this->nodes[index];
  if (!node.alive || (incarnation != 0 && node.incarnation != incarnation)) {
    return;
  }
  if (node.paused) {
    node.deferred_events.push_back(std::move(event));
    return;
  }
  ++this->steps;
  if (std::holds_alternative<StoreWatchUpdate>(event)) {
    ++node.counters.watches;
  }
  if (!this->options.measure_cpu) {
    this->Perform(index, node.entry->Step(std::move(event), this->clock));
    return;
  }
  const double before = ThreadSeconds();
  Effects effects = node.entry->Step(std::move(event), this->clock);
  node.counters.step_seconds += ThreadSeconds() - before;
  this->Perform(index, std::move(effects));
}

void Fleet::Perform(int index, Effects effects) {
  for (Effect& effect : effects) {
    std::visit(FleetEffects{*this, index}, effect);
  }
}

void Fleet::SendStore(int index, StoreRequest request) {
  const std::uint64_t incarnation = this->nodes[index].incarnation;
  const bool is_write = std::holds_alternative<StoreCas>(request.op);
  NodeCounters& counters = this->nodes[index].counters;
  ++(is_write ? counters.writes : counters.reads);
  this->After(this->Delay(), [this, index, incarnation, is_write,
                              request = std::move(request)] {
    const std::string key = std::visit(
        [](const auto& operation) { return operation.key; }, request.op);
    StoreReply reply{.key = key, .is_write = is_write};
    Duration delay = this->Delay();
    if (this->store_down && !this->Chance(0.1)) {
      reply.status = is_write && this->Chance(0.5) ? StoreStatus::kUnknown
                                                   : StoreStatus::kUnavailable;
      delay += std::chrono::milliseconds(100);
    } else {
      reply = this->store.Perform(request.op);
      // An outage that the hook starts does not affect this reply.
      const bool was_down = this->store_down;
      if (reply.status == StoreStatus::kOk && is_write) {
        if (key == config::kHeadKey) {
          this->RecordHead();
        }
        if (this->hooks.on_write) {
          this->hooks.on_write(key);
        }
        this->NotifyWatches(key);
      }
      const bool lost =
          was_down || (is_write && this->Chance(this->options.lose_reply));
      if (lost) {
        reply = {.key = key,
                 .is_write = is_write,
                 .status = is_write ? StoreStatus::kUnknown
                                    : StoreStatus::kUnavailable};
        delay += std::chrono::milliseconds(500);
      }
    }
    this->After(delay, [this, index, incarnation, user = request.user, reply] {
      this->Deliver(index, incarnation, StoreCompletion{user, reply});
    });
  });
}

void Fleet::NotifyWatches(const std::string& key) {
  if (this->store_down) {
    return;
  }
  const StoreReply reply = this->store.Read(key);
  for (int i = 0; i < this->options.entries; ++i) {
    if (this->nodes[i].watches.contains(key)) {
      this->After(this->Delay(),
                  [this, i, incarnation = this->nodes[i].incarnation, reply] {
                    this->Deliver(i, incarnation, StoreWatchUpdate{reply});
                  });
    }
  }
}

std::size_t Fleet::Change(int entry, config::Change change) {
  const std::size_t number = this->changes.size();
  this->changes.emplace_back();
  // A zone may be used as soon as the write that returns it to service takes
  // effect, which precedes the reply.
  if (const auto* zone = std::get_if<config::SetZone>(&change);
      zone != nullptr && zone->zone.in_service) {
    this->zone_out_since.erase(zone->zone.id);
  }
  this->proposed.push_back(change);
  const CallId call = ++this->last_call;
  this->nodes[entry].operator_calls[call] = number;
  this->Deliver(entry, 0,
                OperatorChange{call,
                               {.change_id = "change" + std::to_string(number),
                                .change = std::move(change)}});
  return number;
}

// Records when a head that allows starts again took effect in the store.
void Fleet::RecordHead() {
  const StoreReply reply = this->store.Read(std::string(config::kHeadKey));
  const auto head = config::Decode<config::Head>(*reply.value);
  const config::LoggedChange& last = head->changes.back();
  const auto* zone = std::get_if<config::SetZone>(&last.change);
  if (zone != nullptr && zone->zone.in_service) {
    this->zone_out_since.erase(zone->zone.id);
    this->zone_in_revision[zone->zone.id] = last.revision;
  }
}

// Records when a change that forbids starts was reported as accepted.
void Fleet::RecordChange(std::size_t number) {
  const auto* accepted =
      std::get_if<config::Accepted>(&this->changes[number]->outcome);
  if (accepted == nullptr) {
    return;
  }
  const config::Change& change = this->proposed[number];
  if (const auto* zone = std::get_if<config::SetZone>(&change)) {
    // Replies may arrive after the next change of the zone.
    if (!zone->zone.in_service &&
        accepted->revision > this->zone_in_revision[zone->zone.id]) {
      this->zone_out_since[zone->zone.id] = this->clock;
    }
  } else if (const auto* key = std::get_if<config::WithdrawKey>(&change)) {
    this->key_withdrawn_since[key->id.str().substr(1)] = this->clock;
  }
}

void Fleet::Configure(std::uint32_t limit_a, std::uint32_t limit_b) {
  this->RunUntil(
      [this] {
        return this->entry(0).membership().HasFreshContact(this->clock);
      },
      std::chrono::seconds(5));
  std::vector<config::Change> wanted;
  wanted.reserve(10);
  for (int i = 0; i < 3; ++i) {
    wanted.emplace_back(
        config::SetZone{{ZoneId("z" + std::to_string(i)), true}});
  }
  wanted.emplace_back(
      config::PutPool{{.id = PoolId("p"), .max_unavailable = 1}});
  for (const auto& [team, limit] :
       {std::pair{"a", limit_a}, std::pair{"b", limit_b}}) {
    wanted.emplace_back(
        config::PutTeam{{.id = TeamId(team), .weight = 1, .limit = limit}});
    wanted.emplace_back(config::GrantKey{
        {.id = KeyId("k" + std::string(team)),
         .team = TeamId(team),
         .secret_sha256 = config::HashSecret(SecretOf(team))}});
  }
  config::Profile profile{.id = ProfileId("q"), .pool = PoolId("p")};
  profile.task_lease_ms = 10'000;
  wanted.emplace_back(config::PutProfile{profile});
  profile.id = ProfileId("night");
  profile.preemptible = true;
  profile.on_drain = config::OnDrain::kCheckpoint;
  wanted.emplace_back(config::PutProfile{profile});
  this->Apply(wanted);
}

void Fleet::Apply(const std::vector<config::Change>& wanted) {
  for (const config::Change& change : wanted) {
    const std::size_t number = this->Change(0, change);
    this->RunUntil([&] { return this->changes[number].has_value(); },
                   std::chrono::seconds(10));
  }
  this->Run(std::chrono::seconds(1));
}

std::size_t Fleet::Submit(int entry,
                          const std::string& team,
                          Duration run,
                          const std::string& request_id,
                          bool repeatable,
                          const std::string& profile,
                          std::int64_t deadline_ms) {
  const std::size_t number = this->callers.size();
  const std::string body =
      std::to_string(number) + " " + std::to_string(run.count());
  this->callers.push_back({.profile = ProfileId(profile),
                           .request_id = request_id,
                           .body = body,
                           .repeatable = repeatable,
                           .sent = this->clock,
                           .entry = entry,
                           .incarnation = this->nodes[entry].incarnation});
  const CallId call = ++this->last_call;
  this->nodes[entry].calls[call] = number;
  this->Deliver(entry, 0,
                CallerRequest{.call = call,
                              .profile = ProfileId(profile),
                              .secret = SecretOf(team),
                              .request_id = request_id,
                              .repeatable = repeatable,
                              .deadline_ms = deadline_ms,
                              .body = body});
  return number;
}

void Fleet::Kill(int entry) {
  this->nodes[entry].alive = false;
}

void Fleet::Restart(int entry) {
  this->Start(entry);
}

void Fleet::Pause(int entry) {
  this->nodes[entry].paused = true;
}

void Fleet::Resume(int entry) {
  Node& node = this->nodes[entry];
  if (!node.paused) {
    return;
  }
  node.paused = false;
  const std::uint64_t incarnation = node.incarnation;
  for (Event& event : std::exchange(node.deferred_events, {})) {
    this->Deliver(entry, incarnation, std::move(event));
  }
}

void Fleet::Shutdown(int entry) {
  this->Deliver(entry, 0, Stop{});
}

void Fleet::SetPartitioned(int first, int second, bool partitioned) {
  for (const auto& pair :
       {std::pair{first, second}, std::pair{second, first}}) {
    if (partitioned) {
      this->partitions.insert(pair);
    } else {
      this->partitions.erase(pair);
    }
  }
}

void Fleet::SetStoreDown(bool down) {
  this->store_down = down;
  if (down) {
    return;
  }
  // Watches are set again and deliver the records that have changed in the
  // meantime.
  std::set<std::string> keys;
  for (const Node& node : this->nodes) {
    keys.insert(node.watches.begin(), node.watches.end());
  }
  for (const std::string& key : keys) {
    this->NotifyWatches(key);
  }
}

void Fleet::SetVmState(int vm, maintain::VmState state) {
  if (this->store_down) {
    return;
  }
  const StoreReply read = this->store.Read("pool/p");
  auto record = maintain::Decode<maintain::PoolRecord>(*read.value).value();
  const VmId id = this->workers[vm].vm;
  record.vms[id].state = state;
  ++record.generation;
  this->store.Perform(
      StoreCas{"pool/p", read.version, maintain::Encode(record)});
  if (state == maintain::VmState::kServing) {
    this->vm_left_since.erase(id.str());
  } else {
    this->vm_left_since[id.str()] = this->clock;
  }
  this->NotifyWatches("pool/p");
}

int Fleet::WorkerAt(const std::string& address) const {
  return std::stoi(address);
}

void Fleet::StartOnWorker(int index, const StartTask& start) {
  const std::uint64_t incarnation = this->nodes[index].incarnation;
  const int vm = this->WorkerAt(start.attempt.address);
  this->After(this->Delay(), [this, index, incarnation, vm, start] {
    FakeWorker& worker = this->workers[vm];
    const TaskId id = start.attempt.task;
    const auto answer = [this, index, incarnation, vm,
                         id](const AttemptResult& result) {
      if (this->workers[vm].fault == WorkerFault::kUnresponsive) {
        return;
      }
      this->After(this->Delay(), [this, index, incarnation, id, result] {
        if (!this->nodes[index].aborted.contains(id)) {
          this->Deliver(index, incarnation, AttemptEnded{result});
        }
      });
    };
    if (worker.fault == WorkerFault::kRefuse ||
        worker.Running() >= worker.slots) {
      answer({.task = id,
              .status = AttemptStatus::kRefused,
              .detail = "slots_full"});
      return;
    }
    this->CheckStart(worker, start.job, !start.checkpoint.empty());
    FakeWorker::Task task{.id = id, .job = start.job};
    const std::string& body = start.job.body;
    // A checkpoint holds the remaining run time.
    const Duration run(std::stoll(start.checkpoint.empty()
                                      ? body.substr(body.find(' ') + 1)
                                      : start.checkpoint));
    task.ends = this->clock + run;
    task.lease_ends =
        this->clock + std::chrono::milliseconds(start.attempt.lease_ms);
    if (worker.fault != WorkerFault::kDropResults) {
      task.waiting.emplace_back(answer);
    }
    worker.tasks[id] = task;
    worker.active.insert(id);
    ++this->running[start.job.team.str()];
    if (this->hooks.on_start) {
      this->hooks.on_start(worker, start.job, index);
    }
    if (worker.fault == WorkerFault::kFailAll) {
      this->EndTask(worker, id, AttemptStatus::kFailed);
      return;
    }
    this->After(run, [this, vm, id] {
      this->EndTask(this->workers[vm], id, AttemptStatus::kDone);
    });
    this->CheckLease(vm, id);
  });
}

void Fleet::CheckLease(int vm, const TaskId& id) {
  if (!this->workers[vm].active.contains(id)) {
    return;
  }
  const FakeWorker::Task& task = this->workers[vm].tasks.at(id);
  if (this->clock >= task.lease_ends) {
    this->EndTask(this->workers[vm], id, AttemptStatus::kFailed);
    return;
  }
  this->After(task.lease_ends - this->clock,
              [this, vm, id] { this->CheckLease(vm, id); });
}

void Fleet::EndTask(FakeWorker& worker,
                    const TaskId& id,
                    AttemptStatus status) {
  if (!worker.active.contains(id)) {
    return;
  }
  FakeWorker::Task& task = worker.tasks.at(id);
  task.running = false;
  worker.active.erase(id);
  --this->running[task.job.team.str()];
  if (this->hooks.on_end) {
    this->hooks.on_end(worker, task.job, status);
  }
  this->After(kResultTtl, [this, vm = this->WorkerAt(worker.vm.str().substr(2)),
                           id] { this->workers[vm].tasks.erase(id); });
  task.result = {.task = id, .status = status};
  if (status == AttemptStatus::kDone) {
    task.result.body = "answer to " + task.job.body;
  } else if (status == AttemptStatus::kCheckpointed) {
    const Duration left = std::max(Duration(0), task.ends - this->clock);
    task.result.detail = std::to_string(left.count());
  }
  for (const auto& answer : std::exchange(task.waiting, {})) {
    answer(task.result);
  }
}

void Fleet::AttachOnWorker(int index, const AttachTask& attach) {
  const std::uint64_t incarnation = this->nodes[index].incarnation;
  const int vm = this->WorkerAt(attach.attempt.address);
  this->After(
      this->Delay(), [this, index, incarnation, vm, id = attach.attempt.task] {
        const auto answer = [this, index, vm,
                             incarnation](const AttemptResult& result) {
          if (this->workers[vm].fault == WorkerFault::kUnresponsive) {
            return;
          }
          this->After(this->Delay(), [this, index, incarnation, result] {
            this->Deliver(index, incarnation, AttemptEnded{result});
          });
        };
        FakeWorker& worker = this->workers[vm];
        const auto found = worker.tasks.find(id);
        if (found == worker.tasks.end()) {
          answer({.task = id, .status = AttemptStatus::kNotKnown});
        } else if (found->second.running) {
          found->second.waiting.emplace_back(answer);
        } else {
          answer(found->second.result);
        }
      });
}

void Fleet::Poll(int index, const PollWorker& poll) {
  const std::uint64_t incarnation = this->nodes[index].incarnation;
  const int vm = this->WorkerAt(poll.address);
  this->After(this->Delay(), [this, index, incarnation, vm, poll] {
    FakeWorker& worker = this->workers[vm];
    WorkerReport report{.vm = worker.vm, .reached = true, .boot = "1"};
    if (worker.fault == WorkerFault::kUnresponsive) {
      report.reached = false;
      this->After(kPollTimeout, [this, index, incarnation, report] {
        this->Deliver(index, incarnation, report);
      });
      return;
    }
    for (const TaskId& id : poll.tasks) {
      const auto found = worker.tasks.find(id);
      if (found != worker.tasks.end() && found->second.running) {
        found->second.lease_ends =
            this->clock + std::chrono::milliseconds(poll.lease_ms);
      }
    }
    for (const TaskId& id : worker.active) {
      const Job& job = worker.tasks.at(id).job;
      report.tasks.push_back({id, job.team, job.profile});
    }
    this->After(this->Delay(), [this, index, incarnation, report] {
      this->Deliver(index, incarnation, report);
    });
  });
}

void Fleet::Order(const OrderTask& order) {
  const int vm = this->WorkerAt(order.address);
  this->After(this->Delay(), [this, vm, order] {
    FakeWorker& worker = this->workers[vm];
    if (!worker.tasks.contains(order.task)) {
      return;
    }
    if (order.order == TaskOrder::kCheckpoint) {
      this->EndTask(worker, order.task, AttemptStatus::kCheckpointed);
    } else if (order.order == TaskOrder::kStop) {
      this->EndTask(worker, order.task, AttemptStatus::kFailed);
    }
  });
}

std::int64_t Fleet::Running(const std::string& team) const {
  const auto found = this->running.find(team);
  return found == this->running.end() ? 0 : found->second;
}

std::size_t Fleet::Unanswered() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->callers, [this](const Caller& caller) {
        const Node& node = this->nodes[caller.entry];
        return !caller.outcome && node.alive &&
               node.incarnation == caller.incarnation;
      }));
}

int Fleet::SchedulerAccordingTo(int entry) const {
  const auto owner =
      this->entry(entry).membership().OwnerOf(PoolId("p"), this->clock);
  const auto found = std::ranges::find_if(
      this->nodes, [&](const Node& node) { return node.name == owner; });
  return static_cast<int>(found - this->nodes.begin());
}

std::map<std::string, int> Fleet::Outcomes() const {
  std::map<std::string, int> counts;
  for (const Caller& caller : this->callers) {
    ++counts[caller.outcome ? std::string(NameOf(caller.outcome->kind))
                            : "unanswered"];
  }
  return counts;
}

void Fleet::ReportViolation(const std::string& what) {
  if (this->violation.empty()) {
    this->violation = what + " at " +
                      std::to_string(ToMs(this->clock.time_since_epoch())) +
                      " ms, seed " + std::to_string(this->options.seed);
  }
}

// Called just before a task starts on a worker.
void Fleet::CheckStart(const FakeWorker& worker, const Job& job, bool resumed) {
  ++this->starts;
  const StoreReply permits = this->store.Read("permit/team/" + job.team.str());
  const auto record = permits.value
                          ? permit::Decode<permit::Record>(*permits.value)
                          : Result<permit::Record>();
  const std::int64_t running = this->Running(job.team.str()) + 1;
  if (!record || running > static_cast<std::int64_t>(record->cap)) {
    this->ReportViolation("I4: team " + job.team.str() + " runs " +
                          std::to_string(running) + " tasks, its cap is " +
                          std::to_string(record ? record->cap : 0));
  }
  const auto zone = this->zone_out_since.find(worker.zone);
  if (zone != this->zone_out_since.end() &&
      this->clock - zone->second > kInForceBound) {
    this->ReportViolation("I5: start in zone " + worker.zone.str());
  }
  const auto key = this->key_withdrawn_since.find(job.team.str());
  if (key != this->key_withdrawn_since.end() &&
      this->clock - key->second > kInForceBound) {
    this->ReportViolation("I3: start with the withdrawn key of " +
                          job.team.str());
  }
  const auto left = this->vm_left_since.find(worker.vm.str());
  if (left != this->vm_left_since.end() &&
      this->clock - left->second > kInForceBound) {
    this->ReportViolation("I9: start on leaving VM " + worker.vm.str());
  }
  if (!job.repeatable && !resumed &&
      ++this->runs_by_request[job.request.str()] > 1) {
    this->ReportViolation("I8: " + job.request.str() + " runs twice");
  }
  if (this->not_run_bodies.contains(job.body)) {
    this->ReportViolation("I7: runs after not_run: " + job.id.str());
  }
  ++this->runs_by_body[job.body];
}

// Called when a caller receives its answer.
void Fleet::CheckAnswer(const Caller& caller) {
  const Outcome& outcome = *caller.outcome;
  if (outcome.kind == OutcomeKind::kDone) {
    // Requests with the same id receive the answer to the first.
    const bool own = outcome.body == "answer to " + caller.body;
    if (!own && caller.request_id.empty()) {
      this->ReportViolation("I6: caller of '" + caller.body + "' got '" +
                            outcome.body + "'");
    }
  } else if (outcome.kind == OutcomeKind::kNotRun) {
    if (this->runs_by_body.contains(caller.body)) {
      this->ReportViolation("I7: not_run, but it ran: " + caller.body);
    }
    this->not_run_bodies.insert(caller.body);
  }
}

}  // namespace kch::engine::test
