#ifndef CTL_RENDER_H_
#define CTL_RENDER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "ctl/edit.h"
#include "ctl/json_view.h"

namespace kch::ctl {

/*! @brief Rows in aligned columns; columns of numbers are aligned right. */
[[nodiscard]] std::string Table(std::vector<std::vector<std::string>> rows);

/*! @brief Output of the list commands. */
[[nodiscard]] std::string RenderKeys(const config::State& state);
[[nodiscard]] std::string RenderTeams(const config::State& state,
                                      const Reports& reports);
[[nodiscard]] std::string RenderProfiles(const config::State& state);
[[nodiscard]] std::string RenderPools(const config::State& state,
                                      const Reports& reports);
[[nodiscard]] std::string RenderZones(const config::State& state,
                                      const Reports& reports);
[[nodiscard]] std::string RenderInstances(const Reports& reports);
[[nodiscard]] std::string RenderStatus(const Reports& reports);
[[nodiscard]] std::string RenderConfig(const config::State& state);

/*! @brief All fields of a profile. */
[[nodiscard]] Result<std::string> RenderProfile(const config::State& state,
                                                const ProfileId& id);
/*! @brief Answers of several entries to `GET /v1/admin/explain`. */
[[nodiscard]] Result<std::string> RenderExplain(
    const std::string& id,
    const std::vector<nlohmann::json>& answers);

/*! @brief Any JSON as fields and tables. */
[[nodiscard]] std::string RenderJson(const nlohmann::json& value);

/*! @brief Status reports without repeats from one instance. */
[[nodiscard]] Reports DistinctReports(std::vector<nlohmann::json> answers);

/*! @brief The pool that the entries list a VM in. */
[[nodiscard]] Result<PoolId> PoolOfVm(
    const VmId& vm,
    const std::vector<nlohmann::json>& answers);

/*! @brief Pools whose scheduler sent no report, as lines of text. */
[[nodiscard]] std::vector<std::string> MissingReports(const Reports& reports);

/*! @brief Where an accepted change is in force. */
struct Force {
  std::uint64_t revision = 0;
  std::vector<std::string> in_force;
  std::vector<std::string> pending;
};
/*! @brief Reads the answer to an accepted change. */
[[nodiscard]] std::optional<Force> ForceOf(const nlohmann::json& answer);
/*! @brief Where a revision is in force as one entry reports it. */
[[nodiscard]] Force ForceIn(const nlohmann::json& report,
                            std::uint64_t revision);
/*! @brief The text for an accepted change. */
[[nodiscard]] std::string RenderForce(const Force& force);

/*! @brief The text for an answer that refuses a call. */
[[nodiscard]] std::string RenderRefusal(int code, std::string_view body);

}  // namespace kch::ctl

#endif  // CTL_RENDER_H_
