#include "app/entry/worker_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace kch::app {
namespace {

using engine::AttemptStatus;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kOrderTimeoutMs = 2000;
constexpr int kPollTimeoutMs = 1000;
constexpr std::string_view kCheckpointed = "checkpointed";

// True if the answer is about this task and has the length it says.
bool Matches(const TaskId& task, const net::HttpResult& result) {
  return result.Header("kch-task") == task.str() &&
         result.Header("kch-length") == std::to_string(result.body.size());
}

engine::WorkerReport ParseReport(const VmId& vm,
                                 const net::HttpResult& result) {
  engine::WorkerReport report{.vm = vm};
  const json body = json::parse(result.body, nullptr, false);
  if (!result.Success() || !body.is_object() ||
      !body.value("tasks", json()).is_array()) {
    return report;
  }
  report.reached = true;
  report.boot = body.value("boot", "");
  report.draining = body.value("draining", false);
  for (const json& task : body["tasks"]) {
    if (task.is_object()) {
      report.tasks.push_back({TaskId(task.value("task", "")),
                              TeamId(task.value("team", "")),
                              ProfileId(task.value("profile", ""))});
    }
  }
  return report;
}

}  // namespace

engine::AttemptResult ParseAnswer(const TaskId& task,
                                  net::HttpResult result,
                                  bool attach) {
  engine::AttemptResult end{.task = task};
  if (result.status == net::CallStatus::kNotSent) {
    // An attach that was not sent tells nothing about the task.
    end.status = attach ? AttemptStatus::kBroken : AttemptStatus::kNotSent;
    if (!attach && result.error.starts_with("expired")) {
      end.status = AttemptStatus::kExpired;
    }
    end.detail = result.error;
    return end;
  }
  if (result.status == net::CallStatus::kBroken) {
    end.detail = result.error;
    return end;
  }
  const std::string_view refusal = result.Header("kch-not-run");
  if (refusal == kCheckpointed) {
    end.status = AttemptStatus::kCheckpointed;
    end.detail = result.Header("kch-checkpoint");
  } else if (!refusal.empty()) {
    end.status = AttemptStatus::kRefused;
    end.detail = refusal;
  } else if (attach && result.code == kNotFound) {
    end.status = AttemptStatus::kNotKnown;
  } else if (result.code != kOk) {
    end.status = AttemptStatus::kFailed;
    end.detail = "status " + std::to_string(result.code);
  } else if (!Matches(task, result)) {
    end.status = AttemptStatus::kMismatched;
  } else {
    end.status = AttemptStatus::kDone;
    end.body = std::move(result.body);
  }
  return end;
}

WorkerClient::WorkerClient(net::HttpClient& client, OnEvent on_event)
    : client(client), on_event(std::move(on_event)) {}

void WorkerClient::Start(engine::StartTask start) {
  net::HttpCall call{
      .method = "POST",
      .url = "http://" + start.attempt.address + "/run",
      .headers = {{"Kch-Task", start.attempt.task.str()},
                  {"Kch-Team", start.job.team.str()},
                  {"Kch-Profile", start.job.profile.str()},
                  {"Kch-Lease-Ms", std::to_string(start.attempt.lease_ms)}},
      .body = std::move(start.job.body),
      .timeout_ms = 0,
      .new_connection = !start.job.repeatable,
      .valid_until = start.valid_until};
  if (!start.job.request.empty()) {
    call.headers.emplace_back("Kch-Request", start.job.request.str());
  }
  if (!start.checkpoint.empty()) {
    call.headers.emplace_back("Kch-Checkpoint", start.checkpoint);
  }
  this->Follow(start.attempt.task, std::move(call), false);
}

void WorkerClient::Attach(const engine::AttachTask& attach) {
  this->Follow(attach.attempt.task,
               {.url = "http://" + attach.attempt.address + "/tasks/" +
                       attach.attempt.task.str(),
                .timeout_ms = 0,
                .new_connection = true},
               true);
}

void WorkerClient::Follow(const TaskId& task, net::HttpCall call, bool attach) {
  const std::lock_guard lock(this->mutex);
  this->calls[task] = this->client.Send(
      std::move(call), [this, task, attach](net::HttpResult result) {
        {
          const std::lock_guard inner(this->mutex);
          this->calls.erase(task);
        }
        this->on_event(
            engine::AttemptEnded{ParseAnswer(task, std::move(result), attach)});
      });
}

void WorkerClient::Abort(const TaskId& task) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->calls.find(task);
  if (found != this->calls.end()) {
    this->client.Abort(found->second);
  }
}

void WorkerClient::Poll(const engine::PollWorker& poll) {
  json tasks = json::array();
  for (const TaskId& task : poll.tasks) {
    tasks.push_back(task.str());
  }
  const json body{{"lease_ms", poll.lease_ms}, {"tasks", std::move(tasks)}};
  this->client.Send({.method = "POST",
                     .url = "http://" + poll.address + "/leases",
                     .body = body.dump(),
                     .timeout_ms = kPollTimeoutMs,
                     .new_connection = poll.new_connection},
                    [this, vm = poll.vm](const net::HttpResult& result) {
                      this->on_event(ParseReport(vm, result));
                    });
}

void WorkerClient::Order(const engine::OrderTask& order) {
  this->client.Send(
      {.method = "POST",
       .url = "http://" + order.address + "/tasks/" + order.task.str() + "/" +
              std::string(NameOf(order.order)),
       .timeout_ms = kOrderTimeoutMs},
      [](const net::HttpResult& /*result*/) {});
}

}  // namespace kch::app
