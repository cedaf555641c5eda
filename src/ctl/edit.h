#ifndef CTL_EDIT_H_
#define CTL_EDIT_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "ctl/command.h"

namespace kch::ctl {

/*! @brief Answers of several entries to `GET /v1/admin/status`. */
using Reports = std::vector<nlohmann::json>;

/*! @brief Checks names and values of an edit's fields; needs no state. */
[[nodiscard]] Result<void> CheckFields(const EditObject& edit);

/*! @brief The change that an edit makes to the present object; it expects the
 * revision that it is based on. */
[[nodiscard]] Result<config::Proposal> ProposeEdit(const EditObject& edit,
                                                   const config::State& state);
/*! @brief The change of a zone that is configured or that something is in. */
[[nodiscard]] Result<config::Proposal> ProposeZone(const SetZoneService& zone,
                                                   const config::State& state,
                                                   const Reports& reports);
/*! @brief The retirement of an instance that every entry sees down. */
[[nodiscard]] Result<config::Proposal> ProposeRetirement(
    const RetireInstance& retire,
    const Reports& reports);

/*! @brief A key and its text, which is shown once and not kept. */
struct NewKey {
  std::string text;
  config::Key key;
};
/*! @brief Random bytes that MakeKey takes. */
inline constexpr std::size_t kKeyRandomBytes = 36;
/*! @brief Makes a key from random bytes. */
[[nodiscard]] NewKey MakeKey(const GrantKey& grant, std::string_view random);

/*! @brief Bytes as lower-case hex. */
[[nodiscard]] std::string Hex(std::string_view bytes);
/*! @brief Text as the value of a query parameter. */
[[nodiscard]] std::string EncodeQuery(std::string_view text);
/*! @brief Body of `POST /v1/admin/changes`. */
[[nodiscard]] std::string EncodeProposal(const config::Proposal& proposal);
/*! @brief Body of `POST /v1/admin/orders`. */
[[nodiscard]] std::string EncodeOrder(const SendOrder& order,
                                      const std::string& id);
/*! @brief Body of `POST /v1/admin/vms`. */
[[nodiscard]] std::string EncodeVm(const AddVm& vm);

}  // namespace kch::ctl

#endif  // CTL_EDIT_H_
