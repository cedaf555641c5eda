#ifndef CTL_JSON_VIEW_H_
#define CTL_JSON_VIEW_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace kch::ctl {

/*! @brief A member of an object, or null; answers may lack any member. */
[[nodiscard]] const nlohmann::json& Member(const nlohmann::json& object,
                                           std::string_view name);
/*! @brief The value of a text, else an empty text. */
[[nodiscard]] std::string TextOf(const nlohmann::json& value);
/*! @brief The value of a number, else 0. */
[[nodiscard]] double NumberOf(const nlohmann::json& value);
/*! @brief Any value as one cell of a table, in printable ASCII. */
[[nodiscard]] std::string CellOf(const nlohmann::json& value);
/*! @brief Text with other than printable ASCII characters replaced by ?. */
[[nodiscard]] std::string Printable(std::string_view text);

}  // namespace kch::ctl

#endif  // CTL_JSON_VIEW_H_
