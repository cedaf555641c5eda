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

/*! @brief Store key of the membership record. */
inline constexpr std::string_view kRecordKey = "members";
/*! @brief Maximum number of stopped instances in the record. */
inline constexpr std::size_t kMaxStopRecords = 256;
/*! @brief Maximum number of members. */
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

/*! @brief Kind of proof that an instance has stopped. */
enum class StopKind : std::uint8_t {
  kNewerIncarnation,  // a later process has the same instance name
  kVmUnlisted,        // its VM was in the platform's list and no longer is
  kReleased,          // it left the membership itself
  kRetired,           // an operator has declared it stopped
};

/*! @brief Proof that an incarnation, and all earlier ones, have stopped. */
struct StopProof {
  InstanceId instance;
  std::uint64_t incarnation = 0;
  StopKind kind = StopKind::kReleased;

  bool operator==(const StopProof&) const = default;
};

/*! @brief Stop of an instance, as stored in the record. */
struct Stop {
  std::uint64_t incarnation = 0;
  StopKind kind = StopKind::kReleased;
  std::uint64_t serial = 0;  // order of the stops; the oldest are removed

  bool operator==(const Stop&) const = default;
};

/*! @brief The membership record. An entry in `stopped` proves that its
 * incarnation and all earlier ones have stopped; a row proves it for all
 * earlier incarnations. The absence of a row proves nothing. */
struct Record {
  std::map<InstanceId, Member> members;
  std::map<InstanceId, Stop> stopped;
  std::uint64_t next_serial = 1;

  bool operator==(const Record&) const = default;
};

/*! @brief Adds or updates a member's row, including its draining flag. Fails
 * with kConflict if a newer incarnation of the instance, or a stop of this or a
 * later one, is recorded; with kInvalid if a field is invalid; and with
 * kTooLarge beyond kMaxMembers. */
[[nodiscard]] Result<Record> Join(Record record, const Member& member);

/*! @brief Removes the row of an instance that stops itself; the row of a newer
 * incarnation remains. */
[[nodiscard]] Record Leave(Record record,
                           const InstanceId& instance,
                           std::uint64_t incarnation);

/*! @brief Removes the row of an instance that has provably stopped, and records
 * the stop. */
[[nodiscard]] Record Remove(Record record, const StopProof& proof);

/*! @brief Encodes a record as JSON. */
[[nodiscard]] std::string Encode(const Record& record);

/*! @brief Decodes a record; fails with kCorrupt on unknown, missing or invalid
 * fields. */
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
