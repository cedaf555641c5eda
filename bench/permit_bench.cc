// Measures store load and the time from demand to permit, in virtual time.
// Usage: bench_permit_bench

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <string>

#include "permit/permit.h"

namespace kch::permit {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kHeartbeat = milliseconds(300);
constexpr Duration kWarmUp = seconds(10);
constexpr Duration kMeasured = seconds(60);
constexpr std::uint32_t kLimit = 40;

struct Size {
  std::size_t instances;
  std::size_t subjects;
  bool watch;  // whether store watches report every version to every instance
};

struct Result {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::size_t unmet = 0;
  std::vector<double> wait_ms;
};

struct Event {
  Time when;
  std::uint64_t order;
  std::function<void()> run;

  bool operator<(const Event& other) const {
    return std::pair(this->when, this->order) >
           std::pair(other.when, other.order);
  }
};

// Each subject's demand moves between instances: an instance is busy with a
// subject for a few seconds at a time, with up to a third of its limit.
class Simulation {
 public:
  Simulation(Size size, std::uint64_t seed) : size(size), random(seed) {
    for (std::size_t i = 0; i < size.instances; ++i) {
      const Holder holder{InstanceId("entry-" + std::to_string(i)), 1};
      this->agents.push_back(
          std::make_unique<Agent>(holder, Settings{}, this->random()));
    }
    this->wanted_since.resize(size.instances * size.subjects);
    this->wanted.resize(size.instances * size.subjects);
  }

  Result Run() {
    for (std::size_t s = 0; s < this->size.subjects; ++s) {
      for (std::size_t i = 0; i < this->size.instances; ++i) {
        this->Do(i,
                 this->agents[i]->SetLimit(SubjectAt(s), kLimit, 1, this->now));
        this->After(this->Exponential(seconds(8)),
                    [this, i, s] { this->ChangeDemand(i, s); });
      }
    }
    for (std::size_t i = 0; i < this->size.instances; ++i) {
      this->After(this->Uniform(kTick), [this, i] { this->Tick(i); });
      this->After(this->Uniform(kHeartbeat), [this, i] { this->Report(i); });
    }
    const Time start = this->now + kWarmUp;
    const Time end = start + kMeasured;
    bool warm = false;
    while (this->events.top().when < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.when;
      if (!warm && this->now >= start) {
        warm = true;
        this->result = Result{};
      }
      event.run();
    }
    for (const auto& since : this->wanted_since) {
      this->result.unmet += since && this->now - *since > seconds(5) ? 1 : 0;
    }
    return std::move(this->result);
  }

 private:
  static Subject SubjectAt(std::size_t index) {
    return {SubjectKind::kTeam, "team-" + std::to_string(index)};
  }

  Duration Uniform(Duration bound) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, bound.count())(this->random));
  }

  Duration Exponential(Duration mean) {
    return Duration(static_cast<Duration::rep>(std::exponential_distribution<>(
        1.0 / static_cast<double>(mean.count()))(this->random)));
  }

  void After(Duration delay, std::function<void()> run) {
    this->events.push({this->now + delay, ++this->order, std::move(run)});
  }

  // A store call takes 2 to 6 ms and takes effect halfway.
  void Do(std::size_t index, const Effects& effects) {
    for (const Effect& effect : effects) {
      if (const auto* op = std::get_if<StoreOp>(&effect)) {
        const Duration half = milliseconds(1) + this->Uniform(milliseconds(2));
        this->After(half, [this, index, op = *op, half] {
          const StoreReply reply = this->Execute(op);
          this->After(half, [this, index, reply] {
            this->Do(index, this->agents[index]->OnReply(reply, this->now));
            this->Measure(index, reply.key);
          });
        });
      } else if (const auto* ask = std::get_if<RequestTransfer>(&effect)) {
        this->After(milliseconds(1), [this, index, ask = *ask] {
          const Holder asker{InstanceId("entry-" + std::to_string(index)), 1};
          const auto peer = static_cast<std::size_t>(
              std::stoul(ask.instance.str().substr(6)));
          this->Do(peer, this->agents[peer]->OnTransferRequest(
                             ask.subject, asker, ask.count, this->now));
        });
      }
    }
  }

  StoreReply Execute(const StoreOp& op) {
    if (const auto* get = std::get_if<StoreGet>(&op)) {
      ++this->result.reads;
      const auto found = this->records.find(get->key);
      return found == this->records.end()
                 ? StoreReply{get->key, false, StoreStatus::kOk, {}, 0}
                 : found->second;
    }
    const auto& cas = std::get<StoreCas>(op);
    StoreReply& record = this->records[cas.key];
    if (record.version != cas.version) {
      ++this->result.conflicts;
      return {cas.key, true, StoreStatus::kConflict, {}, 0};
    }
    ++this->result.writes;
    record = {cas.key, false, StoreStatus::kOk, cas.value, ++this->version};
    if (this->size.watch) {
      for (std::size_t i = 0; i < this->agents.size(); ++i) {
        this->After(milliseconds(3), [this, i, event = record] {
          this->Do(i, this->agents[i]->OnReply(event, this->now));
          this->Measure(i, event.key);
        });
      }
    }
    return {cas.key, true, StoreStatus::kOk, {}, this->version};
  }

  void Tick(std::size_t index) {
    this->Do(index, this->agents[index]->Tick(this->now));
    this->After(kTick, [this, index] { this->Tick(index); });
  }

  void Report(std::size_t index) {
    for (std::size_t s = 0; s < this->size.subjects; ++s) {
      const std::uint32_t spare = this->agents[index]->Spare(SubjectAt(s));
      const Holder peer{InstanceId("entry-" + std::to_string(index)), 1};
      for (auto& agent : this->agents) {
        agent->OnPeerIdle(peer, SubjectAt(s), spare);
      }
    }
    this->After(kHeartbeat, [this, index] { this->Report(index); });
  }

  // Total demand on a subject stays within its limit, so that every demand can
  // be met once idle permits have moved.
  void ChangeDemand(std::size_t index, std::size_t subject) {
    const std::size_t slot = subject * this->size.instances + index;
    std::uint32_t others = 0;
    for (std::size_t i = 0; i < this->size.instances; ++i) {
      others +=
          i == index ? 0 : this->wanted[subject * this->size.instances + i];
    }
    const std::uint32_t wanted =
        this->wanted[slot] > 0
            ? 0
            : std::min<std::uint32_t>(kLimit - others,
                                      1 + this->random() % (kLimit / 3));
    this->wanted[slot] = wanted;
    this->wanted_since[slot].reset();
    if (wanted > 0) {
      this->wanted_since[slot] = this->now;
    }
    this->Do(index, this->agents[index]->SetDemand(SubjectAt(subject), wanted,
                                                   this->now));
    this->Measure(index, KeyOf(SubjectAt(subject)));
    this->After(this->Exponential(seconds(wanted > 0 ? 4 : 12)),
                [this, index, subject] { this->ChangeDemand(index, subject); });
  }

  void Measure(std::size_t index, const std::string& key) {
    const Subject subject = *SubjectOf(key);
    const std::size_t slot =
        std::stoul(subject.name.substr(5)) * this->size.instances + index;
    auto& since = this->wanted_since[slot];
    if (since && this->agents[index]->Usable(subject) >= this->wanted[slot]) {
      this->result.wait_ms.push_back(ToSeconds(this->now - *since) * 1000);
      since.reset();
    }
  }

  Size size;
  Random random;
  Time now{seconds(1000)};
  std::uint64_t order = 0;
  std::uint64_t version = 0;
  std::vector<std::unique_ptr<Agent>> agents;
  std::vector<std::uint32_t> wanted;
  std::vector<std::optional<Time>> wanted_since;
  std::map<std::string, StoreReply> records;
  std::priority_queue<Event> events;
  Result result;
};

double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

int Main() {
  std::puts(
      "instances subjects watch  reads/s writes/s conflicts/s  demands"
      "  p50 ms  p99 ms  max ms  unmet");
  for (const Size size : {Size{2, 6, true}, Size{6, 6, true}, Size{9, 12, true},
                          Size{9, 12, false}, Size{9, 70, true},
                          Size{9, 70, false}, Size{9, 280, true}}) {
    Result result = Simulation(size, 20261204).Run();
    const double span = ToSeconds(kMeasured);
    std::printf(
        "%9zu %8zu %5s %8.1f %8.1f %11.1f %8zu %7.1f %7.1f %7.1f %6zu\n",
        size.instances, size.subjects, size.watch ? "yes" : "no",
        static_cast<double>(result.reads) / span,
        static_cast<double>(result.writes) / span,
        static_cast<double>(result.conflicts) / span, result.wait_ms.size(),
        Quantile(result.wait_ms, 0.5), Quantile(result.wait_ms, 0.99),
        Quantile(result.wait_ms, 1), result.unmet);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace
}  // namespace kch::permit

int main() {
  return kch::permit::Main();
}
