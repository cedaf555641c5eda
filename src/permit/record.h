#ifndef PERMIT_RECORD_H_
#define PERMIT_RECORD_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/id.h"
#include "base/name_table.h"

namespace kch::permit {

/*! @brief What a limit applies to. */
enum class SubjectKind : std::uint8_t { kTeam, kProfile };

/*! @brief One limit: a team or a profile by name. */
struct Subject {
  SubjectKind kind = SubjectKind::kTeam;
  std::string name;

  auto operator<=>(const Subject&) const = default;
};

/*! @brief The store key of a subject's record: `permit/<kind>/<name>`. */
[[nodiscard]] std::string KeyOf(const Subject& subject);

/*! @brief The subject of a store key, if it is a permit record's key. */
[[nodiscard]] std::optional<Subject> SubjectOf(std::string_view key);

/*! @brief One run of an instance; a later run has a higher incarnation. */
struct Holder {
  InstanceId instance;
  std::uint64_t incarnation = 0;

  auto operator<=>(const Holder&) const = default;
};

/*! @brief Permits of one holder. */
struct Holding {
  Holder holder;
  std::uint32_t count = 0;
  bool retired = false;
  /*! @brief Number of the holder's latest own write, by which the holder
   * determines whether a write whose reply was lost took effect. */
  std::uint64_t write_number = 0;

  bool operator==(const Holding&) const = default;
};

/*! @brief Permit record of one limit; the sum of counts is at most `cap`. */
struct Record {
  std::uint32_t cap = 0;
  std::uint64_t cap_revision = 0;
  std::vector<Holding> holdings;

  /*! @brief Sum of the counts of all holdings. */
  [[nodiscard]] std::uint64_t Sum() const;
  /*! @brief The holding of a holder, or null. */
  [[nodiscard]] const Holding* Find(const Holder& holder) const;
  [[nodiscard]] Holding* Find(const Holder& holder);

  bool operator==(const Record&) const = default;
};

/*! @brief The record as JSON. */
[[nodiscard]] std::string Encode(const Record& record);

/*! @brief Reads a record from JSON; specialised for Record. */
template <typename T>
[[nodiscard]] Result<T> Decode(std::string_view text);
template <>
[[nodiscard]] Result<Record> Decode<Record>(std::string_view text);

}  // namespace kch::permit

template <>
struct kch::NameTable<kch::permit::SubjectKind> {
  static constexpr std::
      array<std::pair<kch::permit::SubjectKind, std::string_view>, 2>
          kEntries{{{kch::permit::SubjectKind::kTeam, "team"},
                    {kch::permit::SubjectKind::kProfile, "profile"}}};
};

#endif  // PERMIT_RECORD_H_
