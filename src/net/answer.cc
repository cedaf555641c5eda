#include "net/answer.h"

#include <nlohmann/json.hpp>

namespace kch::net {
namespace {

constexpr std::string_view kBearer = "Bearer ";

}  // namespace

HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  // Text that is no UTF-8 is replaced, since callers choose some of it.
  return {.status = status,
          .body = body.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)};
}

HttpResponse ErrorResponse(int status, const Error& error) {
  return JsonResponse(status, {{"error", NameOf(error.kind)},
                               {"message", error.message},
                               {"remedy", error.remedy}});
}

std::string_view BearerSecret(const HttpRequest& request) {
  const std::string_view header = request.Header("authorization");
  return header.starts_with(kBearer) ? header.substr(kBearer.size())
                                     : std::string_view();
}

}  // namespace kch::net
