#ifndef CONFIG_FOLLOWER_H_
#define CONFIG_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "base/base.h"
#include "config/head.h"
#include "config/state.h"

namespace kch::config {

/*! @brief Result of offering a head or base to a Follower. */
enum class Offer : std::uint8_t {
  kApplied,    // the revision increased
  kStale,      // not newer than the revision in force
  kNeedsBase,  // see Follower::required_base
};

/*! @brief The configuration in force in one process; its revision never
 * decreases, regardless of the order of offers. */
class Follower {
 public:
  Follower();

  /*! @brief Applies a head from the store or a peer; fails if one of its
   * changes, or of those of the pending head, cannot be applied. An error does
   * not mean that the revision is unchanged. */
  Result<Offer> OfferHead(const Head& head);

  /*! @brief Adopts a base, or the whole state of a peer, then applies the
   * pending head if this state reaches its base. Fails if one of the changes of
   * the pending head cannot be applied; the base remains adopted. */
  Result<Offer> OfferBase(std::shared_ptr<const State> base);

  /*! @brief Immutable snapshot that readers may retain; never null. */
  [[nodiscard]] const std::shared_ptr<const State>& state() const {
    return this->current;
  }
  /*! @brief Revision in force. */
  [[nodiscard]] std::uint64_t revision() const {
    return this->current->revision;
  }
  /*! @brief Revision of the base to read (BaseKey), if one is missing. If the
   * store does not contain it, read the head again. */
  [[nodiscard]] std::optional<std::uint64_t> required_base() const;

 private:
  std::shared_ptr<const State> current;
  std::optional<Head> pending_head;  // newest head that needs a base
};

}  // namespace kch::config

#endif  // CONFIG_FOLLOWER_H_
