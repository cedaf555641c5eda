#include "net/http.h"

namespace kch::net {
namespace {

template <typename Map>
std::string_view Find(const Map& map, std::string_view name) {
  const auto found = map.find(name);
  return found == map.end() ? std::string_view() : found->second;
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  return Find(this->headers, name);
}

std::string_view HttpRequest::Query(std::string_view name) const {
  return Find(this->query, name);
}

}  // namespace kch::net
