#ifndef TEST_ENGINE_FAKE_STORE_H_
#define TEST_ENGINE_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/base.h"

namespace kch::engine::test {

/*! @brief In-memory fake of the platform's store; Fleet injects the faults. */
class FakeStore {
 public:
  /*! @brief Performs an operation immediately. */
  StoreReply Perform(const StoreOp& operation) {
    ++this->operations;
    if (const auto* get = std::get_if<StoreGet>(&operation)) {
      return this->Read(get->key);
    }
    const auto& cas = std::get<StoreCas>(operation);
    StoreReply reply{.key = cas.key, .is_write = true};
    if (this->Version(cas.key) != cas.version) {
      reply.status = StoreStatus::kConflict;
      return reply;
    }
    this->records[cas.key] = {cas.value, ++this->index};
    reply.status = StoreStatus::kOk;
    reply.version = this->index;
    return reply;
  }

  /*! @brief Returns the reply to a read of a record. */
  [[nodiscard]] StoreReply Read(const std::string& key) const {
    StoreReply reply{.key = key, .status = StoreStatus::kOk};
    const auto found = this->records.find(key);
    if (found != this->records.end()) {
      reply.value = found->second.value;
      reply.version = found->second.version;
    }
    return reply;
  }

  [[nodiscard]] std::uint64_t Version(const std::string& key) const {
    const auto found = this->records.find(key);
    return found == this->records.end() ? 0 : found->second.version;
  }

  std::uint64_t operations = 0;

 private:
  struct Record {
    std::string value;
    std::uint64_t version = 0;
  };
  std::map<std::string, Record> records;
  std::uint64_t index = 0;
};

}  // namespace kch::engine::test

#endif  // TEST_ENGINE_FAKE_STORE_H_
