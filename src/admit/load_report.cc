#include "admit/load_report.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace kch::admit {
namespace {

using nlohmann::json;

// Longer waits are of no more use and would overflow as durations.
constexpr std::int64_t kMaxWaitMs = 3'600'000;

Duration WaitIn(const json& value) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, kMaxWaitMs));
}

}  // namespace

std::string Encode(const LoadReport& report) {
  json queues = json::object();
  for (const auto& [id, load] : report.queues) {
    json teams = json::object();
    for (const auto& [team, wait] : load.team_waits) {
      teams[team.str()] = ToMs(wait);
    }
    queues[id.str()] = {{"wait_ms", ToMs(load.wait)}, {"teams", teams}};
  }
  return json{{"queues", queues}}.dump(-1, ' ', false,
                                       json::error_handler_t::replace);
}

Result<LoadReport> DecodeLoadReport(std::string_view text) {
  try {
    LoadReport report;
    const json body = json::parse(text);
    for (const auto& [id, row] : body.at("queues").items()) {
      QueueLoad& load = report.queues[jobs::QueueId(id)];
      load.wait = WaitIn(row.at("wait_ms"));
      for (const auto& [team, wait] : row.at("teams").items()) {
        load.team_waits[TeamId(team)] = WaitIn(wait);
      }
    }
    return report;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kCorrupt,
                std::string("load report cannot be decoded: ") + error.what(),
                "none needed: the owner writes another one within a second");
  }
}

}  // namespace kch::admit
