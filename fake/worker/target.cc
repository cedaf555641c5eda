#include "fake/worker/target.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace kch::fake {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kTasks = "/tasks/";
constexpr std::int64_t kNoLeaseMs = 24LL * 3600 * 1000;
// Lets the answer to the order leave before its connection is closed.
constexpr milliseconds kRestartDelay{20};

json ParseObject(const std::string& text) {
  json value = json::parse(text, nullptr, false);
  return value.is_object() ? value : json::object();
}

std::int64_t NumberOf(const json& object, const char* key, std::int64_t other) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number()
             ? found->get<std::int64_t>()
             : other;
}

bool FlagOf(const json& object, const char* key, bool other) {
  const auto found = object.find(key);
  return found != object.end() && found->is_boolean() ? found->get<bool>()
                                                      : other;
}

std::int64_t ToNumber(std::string_view text, std::int64_t other) {
  std::int64_t value = other;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Uses up one of the tasks that a fault applies to.
bool Applies(std::int64_t& count) {
  if (count > 0) {
    --count;
    return true;
  }
  return count < 0;
}

net::HttpResponse Problem(int status, const std::string& text) {
  return {.status = status, .body = json{{"error", text}}.dump()};
}

net::HttpResponse NotRun(int status, const std::string& reason) {
  net::HttpResponse response = Problem(status, "not run: " + reason);
  response.headers.emplace_back("Kch-Not-Run", reason);
  return response;
}

std::int64_t WallUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t MsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace

Target::Target(asio::io_context& io, TargetOptions options, RelayOptions relay)
    : io(io),
      options(std::move(options)),
      relay(io, std::move(relay)),
      restart_timer(io) {}

void Target::Handle(const net::HttpRequest& request,
                    const net::HttpReply& reply) {
  const std::string& path = request.path;
  const bool post = request.method == "POST";
  if (post && path == "/run") {
    this->Run(request, reply);
  } else if (post && path == "/leases") {
    this->Renew(request, reply);
  } else if (path == "/tasks") {
    reply({.body = this->Report().dump()});
  } else if (path.starts_with(kTasks)) {
    const std::string rest = path.substr(kTasks.size());
    const std::size_t slash = rest.find('/');
    const auto found = this->tasks.find(rest.substr(0, slash));
    if (found == this->tasks.end()) {
      reply(Problem(404, "no such task"));
    } else if (slash == std::string::npos) {
      this->Attach(found->second, reply);
    } else {
      this->Act(found->first, rest.substr(slash + 1), reply);
    }
  } else if (post && (path == "/drain" || path == "/undrain")) {
    this->draining = path == "/drain";
    reply({.body = this->Report().dump()});
  } else if (post && path == "/reboot") {
    const std::int64_t down_ms =
        NumberOf(ParseObject(request.body), "down_ms", this->options.reboot_ms);
    reply({.body = this->Report().dump()});
    this->Restart(down_ms);
  } else if (path == "/fault") {
    if (post) {
      this->SetFaults(request, reply);
    } else {
      reply({.body = this->Faults().dump()});
    }
  } else if (path == "/log") {
    reply({.body = json{{"target", this->options.id},
                        {"boot", this->Report()["boot"]},
                        {"events", this->log}}
                       .dump()});
  } else {
    reply(Problem(404, "no such path"));
  }
}

void Target::Run(const net::HttpRequest& request, const net::HttpReply& reply) {
  const std::string id(request.Header("kch-task"));
  if (id.empty()) {
    reply(Problem(400, "the header Kch-Task is missing"));
    return;
  }
  if (const auto found = this->tasks.find(id); found != this->tasks.end()) {
    this->Attach(found->second, reply);
    return;
  }
  const json order = ParseObject(request.body);
  if (!this->faults.refuse.empty()) {
    reply(NotRun(503, this->faults.refuse));
    return;
  }
  if (this->draining) {
    reply(NotRun(503, "draining"));
    return;
  }
  if (NumberOf(order, "memory_mb", 0) > this->options.memory_mb) {
    reply(NotRun(400, "never_fits"));
    return;
  }
  if (this->running >= this->options.slots) {
    reply(NotRun(503, "slots_full"));
    return;
  }
  Task& task = this->tasks.try_emplace(id, this->io).first->second;
  task.id = id;
  task.team = request.Header("kch-team");
  task.profile = request.Header("kch-profile");
  task.request = request.Header("kch-request");
  task.echo = order.contains("echo") ? order["echo"] : json(request.body);
  task.may_checkpoint = FlagOf(order, "checkpoint", true);
  task.pad_bytes = static_cast<std::size_t>(
      std::max<std::int64_t>(0, NumberOf(order, "pad_bytes", 0)));
  task.done_before_ms = ToNumber(request.Header("kch-checkpoint"), 0);
  task.started = Clock::now();
  std::int64_t run_ms = std::max<std::int64_t>(
      0, NumberOf(order, "run_ms", 0) - task.done_before_ms);
  task.fail = FlagOf(order, "fail", false);
  if (Applies(this->faults.fail)) {
    task.fail = true;
    run_ms = this->faults.fail_ms;
  }
  task.ends = task.started + milliseconds(run_ms + this->faults.slow_ms);
  task.lease_until =
      task.started +
      milliseconds(ToNumber(request.Header("kch-lease-ms"), kNoLeaseMs));
  ++this->running;
  this->Log("start", task, "");
  this->Attach(task, reply);
  this->Arm(task);
}

void Target::Attach(Task& task, const net::HttpReply& reply) {
  if (task.result) {
    this->Answer(task, reply);
  } else {
    task.waiting.push_back(reply);
  }
}

void Target::Arm(Task& task) {
  task.timer.expires_at(std::min(task.ends, task.lease_until));
  task.timer.async_wait(
      [this, id = task.id, boot = this->boots](std::error_code error) {
        const auto found = this->tasks.find(id);
        if (error || boot != this->boots || found == this->tasks.end() ||
            found->second.result) {
          return;
        }
        Task& task = found->second;
        const auto now = Clock::now();
        if (now >= task.ends) {
          this->End(task, task.fail ? "failed" : "done",
                    task.fail ? Problem(500, "task failed") : this->Done(task));
        } else if (now >= task.lease_until) {
          this->End(task, "lease_expired", Problem(500, "lease expired"));
        } else {
          this->Arm(task);
        }
      });
}

net::HttpResponse Target::Done(const Task& task) const {
  json answer{{"task", task.id},         {"target", this->options.id},
              {"team", task.team},       {"profile", task.profile},
              {"request", task.request}, {"boot", this->boots},
              {"echo", task.echo}};
  if (task.pad_bytes > 0) {
    answer["pad"] = std::string(task.pad_bytes, 'x');
  }
  return {.status = 200, .body = answer.dump()};
}

void Target::End(Task& task,
                 const std::string& outcome,
                 net::HttpResponse response) {
  response.headers.emplace_back("Kch-Task", task.id);
  response.headers.emplace_back("Kch-Length",
                                std::to_string(response.body.size()));
  task.result = std::move(response);
  --this->running;
  this->Log("end", task, outcome);
  for (const auto& reply : std::exchange(task.waiting, {})) {
    this->Answer(task, reply);
  }
  task.timer.expires_after(milliseconds(this->options.result_ms));
  task.timer.async_wait(
      [this, id = task.id, boot = this->boots](std::error_code error) {
        if (!error && boot == this->boots) {
          this->tasks.erase(id);
        }
      });
}

void Target::Answer(const Task& task, const net::HttpReply& reply) {
  if (!task.result || Applies(this->faults.no_answer)) {
    return;
  }
  net::HttpResponse response = *task.result;
  if (Applies(this->faults.half)) {
    // The relay cuts the answers that carry this header.
    response.headers.emplace_back("Kch-Fault", "half");
  }
  reply(std::move(response));
}

void Target::Renew(const net::HttpRequest& request,
                   const net::HttpReply& reply) {
  const json order = ParseObject(request.body);
  const std::int64_t lease_ms = NumberOf(order, "lease_ms", 0);
  const auto listed = order.find("tasks");
  if (lease_ms <= 0 || listed == order.end() || !listed->is_array()) {
    reply(Problem(400, "expected {\"lease_ms\": N, \"tasks\": [ids]}"));
    return;
  }
  json unknown = json::array();
  for (const json& item : *listed) {
    const auto found = item.is_string()
                           ? this->tasks.find(item.get<std::string>())
                           : this->tasks.end();
    if (found == this->tasks.end()) {
      unknown.push_back(item);
    } else if (!found->second.result) {
      found->second.lease_until = Clock::now() + milliseconds(lease_ms);
      this->Arm(found->second);
    }
  }
  json report = this->Report();
  report["unknown"] = std::move(unknown);
  reply({.body = report.dump()});
}

void Target::Act(const std::string& id,
                 std::string_view action,
                 const net::HttpReply& reply) {
  Task& task = this->tasks.at(id);
  if (task.result) {
    reply(Problem(409, "the task has ended"));
    return;
  }
  if (action == "checkpoint" && task.may_checkpoint) {
    net::HttpResponse response = NotRun(409, "checkpointed");
    const std::int64_t done_ms = task.done_before_ms + MsSince(task.started);
    response.headers.emplace_back("Kch-Checkpoint", std::to_string(done_ms));
    this->End(task, "checkpointed", std::move(response));
  } else if (action == "checkpoint") {
    reply(Problem(409, "the task has no checkpoints"));
    return;
  } else if (action == "throttle") {
    // Half speed: what is left takes twice as long.
    const auto now = Clock::now();
    task.ends = now + 2 * (task.ends - now);
    this->Arm(task);
  } else if (action == "stop") {
    this->End(task, "stopped", Problem(500, "stopped"));
  } else {
    reply(Problem(404, "no such action"));
    return;
  }
  reply({.body = this->Report().dump()});
}

void Target::Restart(std::int64_t down_ms) {
  this->restart_timer.expires_after(kRestartDelay);
  this->restart_timer.async_wait([this, down_ms](std::error_code error) {
    if (error) {
      return;
    }
    this->relay.Close();
    for (const auto& [id, task] : this->tasks) {
      if (!task.result) {
        this->Log("end", task, "lost");
      }
    }
    ++this->boots;
    this->tasks.clear();
    this->running = 0;
    this->draining = false;
    this->restart_timer.expires_after(milliseconds(down_ms));
    this->restart_timer.async_wait([this](std::error_code down_error) {
      if (!down_error) {
        this->relay.Open();
      }
    });
  });
}

void Target::SetFaults(const net::HttpRequest& request,
                       const net::HttpReply& reply) {
  const json order = json::parse(request.body, nullptr, false);
  const std::string problem =
      "expected a JSON object with any of: clear, fail, fail_ms, half, "
      "no_answer, slow_ms, silent, refuse, freeze, crash_ms";
  if (!order.is_object()) {
    reply(Problem(400, problem));
    return;
  }
  TargetFaults next =
      FlagOf(order, "clear", false) ? TargetFaults{} : this->faults;
  bool freeze = false;
  std::int64_t crash_ms = -1;
  for (const auto& [key, value] : order.items()) {
    const std::int64_t number = value.is_boolean()
                                    ? (value.get<bool>() ? -1 : 0)
                                : value.is_number() ? value.get<std::int64_t>()
                                                    : 0;
    if (key == "fail") {
      next.fail = number;
    } else if (key == "fail_ms") {
      next.fail_ms = number;
    } else if (key == "half") {
      next.half = number;
    } else if (key == "no_answer") {
      next.no_answer = number;
    } else if (key == "slow_ms") {
      next.slow_ms = number;
    } else if (key == "silent") {
      next.silent = number != 0;
    } else if (key == "refuse") {
      next.refuse = value.is_string() ? value.get<std::string>()
                    : number != 0     ? "slots_full"
                                      : "";
    } else if (key == "freeze") {
      freeze = number != 0;
    } else if (key == "crash_ms") {
      crash_ms = number;
    } else if (key != "clear") {
      reply(Problem(400, problem));
      return;
    }
  }
  this->faults = std::move(next);
  this->relay.SetSilent(this->faults.silent);
  reply({.body = this->Faults().dump()});
  if (freeze) {
    // The answer above passes the relay before the connections freeze.
    auto timer = std::make_shared<asio::steady_timer>(this->io, kRestartDelay);
    timer->async_wait([this, timer](std::error_code error) {
      if (!error) {
        this->relay.Freeze();
      }
    });
  }
  if (crash_ms >= 0) {
    this->Restart(crash_ms);
  }
}

json Target::Faults() const {
  const TargetFaults& now = this->faults;
  return {{"fail", now.fail},       {"fail_ms", now.fail_ms},
          {"half", now.half},       {"no_answer", now.no_answer},
          {"slow_ms", now.slow_ms}, {"silent", now.silent},
          {"refuse", now.refuse}};
}

json Target::Report() const {
  json listed = json::array();
  for (const auto& [id, task] : this->tasks) {
    if (!task.result) {
      listed.push_back({{"task", id},
                        {"team", task.team},
                        {"profile", task.profile},
                        {"age_ms", MsSince(task.started)}});
    }
  }
  return {{"boot", this->options.id + "-" + std::to_string(this->boots)},
          {"slots", this->options.slots},
          {"draining", this->draining},
          {"tasks", std::move(listed)},
          {"unknown", json::array()}};
}

void Target::Log(const std::string& event,
                 const Task& task,
                 const std::string& outcome) {
  this->log.push_back({{"seq", this->log.size() + 1},
                       {"event", event},
                       {"target", this->options.id},
                       {"boot", this->boots},
                       {"task", task.id},
                       {"team", task.team},
                       {"profile", task.profile},
                       {"request", task.request},
                       {"echo", task.echo},
                       {"outcome", outcome},
                       {"wall_us", WallUs()}});
}

}  // namespace kch::fake
