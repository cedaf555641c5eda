#ifndef BASE_STORE_H_
#define BASE_STORE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/name_table.h"

namespace kch {

/*! @brief Reads one record. */
struct StoreGet {
  std::string key;
};

/*! @brief Writes a record if it still has the given version. */
struct StoreCas {
  std::string key;
  std::uint64_t version;  // 0: the record must not exist
  std::string value;
};

/*! @brief A request to the platform's store. */
using StoreOp = std::variant<StoreGet, StoreCas>;

/*! @brief What is known about a store operation. */
enum class StoreStatus : std::uint8_t {
  kOk,           // read, or written
  kConflict,     // the record has another version; nothing was written
  kUnknown,      // the write may have taken effect
  kUnavailable,  // no effect
};

template <>
struct NameTable<StoreStatus> {
  static constexpr std::array<std::pair<StoreStatus, std::string_view>, 4>
      kEntries{{{StoreStatus::kOk, "ok"},
                {StoreStatus::kConflict, "conflict"},
                {StoreStatus::kUnknown, "unknown"},
                {StoreStatus::kUnavailable, "unavailable"}}};
};

/*! @brief Outcome of a store operation, or a change seen by a watch. */
struct StoreReply {
  std::string key;
  bool is_write = false;
  StoreStatus status = StoreStatus::kUnavailable;
  std::optional<std::string> value;  // reads only; absent if no such record
  std::uint64_t version = 0;         // version read or written
};

}  // namespace kch

#endif  // BASE_STORE_H_
