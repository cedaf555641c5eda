#include "app/maintain/requests.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace kch::app {
namespace {

using maintain::OrderKind;
using nlohmann::json;

constexpr std::size_t kMaxText = 128;
constexpr std::size_t kMaxReason = 1024;
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int32_t>::max();
// Ids become parts of store keys and of URLs.
constexpr std::string_view kIdCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";

constexpr std::array<std::pair<std::string_view, OrderKind>, 5> kKinds{
    {{"drain", OrderKind::kDrain},
     {"return", OrderKind::kReturn},
     {"reboot", OrderKind::kReboot},
     {"move", OrderKind::kMove},
     {"rollout", OrderKind::kRollout}}};

tl::unexpected<Error> Invalid(std::string message, std::string remedy) {
  return Fail(ErrorKind::kInvalid, std::move(message), std::move(remedy));
}

// Reads the members of a request and keeps the first error.
class Reader {
 public:
  explicit Reader(std::string_view body)
      : object(json::parse(body, nullptr, false)) {
    if (!this->object.is_object()) {
      this->error = Error{ErrorKind::kInvalid, "the body is not a JSON object",
                          "docs/interface.md lists the fields"};
    }
  }

  std::string Id(const char* key, bool required) {
    std::string text = this->Text(key, kMaxText);
    if (text.find_first_not_of(kIdCharacters) != std::string::npos) {
      this->Complain(std::string(key) + " is not a valid id",
                     "use letters, digits and -_.: characters");
    } else if (text.empty() && required) {
      this->Complain(std::string(key) + " is missing",
                     std::string("add \"") + key + "\"");
    }
    return text;
  }

  std::string Text(const char* key, std::size_t max) {
    const auto found = this->Find(key);
    if (!found) {
      return {};
    }
    if (!found->is_string() ||
        found->get_ref<const std::string&>().size() > max) {
      this->Complain(std::string(key) + " is not a short text",
                     "send at most " + std::to_string(max) + " bytes of text");
      return {};
    }
    return found->get<std::string>();
  }

  std::uint32_t Number(const char* key, std::uint32_t min) {
    const auto found = this->Find(key);
    if (!found && min == 0) {
      return 0;
    }
    if (!found || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() < min ||
        found->get<std::uint64_t>() > kMaxNumber) {
      this->Complain(std::string(key) + " is not in its range",
                     "send a whole number from " + std::to_string(min) +
                         " to " + std::to_string(kMaxNumber));
      return 0;
    }
    return found->get<std::uint32_t>();
  }

  void Complain(std::string message, std::string remedy) {
    if (!this->error) {
      this->error =
          Error{ErrorKind::kInvalid, std::move(message), std::move(remedy)};
    }
  }

  [[nodiscard]] const std::optional<Error>& problem() const {
    return this->error;
  }

 private:
  [[nodiscard]] std::optional<json> Find(const char* key) const {
    if (!this->object.is_object() || !this->object.contains(key)) {
      return std::nullopt;
    }
    return this->object[key];
  }

  json object;
  std::optional<Error> error;
};

}  // namespace

Result<maintain::Order> ParseOrder(std::string_view body) {
  Reader reader(body);
  maintain::Order order;
  order.id = reader.Id("id", true);
  order.pool = PoolId(reader.Id("pool", true));
  const std::string kind = reader.Text("kind", kMaxText);
  const auto found =
      std::find_if(kKinds.begin(), kKinds.end(),
                   [&](const auto& entry) { return entry.first == kind; });
  if (found == kKinds.end()) {
    reader.Complain("there is no order of the kind '" + kind + "'",
                    "use drain, return, reboot, move or rollout");
  } else {
    order.kind = found->second;
  }
  order.vm = VmId(reader.Id("vm", order.kind != OrderKind::kRollout));
  order.to = PoolId(reader.Id("to", order.kind == OrderKind::kMove));
  order.reason = reader.Text("reason", kMaxReason);
  if (reader.problem()) {
    return tl::unexpected(*reader.problem());
  }
  return order;
}

Result<VmRegistration> ParseRegistration(std::string_view body) {
  Reader reader(body);
  VmRegistration result;
  result.pool = PoolId(reader.Id("pool", true));
  maintain::VmRow& vm = result.vm;
  vm.id = VmId(reader.Id("id", true));
  vm.address = reader.Id("address", true);
  vm.zone = ZoneId(reader.Id("zone", true));
  vm.rack = RackId(reader.Id("rack", true));
  vm.slots = reader.Number("slots", 1);
  vm.cpus = reader.Number("cpus", 0);
  vm.memory_mb = reader.Number("memory_mb", 0);
  vm.accelerators = reader.Number("accelerators", 0);
  if (!reader.problem() && vm.address.find(':') == std::string::npos) {
    return Invalid("the address has no port", "send address as host:port");
  }
  if (reader.problem()) {
    return tl::unexpected(*reader.problem());
  }
  return result;
}

}  // namespace kch::app
