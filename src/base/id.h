#ifndef BASE_ID_H_
#define BASE_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace kch {

/*! @brief Text identifier that does not convert to one of another kind. */
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text(std::move(text)) {}

  /*! @brief The identifier as text. */
  [[nodiscard]] const std::string& str() const { return this->text; }
  /*! @brief True for the default value, which names nothing. */
  [[nodiscard]] bool empty() const { return this->text.empty(); }

  auto operator<=>(const Id&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.text;
  }

 private:
  std::string text;
};

using TeamId = Id<struct TeamTag>;
using PoolId = Id<struct PoolTag>;
using VmId = Id<struct VmTag>;
using RackId = Id<struct RackTag>;
using ZoneId = Id<struct ZoneTag>;
using ProfileId = Id<struct ProfileTag>;
using KeyId = Id<struct KeyTag>;
using InstanceId = Id<struct InstanceTag>;
using TaskId = Id<struct TaskTag>;
using RequestId = Id<struct RequestTag>;

}  // namespace kch

template <typename Tag>
struct std::hash<kch::Id<Tag>> {
  std::size_t operator()(const kch::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // BASE_ID_H_
