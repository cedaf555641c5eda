#ifndef CONFIG_FOLLOWER_H_
#define CONFIG_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "base/base.h"
#include "config/head.h"
#include "config/state.h"

namespace kch::config {

/*! @brief What an offered head or base led to. */
enum class Offer : std::uint8_t {
  kApplied,    // the revision increased
  kStale,      // nothing new
  kNeedsBase,  // see Follower::wanted_base
};

/*! @brief The configuration in force at one entry; its revision never
 * decreases, whatever the order of offers. */
class Follower {
 public:
  Follower();

  /*! @brief Takes a head from the store or a peer. */
  Result<Offer> OfferHead(const Head& head);

  /*! @brief Takes a base, or any peer's whole state, then the changes of the
   * latest head that waited for it. */
  Result<Offer> OfferBase(std::shared_ptr<const State> base);

  /*! @brief Snapshot that readers keep; never null, never modified. */
  [[nodiscard]] const std::shared_ptr<const State>& state() const {
    return this->current;
  }
  /*! @brief Revision in force. */
  [[nodiscard]] std::uint64_t revision() const {
    return this->current->revision;
  }
  /*! @brief Revision of the base to read (BaseKey), if one is missing. If the
   * store lacks it, read the head again. */
  [[nodiscard]] std::optional<std::uint64_t> required_base() const;

 private:
  std::shared_ptr<const State> current;
  std::optional<Head> pending_head;  // newest head that needs a base
};

}  // namespace kch::config

#endif  // CONFIG_FOLLOWER_H_
