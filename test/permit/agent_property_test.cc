#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "../fake_store.h"
#include "permit/permit.h"

namespace kch::permit {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Subject kTeam{SubjectKind::kTeam, "sketch"};
const Subject kProfile{SubjectKind::kProfile, "proofs"};
const std::array<Subject, 2> kSubjects{kTeam, kProfile};

constexpr int kNone = -1;
constexpr int kNoAdopter = -2;  // adoption failed; not tried again

struct Task {
  Subject subject;
  Holder holder;
  std::optional<Time> lease_end;  // of tasks whose holder died
  int adopter = kNone;
};

struct Node {
  Holder holder;
  std::unique_ptr<Agent> agent;  // null while dead
  bool releasing = false;
  std::map<std::string, Time> last_write;
};

// Several agents over a faulty store; the oracle is the multiset of tasks.
class World : public FaultyWorld<World> {
 public:
  explicit World(std::uint64_t seed)
      : FaultyWorld(seed, 5), nodes(this->paused.size()) {
    this->store.on_write = [this](const auto& key, const auto* before,
                                  const auto& after) {
      CheckWrite(key, before, after);
    };
    this->settings.max_task_lease = seconds(3);
    this->settings.reclaim_margin = milliseconds(500);
    for (const Subject& subject : kSubjects) {
      this->limits[subject] = {{1, Uniform(1, 12)}};
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->nodes[i].holder.instance = InstanceId("entry-" + std::to_string(i));
      Start(static_cast<int>(i));
    }
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      RandomStep();
      Check();
    }
  }

  // Ends all faults and checks that permits follow demand and writes stop.
  void Settle() {
    Repair();
    this->faulty = false;
    if (!this->nodes[0].agent) {
      Start(0);
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      for (const Subject& subject : kSubjects) {
        const auto& [revision, limit] = this->limits[subject].back();
        if (Node& node = this->nodes[i]; node.agent) {
          Do(static_cast<int>(i),
             node.agent->SetLimit(subject, limit, revision, this->now));
          ApplyDemand(static_cast<int>(i), subject, node.agent->Busy(subject));
        }
      }
    }
    RetireDead();
    Elapse(seconds(30));
    this->writes = 0;
    Elapse(seconds(20));
    RC_ASSERT(this->writes == 0);
    for (const Subject& subject : kSubjects) {
      const auto record = Current(subject);
      if (!record) {
        continue;
      }
      for (const Holding& holding : record->holdings) {
        RC_ASSERT(IsLive(holding.holder));
      }
      CheckTakesAll(subject, *record);
    }
  }

  [[nodiscard]] std::size_t started() const { return this->started_tasks; }
  [[nodiscard]] std::size_t adopted() const { return this->adopted_tasks; }

 private:
  friend class FaultyWorld<World>;

  const Subject& AnySubject() { return kSubjects[Uniform(0, 1)]; }

  void Start(int index) {
    Node& node = this->nodes[index];
    ++node.holder.incarnation;
    node.agent =
        std::make_unique<Agent>(node.holder, this->settings, this->random());
    node.releasing = false;
    this->inbox[index].clear();
    node.last_write.clear();
  }

  [[nodiscard]] bool IsLive(const Holder& holder) const {
    return std::any_of(
        this->nodes.begin(), this->nodes.end(),
        [&](const Node& node) { return node.agent && node.holder == holder; });
  }

  void Do(int index, const Effects& effects) {
    for (const Effect& effect : effects) {
      if (const auto* op = std::get_if<StoreOp>(&effect)) {
        CheckRate(index, *op);
        this->store.Send(index, *op);
      } else if (const auto* ask = std::get_if<RequestTransfer>(&effect)) {
        this->asks.emplace_back(this->nodes[index].holder, *ask);
      } else if (const auto* done = std::get_if<Adopted>(&effect)) {
        OnAdopted(index, *done);
      } else if (const auto* failed = std::get_if<AdoptionFailed>(&effect)) {
        for (Task& task : this->tasks) {
          if (task.adopter == index && task.holder == failed->from) {
            task.adopter = kNoAdopter;
          }
        }
      }
    }
  }

  void OnAdopted(int index, const Adopted& done) {
    std::uint32_t left = done.count;
    for (Task& task : this->tasks) {
      if (left > 0 && task.adopter == index && task.holder == done.from &&
          task.subject == done.subject && task.lease_end) {
        task.holder = this->nodes[index].holder;
        task.lease_end.reset();
        task.adopter = kNone;
        --left;
        ++this->adopted_tasks;
      }
    }
    for (; left > 0; --left) {  // the task has ended in the meantime
      Do(index,
         this->nodes[index].agent->ReturnPermit(done.subject, this->now));
    }
  }

  void CheckRate(int index, const StoreOp& op) {
    if (const auto* cas = std::get_if<StoreCas>(&op)) {
      Node& node = this->nodes[index];
      const auto last = node.last_write.find(cas->key);
      if (last != node.last_write.end()) {
        RC_ASSERT(this->now - last->second >= milliseconds(250));
      }
      node.last_write[cas->key] = this->now;
    }
  }

  void CheckWrite(const std::string& key,
                  const std::string* before,
                  const std::string& after) {
    ++this->writes;
    const auto next = Decode<Record>(after);
    RC_ASSERT(next.has_value());
    RC_ASSERT(next->Sum() <= next->cap);
    if (before != nullptr) {
      const auto last = Decode<Record>(*before);
      if (next->cap == last->cap) {
        RC_ASSERT(next->cap_revision == last->cap_revision);
      } else {
        RC_ASSERT(next->cap_revision > last->cap_revision);
      }
    }
    RC_ASSERT(SubjectOf(key).has_value());
  }

  [[nodiscard]] std::optional<Record> Current(const Subject& subject) const {
    const auto* version = this->store.Current(KeyOf(subject));
    if (version == nullptr) {
      return std::nullopt;
    }
    return *Decode<Record>(version->value);
  }

  void Check() {
    std::erase_if(this->tasks, [&](const Task& task) {
      return task.lease_end && *task.lease_end <= this->now;
    });
    for (const Subject& subject : kSubjects) {
      const auto record = Current(subject);
      const auto running = static_cast<std::uint64_t>(
          std::count_if(this->tasks.begin(), this->tasks.end(),
                        [&](const Task& t) { return t.subject == subject; }));
      RC_ASSERT(running <= (record ? record->Sum() : 0));
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        CheckNode(static_cast<int>(i), subject, record);
      }
    }
  }

  void CheckNode(int index,
                 const Subject& subject,
                 const std::optional<Record>& record) {
    const Node& node = this->nodes[index];
    if (!node.agent) {
      return;
    }
    const auto held = [&](const Record& version) {
      const Holding* own = version.Find(node.holder);
      return own == nullptr ? 0 : own->count;
    };
    const std::uint32_t busy = node.agent->Busy(subject);
    const auto running = std::count_if(
        this->tasks.begin(), this->tasks.end(), [&](const Task& task) {
          return task.subject == subject && task.holder == node.holder;
        });
    RC_ASSERT(busy == static_cast<std::uint32_t>(running));
    RC_ASSERT(busy <= (record ? held(*record) : 0));
    // Writes in the network that could still replace the current version.
    const auto* current = this->store.Current(KeyOf(subject));
    for (const auto& request : this->store.requests) {
      const auto* cas = std::get_if<StoreCas>(&request.op);
      if (cas != nullptr && !request.applied && cas->key == KeyOf(subject) &&
          cas->version == (current == nullptr ? 0 : current->number)) {
        RC_ASSERT(busy <= held(*Decode<Record>(cas->value)));
      }
    }
  }

  void Handle(int index, const StoreReply& reply) {
    if (this->nodes[index].agent) {
      Do(index, this->nodes[index].agent->OnReply(reply, this->now));
    }
  }

  void ApplyDemand(int index, const Subject& subject, std::uint32_t wanted) {
    Node& node = this->nodes[index];
    Do(index, node.agent->SetDemand(subject, wanted, this->now));
  }

  void Take(int index) {
    Node& node = this->nodes[index];
    if (this->store.Chance(0.3)) {
      const auto before = node.agent->Busy(kTeam) + node.agent->Busy(kProfile);
      const bool both = node.agent->TryAcquireBoth(kTeam, kProfile);
      RC_ASSERT(node.agent->Busy(kTeam) + node.agent->Busy(kProfile) ==
                before + (both ? 2 : 0));
      if (both) {
        this->tasks.push_back({kTeam, node.holder, {}, kNone});
        this->tasks.push_back({kProfile, node.holder, {}, kNone});
        this->started_tasks += 2;
      }
      return;
    }
    const Subject& subject = AnySubject();
    if (node.agent->TryAcquire(subject)) {
      this->tasks.push_back({subject, node.holder, {}, kNone});
      ++this->started_tasks;
    }
  }

  void EndTask(int index) {
    Node& node = this->nodes[index];
    const auto task = std::find_if(
        this->tasks.begin(), this->tasks.end(),
        [&](const Task& item) { return item.holder == node.holder; });
    if (task != this->tasks.end()) {
      const Subject subject = task->subject;
      this->tasks.erase(task);
      Do(index, node.agent->ReturnPermit(subject, this->now));
    }
  }

  void Kill(int index) {
    Node& node = this->nodes[index];
    node.agent.reset();
    this->paused[index] = false;
    this->dead.push_back(node.holder);
    // Requests already sent stay in the network without their sender.
    for (auto& request : this->store.requests) {
      if (request.owner == index) {
        request.replied = true;
      }
    }
    for (Task& task : this->tasks) {
      if (task.holder == node.holder) {
        task.lease_end =
            this->now +
            milliseconds(Uniform(0, ToMs(this->settings.max_task_lease)));
      }
      if (task.adopter == index) {
        task.adopter = kNone;
      }
    }
  }

  void RetireDead() {
    for (const Holder& holder : this->dead) {
      const int index = AnyNode();
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if ((!this->faulty || static_cast<int>(i) == index) &&
            this->nodes[i].agent && !this->paused[i]) {
          Do(static_cast<int>(i),
             this->nodes[i].agent->Retire(holder, this->now));
        }
      }
    }
  }

  void AdoptTasks(int index) {
    for (Task& task : this->tasks) {
      if (task.lease_end && task.adopter == kNone) {
        task.adopter = index;
        Do(index, this->nodes[index].agent->Adopt(task.subject, task.holder, 1,
                                                  this->now));
        return;
      }
    }
  }

  void ChangeLimit() {
    const Subject& subject = AnySubject();
    this->limits[subject].emplace_back(++this->revision, Uniform(0, 12));
  }

  void DeliverAsk() {
    if (this->asks.empty()) {
      return;
    }
    const auto index = Uniform(0, this->asks.size() - 1);
    const auto [asker, ask] = this->asks[index];
    if (this->store.Chance(0.8)) {  // otherwise delivered again later
      this->asks.erase(this->asks.begin() + index);
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      Node& node = this->nodes[i];
      if (node.agent && !this->paused[i] &&
          node.holder.instance == ask.instance) {
        Do(static_cast<int>(i), node.agent->OnTransferRequest(
                                    ask.subject, asker, ask.count, this->now));
      }
    }
  }

  void ReportIdle(int index) {
    for (const Subject& subject : kSubjects) {
      for (Node& other : this->nodes) {
        if (other.agent) {
          other.agent->OnPeerIdle(this->nodes[index].holder, subject,
                                  this->nodes[index].agent->Spare(subject));
        }
      }
    }
  }

  void RandomStep() {
    const std::uint32_t choice = Uniform(0, 99);
    if (choice < 40) {
      StoreStep();
      return;
    }
    if (choice < 55) {
      this->now += milliseconds(Uniform(1, 150));
      return;
    }
    if (choice < 57) {
      RareStep();
      return;
    }
    const int index = AnyNode();
    Node& node = this->nodes[index];
    if (this->store.down && this->store.Chance(0.02)) {
      this->store.down = false;
    }
    if (!node.agent || this->paused[index] ||
        (node.releasing && node.agent->AllReleased())) {
      if (this->store.Chance(0.05)) {
        Restart(index);
      }
      return;
    }
    if (choice < 64) {
      Do(index, node.agent->Tick(this->now));
    } else if (choice < 70) {
      ApplyDemand(index, AnySubject(), Uniform(0, 8));
    } else if (choice < 80) {
      Take(index);
    } else if (choice < 86) {
      EndTask(index);
    } else if (choice < 89) {
      const Subject& subject = AnySubject();
      const auto& known = this->limits[subject];
      const auto& [revision, limit] =
          known[known.size() - 1 - Uniform(0, known.size() > 1 ? 1 : 0)];
      Do(index, node.agent->SetLimit(subject, limit, revision, this->now));
    } else if (choice < 92) {
      if (auto event = this->store.WatchEvent(KeyOf(AnySubject()))) {
        Deliver(index, *event);
      }
    } else if (choice < 95) {
      DeliverAsk();
    } else if (choice < 98) {
      ReportIdle(index);
    } else {
      AdoptTasks(index);
    }
  }

  // Resumes a paused node and replaces a dead or released one.
  void Restart(int index) {
    Node& node = this->nodes[index];
    if (this->paused[index]) {
      Resume(index);
      return;
    }
    if (node.agent) {
      Kill(index);
    }
    Start(index);
  }

  void RareStep() {
    const int index = AnyNode();
    Node& node = this->nodes[index];
    switch (Uniform(0, 7)) {
      case 0:
        ChangeLimit();
        break;
      case 1:
        this->store.down = !this->store.down && this->faulty;
        break;
      case 2:
        if (node.agent) {
          Kill(index);
        } else {
          Start(index);
        }
        break;
      case 3:
      case 4:
        RetireDead();
        break;
      case 5:
        if (node.agent && !this->paused[index]) {
          this->paused[index] = true;
        } else {
          Resume(index);
        }
        break;
      case 6:
        this->now += milliseconds(Uniform(500, 3000));
        break;
      default:
        if (node.agent && !this->paused[index] && this->store.Chance(0.3)) {
          node.releasing = true;
          Do(index, node.agent->ReleaseAll(this->now));
        }
    }
  }

  void Elapse(Duration duration) {
    for (const Time end = this->now + duration; this->now < end;
         this->now += milliseconds(50)) {
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->nodes[i].agent) {
          Do(static_cast<int>(i), this->nodes[i].agent->Tick(this->now));
        }
      }
      for (int step = 0; step < 40 && !this->store.requests.empty(); ++step) {
        StoreStep();
      }
      Check();
    }
  }

  // All remaining permits of a subject must reach an instance with demand for
  // them.
  void CheckTakesAll(const Subject& subject, const Record& record) {
    const std::uint32_t limit = this->limits[subject].back().second;
    const auto running = record.Sum();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      Node& node = this->nodes[i];
      if (!node.agent || running >= limit || node.releasing) {
        continue;
      }
      const auto wanted = node.agent->Busy(subject) +
                          static_cast<std::uint32_t>(limit - running);
      ApplyDemand(static_cast<int>(i), subject, wanted);
      Elapse(seconds(5));
      RC_ASSERT(node.agent->Usable(subject) == wanted);
      RC_ASSERT(node.agent->CanAcquire(subject));
      return;
    }
  }

  Settings settings;
  std::vector<Node> nodes;
  std::vector<Task> tasks;
  std::vector<Holder> dead;
  std::vector<std::pair<Holder, RequestTransfer>> asks;
  std::map<Subject, std::vector<std::pair<std::uint64_t, std::uint32_t>>>
      limits;
  std::uint64_t revision = 1;
  std::size_t started_tasks = 0;
  std::size_t adopted_tasks = 0;
  std::size_t writes = 0;
  bool faulty = true;
};

// Guards against more running tasks than permits, permits used before or after
// they are held, early reclaim, permanently lost permits and writes that never
// stop, under lost replies, stale reads, outages, pauses and deaths.
BOOST_AUTO_TEST_CASE(AgentsNeverRunMoreThanTheirPermits) {
  std::size_t started = 0;
  std::size_t adopted = 0;
  BOOST_TEST(rc::check("agents over a faulty store", [&] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    World world(seed);
    world.Run(4000);
    world.Settle();
    started += world.started();
    adopted += world.adopted();
  }));
  // The property is only tested if tasks were started and adopted.
  BOOST_TEST(started > 5000U);
  BOOST_TEST(adopted > 20U);
}

}  // namespace
}  // namespace kch::permit
