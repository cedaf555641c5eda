#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

#include "base/name_table.h"

namespace kch {

/*! @brief Kinds of error a caller, an operator or another module can act on. */
enum class ErrorKind : std::uint8_t {
  kInvalid,
  kNotFound,
  kConflict,
  kForbidden,
  kUnavailable,
  kUnknownOutcome,
  kTooLarge,
  kCorrupt,
};

template <>
struct NameTable<ErrorKind> {
  static constexpr std::array<std::pair<ErrorKind, std::string_view>, 8>
      kEntries{{{ErrorKind::kInvalid, "invalid"},
                {ErrorKind::kNotFound, "not_found"},
                {ErrorKind::kConflict, "conflict"},
                {ErrorKind::kForbidden, "forbidden"},
                {ErrorKind::kUnavailable, "unavailable"},
                {ErrorKind::kUnknownOutcome, "unknown_outcome"},
                {ErrorKind::kTooLarge, "too_large"},
                {ErrorKind::kCorrupt, "corrupt"}}};
};

/*! @brief What went wrong and what to do about it. */
struct Error {
  ErrorKind kind;
  std::string message;
  std::string remedy;

  /*! @brief One line for logs and terminals. */
  [[nodiscard]] std::string Text() const;
};

/*! @brief A value or a typed error. */
template <typename T>
using Result = tl::expected<T, Error>;

/*! @brief Builds the error side of a Result. */
[[nodiscard]] tl::unexpected<Error> Fail(ErrorKind kind,
                                         std::string message,
                                         std::string remedy);

}  // namespace kch

#endif  // BASE_ERROR_H_
