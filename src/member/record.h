#ifndef MEMBER_RECORD_H_
#define MEMBER_RECORD_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "base/base.h"

namespace kch::member {

/*! @brief Store key of the record. */
inline constexpr std::string_view kRecordKey = "members";
/*! @brief Stopped instances that the record remembers. */
inline constexpr std::size_t kMaxStopRecords = 256;
/*! @brief Most members. */
inline constexpr std::size_t kMaxMembers = 1'024;

/*! @brief One entry instance. */
struct Member {
  InstanceId instance;
  std::uint64_t incarnation = 0;  // increases with every start of the process
  VmId vm;
  ZoneId zone;
  std::string peer_address;  // host:port of the peer bus
  std::string http_address;  // host:port for callers
  bool draining = false;

  bool operator==(const Member&) const = default;
};

/*! @brief How it is known that an instance has stopped. */
enum class StopKind : std::uint8_t {
  kNewerIncarnation,  // a later process runs under the same name
  kVmUnlisted,        // its VM left the platform's list after having been there
  kReleased,          // it left by itself
  kRetired,           // an operator says so
};

/*! @brief Proof that an incarnation, and all earlier ones, have stopped. */
struct StopProof {
  InstanceId instance;
  std::uint64_t incarnation = 0;
  StopKind kind = StopKind::kReleased;

  bool operator==(const StopProof&) const = default;
};

/*! @brief A stop that the record remembers. */
struct Stop {
  std::uint64_t incarnation = 0;
  StopKind kind = StopKind::kReleased;
  std::uint64_t serial = 0;  // order of the stops; the oldest are dropped

  bool operator==(const Stop&) const = default;
};

/*! @brief The members. The absence of a row proves nothing; `stopped` does. */
struct Record {
  std::map<InstanceId, Member> members;
  std::map<InstanceId, Stop> stopped;
  std::uint64_t next_serial = 1;

  bool operator==(const Record&) const = default;
};

/*! @brief Adds or updates a row; fails if a newer or stopped incarnation of the
 * name is recorded. Also sets the row's draining flag. */
[[nodiscard]] Result<Record> Join(Record record, const Member& member);

/*! @brief Removes an instance's own row at its stop; a row of a newer
 * incarnation stays. */
[[nodiscard]] Record Leave(Record record,
                           const InstanceId& instance,
                           std::uint64_t incarnation);

/*! @brief Removes the row of an instance that is proved to have stopped. */
[[nodiscard]] Record Remove(Record record, const StopProof& proof);

/*! @brief JSON of the record. */
[[nodiscard]] std::string Encode(const Record& record);

/*! @brief Reads a record; unknown and missing fields fail. */
template <typename T>
[[nodiscard]] Result<T> Decode(std::string_view text);

template <>
Result<Record> Decode<Record>(std::string_view text);

}  // namespace kch::member

template <>
struct kch::NameTable<kch::member::StopKind> {
  static constexpr std::
      array<std::pair<kch::member::StopKind, std::string_view>, 4>
          kEntries{
              {{kch::member::StopKind::kNewerIncarnation, "newer_incarnation"},
               {kch::member::StopKind::kVmUnlisted, "vm_gone"},
               {kch::member::StopKind::kReleased, "released"},
               {kch::member::StopKind::kRetired, "retired"}}};
};

#endif  // MEMBER_RECORD_H_
