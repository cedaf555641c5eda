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

/*! @brief Records with compare-and-swap whose replies can be lost and whose
 * writes can be late, and a check of every head that is written. */
class FakeStore {
 public:
  explicit FakeStore(Random& random) : random(random) { this->truth.resize(1); }

  bool down = false;
  std::map<std::string, std::pair<std::string, std::uint64_t>> records;
  std::vector<Head> heads{Head{}};  // all that were ever in force
  std::vector<State> truth;         // by revision
  std::vector<std::string> faults;  // broken rules of the log

  std::uint64_t Draw(std::uint64_t bound) { return this->random() % bound; }
  [[nodiscard]] std::uint64_t revision() const {
    return this->truth.size() - 1;
  }

  StoreReply Do(const StoreOp& op) {
    return std::visit([this](const auto& inner) { return this->Do(inner); },
                      op);
  }

  /*! @brief Lets the writes that were under way arrive. */
  void DeliverLate() {
    for (const StoreCas& cas : std::exchange(this->late, {})) {
      this->Write(cas);
    }
  }

 private:
  StoreReply Do(const StoreGet& get) {
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
  StoreReply Do(const StoreCas& cas) {
    StoreReply reply{cas.key, true, StoreStatus::kUnavailable, {}, 0};
    if (this->down) {
      return reply;
    }
    const auto fate = this->Draw(10);
    if (fate == 0) {  // no effect yet, and maybe never
      reply.status = StoreStatus::kUnknown;
      if (this->Draw(2) == 0) {
        this->late.push_back(cas);
      }
      return reply;
    }
    const bool written = this->Write(cas);
    if (this->Draw(10) == 0) {
      this->late.push_back(cas);  // duplicated on the way
    }
    if (fate == 1) {
      reply.status = StoreStatus::kUnknown;
      return reply;
    }
    reply.status = written ? StoreStatus::kOk : StoreStatus::kConflict;
    // The store's protocol does not always tell the version of a write.
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
    State next = this->truth.back();
    if (head.revision() != next.revision + 1 ||
        !Apply(next, head.changes.back()) ||
        !this->ids.insert(head.changes.back().id).second) {
      this->faults.push_back("head " + std::to_string(head.revision()) +
                             " is not one new change after " +
                             std::to_string(this->revision()));
      return;
    }
    this->truth.push_back(std::move(next));
    if (head.base_revision > 0) {
      const auto base = this->records.find(BaseKey(head.base_revision));
      if (base == this->records.end() || *Decode<State>(base->second.first) !=
                                             this->truth[head.base_revision]) {
        this->faults.push_back("no correct base " +
                               std::to_string(head.base_revision));
      }
    }
    if (bytes > kMaxHeadBytes || head.changes.size() > kMaxHeadChanges) {
      this->faults.push_back("head of " + std::to_string(bytes) + " bytes");
    }
    this->heads.push_back(head);
  }

  Random& random;
  std::uint64_t version = 0;
  std::vector<StoreCas> late;
  std::set<std::string> ids;
};

}  // namespace kch::config

#endif  // TEST_CONFIG_FAKE_STORE_H_
