#ifndef BASE_NAME_TABLE_H_
#define BASE_NAME_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace kch {

/*! @brief Specialise with `static constexpr std::array<std::pair<E,
 * std::string_view>, N> kEntries` to give an enum its names. */
template <typename E>
struct NameTable;

/*! @brief The name of an enumerator; "?" if its table lacks it. */
template <typename E>
[[nodiscard]] constexpr std::string_view NameOf(E value) {
  for (const auto& [candidate, name] : NameTable<E>::kEntries) {
    if (candidate == value) {
      return name;
    }
  }
  return "?";
}

/*! @brief The enumerator with a given name, if there is one. */
template <typename E>
[[nodiscard]] constexpr std::optional<E> FromName(std::string_view name) {
  for (const auto& [candidate, candidate_name] : NameTable<E>::kEntries) {
    if (candidate_name == name) {
      return candidate;
    }
  }
  return std::nullopt;
}

/*! @brief All names of an enum separated by commas, for error messages. */
template <typename E>
[[nodiscard]] std::string NamesOf() {
  std::string names;
  for (const auto& entry : NameTable<E>::kEntries) {
    if (!names.empty()) {
      names += ", ";
    }
    names += entry.second;
  }
  return names;
}

}  // namespace kch

#endif  // BASE_NAME_TABLE_H_
