#ifndef NET_ANSWER_H_
#define NET_ANSWER_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "base/error.h"
#include "net/http.h"

namespace kch::net {

/*! @brief An answer with a JSON body. */
[[nodiscard]] HttpResponse JsonResponse(int status, const nlohmann::json& body);

/*! @brief An answer that names an error and its remedy. */
[[nodiscard]] HttpResponse ErrorResponse(int status, const Error& error);

/*! @brief The secret of `Authorization: Bearer <secret>`, or an empty text. */
[[nodiscard]] std::string_view BearerSecret(const HttpRequest& request);

}  // namespace kch::net

#endif  // NET_ANSWER_H_
