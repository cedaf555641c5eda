#ifndef FAKE_STORE_H_
#define FAKE_STORE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/store.h"
#include "base/time.h"

namespace kch {

/*! @brief In-memory store behind a network that delays, loses and reorders:
 * a write may take effect after its sender was told that the outcome is
 * unknown, reads may be stale, and the store may be down. */
class FakeStore {
 public:
  struct Version {
    std::uint64_t number;
    std::string value;
  };
  struct Request {
    int owner;
    StoreOp op;
    bool applied = false;
    bool replied = false;
    StoreReply reply;
  };

  FakeStore(Random& random, double fault_rate)
      : fault_rate(fault_rate), random(random) {}

  void Send(int owner, StoreOp op) {
    this->requests.push_back({owner, std::move(op), false, false, {}});
  }

  /*! @brief Advances one request; returns a reply that reaches its owner. */
  std::optional<std::pair<int, StoreReply>> Step() {
    if (this->requests.empty()) {
      return std::nullopt;
    }
    const std::size_t index = this->random() % this->requests.size();
    Request& request = this->requests[index];
    if (request.replied) {
      if (!request.applied && !this->down && !this->Chance(this->fault_rate)) {
        this->Apply(request);
      }
      this->requests.erase(this->requests.begin() + index);
      return std::nullopt;
    }
    if (!request.applied) {
      if (this->down || this->Chance(this->fault_rate)) {
        const bool known = this->Chance(0.4);
        return this->Answer(
            index,
            this->Failure(request, known ? StoreStatus::kUnavailable
                                         : StoreStatus::kUnknown),
            known || this->Chance(0.3));
      }
      this->Apply(request);
      return std::nullopt;
    }
    StoreReply reply = this->Chance(this->fault_rate)
                           ? this->Failure(request, StoreStatus::kUnknown)
                           : request.reply;
    return this->Answer(index, std::move(reply), true);
  }

  /*! @brief A random present or past version of a record, as a watch event. */
  std::optional<StoreReply> WatchEvent(const std::string& key) {
    const auto found = this->records.find(key);
    if (found == this->records.end()) {
      return std::nullopt;
    }
    const Version& version =
        this->Chance(0.5) ? found->second.back() : this->Any(found->second);
    return StoreReply{key, false, StoreStatus::kOk, version.value,
                      version.number};
  }

  [[nodiscard]] const Version* Current(const std::string& key) const {
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second.back();
  }

  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < p;
  }

  /*! @brief Called before each write with the old value and the new one. */
  std::function<void(const std::string& key,
                     const std::string* before,
                     const std::string& after)>
      on_write;
  std::vector<Request> requests;
  bool down = false;
  double stale_rate = 0;
  double fault_rate;

 private:
  const Version& Any(const std::vector<Version>& versions) {
    return versions[this->random() % versions.size()];
  }

  std::optional<std::pair<int, StoreReply>> Answer(std::size_t index,
                                                   StoreReply reply,
                                                   bool forget) {
    const int owner = this->requests[index].owner;
    this->requests[index].replied = true;
    if (forget) {
      this->requests.erase(this->requests.begin() + index);
    }
    return std::pair(owner, std::move(reply));
  }

  static StoreReply Failure(const Request& request, StoreStatus status) {
    StoreReply reply;
    reply.is_write = std::holds_alternative<StoreCas>(request.op);
    reply.key = std::visit([](const auto& op) { return op.key; }, request.op);
    reply.status = status;
    return reply;
  }

  void Apply(Request& request) {
    request.applied = true;
    request.reply = Failure(request, StoreStatus::kOk);
    if (const auto* get = std::get_if<StoreGet>(&request.op)) {
      if (const Version* current = this->Current(get->key)) {
        const Version& read = this->Chance(this->stale_rate)
                                  ? this->Any(this->records[get->key])
                                  : *current;
        request.reply.value = read.value;
        request.reply.version = read.number;
      }
      return;
    }
    const auto& cas = std::get<StoreCas>(request.op);
    const Version* current = this->Current(cas.key);
    if ((current == nullptr ? 0 : current->number) != cas.version) {
      request.reply.status = StoreStatus::kConflict;
      return;
    }
    this->on_write(cas.key, current == nullptr ? nullptr : &current->value,
                   cas.value);
    this->records[cas.key].push_back({++this->last_version, cas.value});
    request.reply.version = this->last_version;
  }

  Random& random;
  std::uint64_t last_version = 0;
  std::map<std::string, std::vector<Version>> records;
};

/*! @brief Nodes that share a FakeStore and may be paused; `World` defines
 * `Handle(index, reply)`. */
template <typename World>
class FaultyWorld {
 protected:
  FaultyWorld(std::uint64_t seed, std::uint32_t max_nodes)
      : random(seed),
        store(this->random, Uniform(0, 2) * 0.09),
        paused(Uniform(2, max_nodes)),
        inbox(this->paused.size()) {
    this->store.stale_rate = Uniform(0, 2) * 0.1;
  }

  std::uint32_t Uniform(std::uint32_t low, std::uint32_t high) {
    return std::uniform_int_distribution<std::uint32_t>(low,
                                                        high)(this->random);
  }

  int AnyNode() {
    return static_cast<int>(Uniform(0, this->paused.size() - 1));
  }

  void Deliver(int index, const StoreReply& reply) {
    if (this->paused[index]) {
      this->inbox[index].push_back(reply);
    } else {
      static_cast<World*>(this)->Handle(index, reply);
    }
  }

  void Resume(int index) {
    this->paused[index] = false;
    for (const StoreReply& reply : std::exchange(this->inbox[index], {})) {
      Deliver(index, reply);
    }
  }

  void StoreStep() {
    if (auto reply = this->store.Step()) {
      Deliver(reply->first, reply->second);
    }
  }

  // Ends all faults.
  void Repair() {
    this->store.down = false;
    this->store.fault_rate = 0;
    this->store.stale_rate = 0;
    for (std::size_t i = 0; i < this->paused.size(); ++i) {
      Resume(static_cast<int>(i));
    }
  }

  Random random;
  Time now{std::chrono::seconds(1000)};
  FakeStore store;
  std::vector<bool> paused;
  std::vector<std::vector<StoreReply>> inbox;
};

}  // namespace kch

#endif  // FAKE_STORE_H_
