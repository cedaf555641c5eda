#ifndef TEST_CONFIG_FAKE_STORE_H_
#define TEST_CONFIG_FAKE_STORE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "config/config.h"

namespace kch::config {

/*! @brief Store with compare-and-swap that can lose replies and delay or
 * duplicate writes. Checks every head that is written. */
class FakeStore {
 public:
  explicit FakeStore(Random& random) : random(random) {
    this->states.resize(1);
  }

  bool down = false;
  std::map<std::string, std::pair<std::string, std::uint64_t>> records;
  std::vector<Head> heads{Head{}};      // every head that was in force
  std::vector<State> states;            // indexed by revision
  std::vector<std::string> violations;  // violated invariants of the log

  std::uint64_t Draw(std::uint64_t bound) { return this->random() % bound; }
  [[nodiscard]] std::uint64_t revision() const {
    return this->states.size() - 1;
  }

  StoreReply Execute(const StoreOp& op) {
    return std::visit(
        [this](const auto& inner) { return this->Execute(inner); }, op);
  }

  /*! @brief Executes the delayed writes. */
  void DeliverDelayedWrites() {
    for (const StoreCas& cas : std::exchange(this->delayed_writes, {})) {
      this->Write(cas);
    }
  }

 private:
  StoreReply Execute(const StoreGet& get) {
    StoreReply reply{get.key, false, StoreStatus::kUnavailable, {}, 0};
    if (this->down || this->Draw(20) == 0) {
      return reply;
    }
    reply.status = StoreStatus::kOk;
    if (const auto found = this->records.find(get.key);
        found != this->records.end()) {
      reply.value = found->second.first;
      reply.version = found->second.second;
    }
    return reply;
  }
  StoreReply Execute(const StoreCas& cas) {
    StoreReply reply{cas.key, true, StoreStatus::kUnavailable, {}, 0};
    if (this->down) {
      return reply;
    }
    const auto outcome = this->Draw(10);
    if (outcome == 0) {  // no effect yet, possibly never
      reply.status = StoreStatus::kUnknown;
      if (this->Draw(2) == 0) {
        this->delayed_writes.push_back(cas);
      }
      return reply;
    }
    const bool written = this->Write(cas);
    if (this->Draw(10) == 0) {
      this->delayed_writes.push_back(cas);  // duplicated in transit
    }
    if (outcome == 1) {
      reply.status = StoreStatus::kUnknown;
      return reply;
    }
    reply.status = written ? StoreStatus::kOk : StoreStatus::kConflict;
    // The store's protocol does not always return the version of a write.
    reply.version = written && this->Draw(2) == 0 ? this->version : 0;
    return reply;
  }

  bool Write(const StoreCas& cas) {
    const auto found = this->records.find(cas.key);
    const std::uint64_t current =
        found == this->records.end() ? 0 : found->second.second;
    if (current != cas.version) {
      return false;
    }
    this->records[cas.key] = {cas.value, ++this->version};
    if (cas.key == kHeadKey) {
      this->OnNewHead(*Decode<Head>(cas.value), cas.value.size());
    }
    return true;
  }

  void OnNewHead(const Head& head, std::size_t bytes) {
    State next = this->states.back();
    if (head.revision() != next.revision + 1 ||
        !Apply(next, head.changes.back()) ||
        !this->ids.insert(head.changes.back().id).second) {
      this->violations.push_back(
          "head " + std::to_string(head.revision()) +
          " does not add exactly one new change to revision " +
          std::to_string(this->revision()));
      return;
    }
    this->states.push_back(std::move(next));
    if (head.base_revision > 0) {
      const auto base = this->records.find(BaseKey(head.base_revision));
      if (base == this->records.end() || *Decode<State>(base->second.first) !=
                                             this->states[head.base_revision]) {
        this->violations.push_back("missing or incorrect base " +
                                   std::to_string(head.base_revision));
      }
    }
    if (bytes > kMaxHeadBytes || head.changes.size() > kMaxHeadChanges) {
      this->violations.push_back("head of " + std::to_string(bytes) + " bytes");
    }
    this->heads.push_back(head);
  }

  Random& random;
  std::uint64_t version = 0;
  std::vector<StoreCas> delayed_writes;
  std::set<std::string> ids;
};

}  // namespace kch::config

#endif  // TEST_CONFIG_FAKE_STORE_H_
