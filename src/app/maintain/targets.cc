#include "app/maintain/targets.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace kch::app {
namespace {

using maintain::OperationState;
using nlohmann::json;

constexpr int kNotFound = 404;

std::string TextOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

maintain::TaskReport FactOf(const TaskId& task,
                            const ProfileId& id,
                            const config::State& state) {
  // A task of a profile that was removed gets the defaults of a new profile.
  const config::Profile* found = state.Find(id);
  const config::Profile profile = found == nullptr ? config::Profile{} : *found;
  maintain::TaskReport fact{
      .id = task, .bound = std::chrono::milliseconds(profile.drain_wait_ms)};
  switch (profile.on_drain) {
    case config::OnDrain::kWait:
      fact.behaviour = maintain::DrainBehaviour::kWait;
      break;
    case config::OnDrain::kCheckpoint:
      fact.behaviour = maintain::DrainBehaviour::kCheckpoint;
      break;
    case config::OnDrain::kThrottle:
      fact.behaviour = maintain::DrainBehaviour::kThrottle;
      break;
  }
  return fact;
}

}  // namespace

std::optional<maintain::PlatformList> ParseVmList(const net::HttpResult& result,
                                                  Time asked_at) {
  const json body = json::parse(result.body, nullptr, false);
  if (!result.Success() || !body.is_array()) {
    return std::nullopt;
  }
  maintain::PlatformList list{.requested_at = asked_at};
  for (const json& row : body) {
    if (!row.is_object() || TextOf(row, "id").empty()) {
      return std::nullopt;
    }
    const std::string state = TextOf(row, "state");
    list.vms[VmId(TextOf(row, "id"))] = {state == "live" || state == "leaving"};
  }
  return list;
}

std::optional<OperationState> ParseOperation(const net::HttpResult& result,
                                             bool read) {
  if (result.status == net::CallStatus::kAnswered && read &&
      result.code == kNotFound) {
    return OperationState::kNotFound;
  }
  const json body = json::parse(result.body, nullptr, false);
  if (!result.Success() || !body.is_object()) {
    return std::nullopt;
  }
  const std::string state = TextOf(body, "state");
  if (state == "pending") {
    return OperationState::kRunning;
  }
  if (state == "done") {
    return OperationState::kDone;
  }
  if (state == "failed") {
    return OperationState::kFailed;
  }
  return std::nullopt;
}

std::optional<maintain::WorkerReport> ParseTasks(const VmId& vm,
                                                 const net::HttpResult& result,
                                                 const config::State& state,
                                                 Time asked_at) {
  const json body = json::parse(result.body, nullptr, false);
  // A report that is read wrongly as idle would end a drain too early.
  if (!result.Success() || !body.is_object() || TextOf(body, "boot").empty() ||
      !body.contains("tasks") || !body["tasks"].is_array()) {
    return std::nullopt;
  }
  maintain::WorkerReport report{
      .vm = vm, .boot = TextOf(body, "boot"), .requested_at = asked_at};
  for (const json& task : body["tasks"]) {
    if (!task.is_object()) {
      return std::nullopt;
    }
    report.tasks.push_back(FactOf(TaskId(TextOf(task, "task")),
                                  ProfileId(TextOf(task, "profile")), state));
  }
  return report;
}

std::string PathOf(const maintain::PlatformCall& call) {
  std::string verb;
  switch (call.verb) {
    case maintain::PlatformVerb::kDrain:
      verb = "drain";
      break;
    case maintain::PlatformVerb::kReboot:
      verb = "reboot";
      break;
    case maintain::PlatformVerb::kUndrain:
      verb = "undrain";
      break;
  }
  return "/v1/vms/" + call.vm.str() + "/" + verb +
         "?operation=" + call.operation;
}

std::string PathOf(const maintain::WorkerCall& call) {
  std::string verb;
  switch (call.verb) {
    case maintain::WorkerVerb::kCheckpoint:
      verb = "checkpoint";
      break;
    case maintain::WorkerVerb::kThrottle:
      verb = "throttle";
      break;
    case maintain::WorkerVerb::kStop:
      verb = "stop";
      break;
  }
  return "/tasks/" + call.task.str() + "/" + verb;
}

}  // namespace kch::app
